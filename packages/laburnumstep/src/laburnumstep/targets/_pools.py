"""Sets of target names that can be sampled in constant time."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import random


class TargetPool:
    """Names of usable targets, split into local and remote ones."""

    def __init__(self) -> None:
        self._names: dict[bool, list[str]] = {True: [], False: []}
        self._positions: dict[str, tuple[bool, int]] = {}

    def __len__(self) -> int:
        return len(self._positions)

    def __contains__(self, name: str) -> bool:
        return name in self._positions

    def __iter__(self) -> typing.Iterator[str]:
        return iter(self._positions)

    def add(self, name: str, local: bool) -> None:
        """Add a target, or move it between the local and the remote names.

        Args:
            name: Name of the target.
            local: Whether it is in the VM's region.
        """
        if self._positions.get(name, (not local,))[0] == local:
            return
        self.discard(name)
        names = self._names[local]
        self._positions[name] = (local, len(names))
        names.append(name)

    def discard(self, name: str) -> None:
        """Remove a target if it is in the pool."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        local, index = position
        names = self._names[local]
        last = names.pop()
        if last != name:
            names[index] = last
            self._positions[last] = (local, index)

    def get_names(self, local: bool) -> list[str]:
        """Return the local or the remote names; must not be modified."""
        return self._names[local]

    def sample(self, local: bool, count: int, rng: random.Random) -> list[str]:
        """Return up to `count` distinct random local or remote names."""
        names = self._names[local]
        if len(names) <= count:
            return list(names)
        if count == 1:
            return [rng.choice(names)]
        return rng.sample(names, count)
