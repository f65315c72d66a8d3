"""Rates that follow a VM's own traffic."""

from __future__ import annotations

import math

import attrs

PACE_SECONDS = 5.0
"""Time over which a rate is averaged, in seconds."""


@attrs.define
class EventRate:
    """An exponentially weighted rate of events."""

    window: float = PACE_SECONDS
    """Time over which it is averaged, in seconds."""
    per_second: float = 0.0
    """Rate when it was last updated."""
    updated_at: float = 0.0
    """When it was last updated, in epoch seconds."""

    def record(self, now: float) -> None:
        """Count one event."""
        self.per_second = self.measure(now) + 1.0 / self.window
        self.updated_at = now

    def measure(self, now: float) -> float:
        """Return the rate, in events a second."""
        elapsed = max(0.0, now - self.updated_at)
        return self.per_second * math.exp(-elapsed / self.window)
