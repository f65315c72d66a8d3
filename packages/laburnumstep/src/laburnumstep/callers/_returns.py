"""Times at which refused callers should send their requests again."""

from __future__ import annotations

import random

MAX_SPREAD_SECONDS = 10.0
"""Longest time over which the returns to a pool are spread, in seconds."""


class ReturnSchedule:
    """Spreads the returns of refused callers over the expected capacity.

    Without it all callers that were refused while nothing was available would
    return at the moment at which one of them can be served.

    Args:
        rng: Source of random numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._last: dict[str, float] = {}

    def schedule(self, pool_key: str, earliest: float, rate: float) -> float:
        """Return when the next refused caller should return.

        Args:
            pool_key: The targets for which it waits.
            earliest: When capacity is expected first, in epoch seconds.
            rate: Requests a second that can be served from then on; 0 if
                this is not known.

        Returns:
            The time in epoch seconds.
        """
        if rate <= 0:
            return earliest
        last = self._last.get(pool_key, 0.0)
        return_at = max(earliest, last + 1.0 / rate)
        latest = earliest + MAX_SPREAD_SECONDS
        if return_at > latest:
            return self._rng.uniform(earliest, latest)
        self._last[pool_key] = return_at
        return return_at
