"""Estimates how often engines die or leave, from what this VM has seen."""

from __future__ import annotations

import math

import attrs

WINDOW_SECONDS = 120.0
"""Time after which an observation counts 1/e, in seconds."""
PRIOR_RATE = 1.0 / 300.0
"""Losses of an engine a second that are assumed before any was seen. On days
with trouble an engine of 30 is taken away each 3.3 s, which is 0.01."""
PRIOR_SECONDS = 300.0
"""Weight of `PRIOR_RATE`, in seconds of one engine. 30 engines outweigh it
after 10 s."""
OWN_WEIGHT_SECONDS = 60.0
"""Time that is added to what an engine was watched, in seconds, before its own
losses are divided by it, so that one loss right after its start counts less.
"""
FAILURE_LOSSES = 0.5
"""Losses that an ejection counts as. An engine in trouble fails requests
before it dies, but single failures have other causes, too."""
MIN_LOSS_SECONDS = 10.0
"""Time for which one loss of an engine is counted once, in seconds. Several
sources report it one after the other."""


@attrs.define
class _History:
    """Decayed observations of one engine or of all engines."""

    updated_at: float
    losses: float = 0.0
    seconds: float = 0.0
    lost_at: float = -math.inf

    def update(self, now: float, engines: float) -> None:
        """Count the time since the last update, during which engines ran."""
        elapsed = max(0.0, now - self.updated_at)
        decay = math.exp(-elapsed / WINDOW_SECONDS)
        self.losses *= decay
        self.seconds *= decay
        self.seconds += engines * WINDOW_SECONDS * (1.0 - decay)
        self.updated_at = now


class EngineHazards:
    """Rates at which engines are lost.

    Args:
        now: Current time, in epoch seconds.
    """

    def __init__(self, now: float) -> None:
        self._all = _History(now)
        self._engines: dict[str, _History] = {}

    def add(self, engine: str, now: float) -> None:
        """Watch an engine."""
        if engine not in self._engines:
            self._all.update(now, len(self._engines))
            self._engines[engine] = _History(now)

    def remove(self, engine: str, now: float) -> None:
        """Stop watching an engine whose entry was removed."""
        self._all.update(now, len(self._engines))
        self._engines.pop(engine, None)

    def record_loss(self, engine: str, now: float) -> None:
        """Record that an engine has died or begun to leave."""
        history = self._engines.get(engine)
        if history is None or now - history.lost_at < MIN_LOSS_SECONDS:
            return
        history.lost_at = now
        history.update(now, 1.0)
        history.losses += 1.0
        self._all.update(now, len(self._engines))
        self._all.losses += 1.0

    def record_failure(self, engine: str, now: float) -> None:
        """Record that an engine was ejected after a failure."""
        history = self._engines.get(engine)
        if history is not None:
            history.update(now, 1.0)
            history.losses += FAILURE_LOSSES

    def estimate(self, engine: str, now: float) -> float:
        """Return the expected losses of an engine a second.

        This is the rate of all engines, raised by the engine's own losses. A
        time without losses does not lower it: that an engine has not been
        taken away yet does not make it safer than others.

        Args:
            engine: Name of the engine.
            now: Current time, in epoch seconds.
        """
        self._all.update(now, len(self._engines))
        rate = (self._all.losses + PRIOR_RATE * PRIOR_SECONDS) / (
            self._all.seconds + PRIOR_SECONDS
        )
        history = self._engines.get(engine)
        if history is None:
            return rate
        history.update(now, 1.0)
        return rate + history.losses / (history.seconds + OWN_WEIGHT_SECONDS)
