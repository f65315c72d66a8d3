"""Stamps of the entries that this VM makes."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from laburnumstep import core


class StampCounter:
    """Gives rising stamps that follow the clock.

    A VM has no disk, so a restarted one takes the clock in place of a
    stored counter. Where the clock has gone back, the entries of the VM's
    earlier process come back from siblings with higher stamps and
    `raise_above` moves the counter beyond them.

    Args:
        clock: Gives the first stamp.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._last = 0

    @property
    def last(self) -> int:
        """The highest stamp given or seen, in epoch microseconds."""
        return self._last

    def next(self) -> int:
        """Return a stamp above all earlier ones."""
        self._last = max(int(self._clock.now() * 1e6), self._last + 1)
        return self._last

    def raise_above(self, stamp: int) -> None:
        """Make the next stamps exceed one seen elsewhere."""
        self._last = max(self._last, stamp)
