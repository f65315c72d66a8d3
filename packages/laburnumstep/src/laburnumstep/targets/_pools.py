"""Sets of target names that can be sampled in constant time."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import random


class TargetPool:
    """Names of usable targets, near ones apart from far ones."""

    def __init__(self) -> None:
        self._names: dict[bool, list[str]] = {True: [], False: []}
        self._positions: dict[str, tuple[bool, int]] = {}

    def __len__(self) -> int:
        return len(self._positions)

    def __contains__(self, name: str) -> bool:
        return name in self._positions

    def add(self, name: str, near: bool) -> None:
        """Add a target; `near` tells whether it is in the VM's region."""
        if self._positions.get(name, (not near,))[0] == near:
            return
        self.discard(name)
        names = self._names[near]
        self._positions[name] = (near, len(names))
        names.append(name)

    def discard(self, name: str) -> None:
        """Remove a target if it is in the pool."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        near, index = position
        names = self._names[near]
        last = names.pop()
        if last != name:
            names[index] = last
            self._positions[last] = (near, index)

    def get_names(self, near: bool) -> list[str]:
        """Return the names of one part; not to be changed."""
        return self._names[near]

    def sample(self, near: bool, count: int, rng: random.Random) -> list[str]:
        """Return up to `count` distinct random names of one part."""
        names = self._names[near]
        if len(names) <= count:
            return list(names)
        if count == 1:
            return [rng.choice(names)]
        return rng.sample(names, count)
