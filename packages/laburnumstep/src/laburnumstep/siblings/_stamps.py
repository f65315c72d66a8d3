"""Stamps for the entries that this VM publishes."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from laburnumstep import core


class StampCounter:
    """Produces increasing stamps that follow the clock.

    A VM has no disk to store a counter on, so a restarted VM begins with the
    time of its clock. If the clock has been set back, siblings still send
    entries of the VM's earlier process with higher stamps; `raise_above`
    then advances the counter beyond these.

    Args:
        clock: Source of the stamps.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._last = 0

    @property
    def last(self) -> int:
        """Highest stamp produced or received, in epoch microseconds."""
        return self._last

    def next(self) -> int:
        """Return a stamp higher than all earlier ones."""
        self._last = max(int(self._clock.now() * 1e6), self._last + 1)
        return self._last

    def raise_above(self, stamp: int) -> None:
        """Make the next stamps exceed a received one."""
        self._last = max(self._last, stamp)
