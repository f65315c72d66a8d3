"""Decides which watched siblings do not answer their heartbeats."""

from __future__ import annotations

import attrs

HEARTBEAT_SECONDS = 1.0
"""Time between heartbeats to each watched sibling, in seconds."""
UNANSWERED_SECONDS = 3.0
"""Longest time without an answer before a sibling counts as unreachable;
three heartbeats, so that one lost connection can be opened again."""
PAUSE_SECONDS = 2.5
"""Time between two rounds of heartbeats from which this VM must have been
paused itself. Its siblings had no chance to answer in that time."""
_MAX_UNANSWERED = 16
"""Heartbeats remembered for a sibling that does not answer."""


@attrs.define
class _Watch:
    name: str
    sequence: int = 0
    unanswered: dict[int, float] = attrs.field(factory=dict)


class HeartbeatMonitor:
    """Keeps the heartbeats to the watched siblings, by address."""

    def __init__(self) -> None:
        self._watches: dict[str, _Watch] = {}
        self._last_round_at: float | None = None

    def begin_round(self, watched: dict[str, str], now: float) -> bool:
        """Begin a round of heartbeats.

        Args:
            watched: Names of the watched siblings, by address.
            now: The time in epoch seconds.

        Returns:
            Whether this VM was paused since the last round.
        """
        last = self._last_round_at
        paused = last is not None and now - last > PAUSE_SECONDS
        self._last_round_at = now
        self._watches = {
            address: self._keep_or_open(address, name)
            for address, name in watched.items()
        }
        if paused:
            for watch in self._watches.values():
                watch.unanswered.clear()
        return paused

    def _keep_or_open(self, address: str, name: str) -> _Watch:
        held = self._watches.get(address)
        return held if held and held.name == name else _Watch(name)

    def next_sequence(self, address: str, now: float) -> int:
        """Count a heartbeat to a watched sibling."""
        watch = self._watches[address]
        watch.sequence += 1
        if len(watch.unanswered) < _MAX_UNANSWERED:
            watch.unanswered[watch.sequence] = now
        return watch.sequence

    def note_answer(self, name: str, sequence: int) -> bool:
        """Take in an answer; tell whether the sibling is watched."""
        for watch in self._watches.values():
            if watch.name == name:
                for earlier in list(watch.unanswered):
                    if earlier <= sequence:
                        del watch.unanswered[earlier]
                return True
        return False

    def note_alive(self, name: str) -> None:
        """Start anew with a sibling whose newer entry shows that it runs.

        Without it, a sibling that only this VM cannot reach would be
        reported and would deny the report every second.
        """
        for watch in self._watches.values():
            if watch.name == name:
                watch.unanswered.clear()

    def find_unanswered(self, now: float) -> dict[str, str]:
        """Return the names of unreachable siblings, by address."""
        return {
            address: watch.name
            for address, watch in self._watches.items()
            if watch.unanswered
            and now - min(watch.unanswered.values()) >= UNANSWERED_SECONDS
        }
