"""Throttling of appends to one claim stream."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    import random

_FIRST_INTERVAL_SECONDS = 0.02
_MAX_INTERVAL_SECONDS = 1.0
"""Longest interval between appends that the log refuses, in seconds. A claim
then waits at most about two seconds."""
_INTERVAL_DECAY = 0.8
"""Factor by which an accepted append shortens the interval."""
_MIN_INTERVAL_SECONDS = 0.002
"""Interval below which appends are no longer throttled, in seconds."""
_FIRST_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 1.0


@attrs.define
class AppendThrottle:
    """Adapts the interval between appends to the rate that the log accepts.

    The log limits the total rate of all VMs and streams, and no writer
    knows the rate of the others. Each writer therefore doubles its interval
    when an append is refused and shortens it with each accepted append.
    Claims that wait for the next append are sent in one batch. There is no
    delay while the log accepts every append.
    """

    random_source: random.Random
    """Source of the jitter that spreads retries of refused writers."""
    next_at: float = 0.0
    """Earliest time of the next append, in epoch seconds."""
    unavailable_until: float = 0.0
    """Time until which the log is treated as unavailable, in epoch
    seconds."""
    _interval: float = 0.0
    _backoff: float = 0.0

    def record_accepted(self, now: float) -> None:
        """Record an append that the log accepted."""
        self._backoff = 0.0
        self._interval *= _INTERVAL_DECAY
        if self._interval < _MIN_INTERVAL_SECONDS:
            self._interval = 0.0
        self.next_at = now + self._interval

    def record_refused(self, now: float, retry_at: float) -> None:
        """Record an append that the log refused because of its rate."""
        doubled = max(2 * self._interval, _FIRST_INTERVAL_SECONDS)
        self._interval = min(doubled, _MAX_INTERVAL_SECONDS)
        spread = self.random_source.random() * self._interval
        self.next_at = max(now, retry_at) + spread

    def record_failure(self, now: float) -> None:
        """Record a request that the log did not answer."""
        doubled = max(2 * self._backoff, _FIRST_BACKOFF_SECONDS)
        self._backoff = min(doubled, _MAX_BACKOFF_SECONDS)
        self.next_at = self.unavailable_until = now + self._backoff
