"""Moving averages of event rates."""

from __future__ import annotations

import math

import attrs

RATE_WINDOW_SECONDS = 5.0
"""Time over which a rate is averaged, in seconds."""


@attrs.define
class EventRate:
    """An exponentially weighted moving average of a rate of events."""

    window: float = RATE_WINDOW_SECONDS
    """Time constant of the average, in seconds."""
    per_second: float = 0.0
    """Rate at the last update, in events a second."""
    updated_at: float = 0.0
    """Time of the last update, in epoch seconds."""

    def record(self, now: float) -> None:
        """Count one event at a time in epoch seconds."""
        self.per_second = self.measure(now) + 1.0 / self.window
        self.updated_at = now

    def measure(self, now: float) -> float:
        """Return the rate at a time in epoch seconds, in events a second."""
        elapsed = max(0.0, now - self.updated_at)
        return self.per_second * math.exp(-elapsed / self.window)
