"""Pools of the targets to which a restricted request may be sent."""

from __future__ import annotations

import typing

from laburnumstep.targets import _pools

if typing.TYPE_CHECKING:
    from laburnumstep import core

IsPermitted = typing.Callable[['core.Regions', str], bool]


class RegionPools:
    """Permitted parts of pools, which are built once until a change.

    Sampling from them, instead of leaving out forbidden targets of a sample
    of all, lets a request use every target of its regions.

    Args:
        is_permitted: Returns whether a request may be sent to the target
            with a name.
    """

    def __init__(self, is_permitted: IsPermitted) -> None:
        self._is_permitted = is_permitted
        self._pools: dict[tuple[str, core.Regions], _pools.TargetPool] = {}

    def get(
        self, pool_key: str, pool: _pools.TargetPool, regions: core.Regions
    ) -> _pools.TargetPool:
        """Return the targets of a pool to which a request may be sent.

        Args:
            pool_key: Key of the pool.
            pool: The whole pool.
            regions: Regions in which the request may run.
        """
        found = self._pools.get((pool_key, regions))
        if found is None:
            found = _pools.TargetPool()
            for local in (True, False):
                for name in pool.get_names(local):
                    if self._is_permitted(regions, name):
                        found.add(name, local)
            self._pools[(pool_key, regions)] = found
        return found

    def clear(self) -> None:
        """Build the pools anew after a change of the targets."""
        self._pools.clear()
