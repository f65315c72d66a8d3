"""Pace of appends to one claim stream."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    import random

_FIRST_INTERVAL_SECONDS = 0.02
_MAX_INTERVAL_SECONDS = 1.0
"""Longest interval between appends when the log refuses them; a claim then
waits at most about two seconds."""
_SHRINK = 0.8
_NO_INTERVAL_SECONDS = 0.002
_FIRST_BACK_OFF_SECONDS = 0.05
_MAX_BACK_OFF_SECONDS = 1.0


@attrs.define
class AppendPace:
    """Sends at once while the log accepts every append.

    The log's rate is shared by all VMs and streams, which none of them can
    see, so each writer widens its interval when it is refused and narrows
    it with each accepted append. Waiting claims then share an append.
    """

    source: random.Random
    """Spreads the retries of writers that were refused together."""
    next_at: float = 0.0
    """Earliest time of the next append, in epoch seconds."""
    down_until: float = 0.0
    """Until when the log counts as unavailable, in epoch seconds."""
    _interval: float = 0.0
    _back_off: float = 0.0

    def record_accepted(self, now: float) -> None:
        """Note an append that the log accepted."""
        self._back_off = 0.0
        self._interval *= _SHRINK
        if self._interval < _NO_INTERVAL_SECONDS:
            self._interval = 0.0
        self.next_at = now + self._interval

    def record_refused(self, now: float, retry_at: float) -> None:
        """Note an append that the log refused because of its rate."""
        doubled = max(2 * self._interval, _FIRST_INTERVAL_SECONDS)
        self._interval = min(doubled, _MAX_INTERVAL_SECONDS)
        spread = self.source.random() * self._interval
        self.next_at = max(now, retry_at) + spread

    def record_failure(self, now: float) -> None:
        """Note that the log did not answer."""
        doubled = max(2 * self._back_off, _FIRST_BACK_OFF_SECONDS)
        self._back_off = min(doubled, _MAX_BACK_OFF_SECONDS)
        self.next_at = self.down_until = now + self._back_off
