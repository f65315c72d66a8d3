"""Token bucket for the permits of one limited target."""

from __future__ import annotations

import math

_ROUNDING = 1e-9


class PermitBucket:
    """Issues permits at a rate that may change.

    Args:
        now: Current time, in epoch seconds.
        permits: Permits that are available at once.
    """

    def __init__(self, now: float, permits: float) -> None:
        self._permits = permits
        self._updated_at = now

    def take(
        self, count: int, rate: float, now: float, capacity: float
    ) -> int:
        """Take permits; return how many were left, at most `count`.

        Args:
            count: Number of permits wanted.
            rate: Permits a second since the last call.
            now: Current time, in epoch seconds.
            capacity: Most unused permits that are kept.
        """
        gained = rate * max(0.0, now - self._updated_at)
        self._permits = min(self._permits + gained, capacity)
        self._updated_at = now
        taken = min(count, math.floor(self._permits + _ROUNDING))
        self._permits -= taken
        return taken

    def find_next(self, rate: float) -> float:
        """Return when the next permit is available, in epoch seconds.

        Args:
            rate: Permits a second from the last call on.
        """
        missing = max(0.0, 1.0 - self._permits)
        return self._updated_at + missing / rate
