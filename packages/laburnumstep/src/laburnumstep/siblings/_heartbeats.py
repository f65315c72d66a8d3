"""Detection of siblings that do not answer heartbeats."""

from __future__ import annotations

import attrs

HEARTBEAT_SECONDS = 1.0
"""Time between heartbeats to each watched sibling, in seconds."""
UNANSWERED_SECONDS = 3.0
"""Time after which an unanswered heartbeat shows that a sibling is
unreachable, in seconds. Three heartbeats are sent in it, so that one broken
connection can be opened again."""
PAUSE_SECONDS = 2.5
"""Shortest time between two rounds of heartbeats that shows that this VM
was paused, in seconds. Answers of its siblings could not be received then."""
_MAX_UNANSWERED = 16
"""Most unanswered heartbeats recorded for one sibling."""


@attrs.define
class _Watch:
    name: str
    sequence: int = 0
    unanswered: dict[int, float] = attrs.field(factory=dict)


class HeartbeatMonitor:
    """Tracks the unanswered heartbeats of the watched siblings."""

    def __init__(self) -> None:
        self._watches: dict[str, _Watch] = {}
        self._last_round_at: float | None = None

    def begin_round(self, watched: dict[str, str], now: float) -> bool:
        """Begin a round of heartbeats.

        After a pause of this VM all unanswered heartbeats are cleared.

        Args:
            watched: Names of the watched siblings, by address.
            now: Current time, in epoch seconds.

        Returns:
            Whether this VM was paused since the last round.
        """
        last = self._last_round_at
        paused = last is not None and now - last > PAUSE_SECONDS
        self._last_round_at = now
        self._watches = {
            address: self._get_or_create_watch(address, name)
            for address, name in watched.items()
        }
        if paused:
            for watch in self._watches.values():
                watch.unanswered.clear()
        return paused

    def _get_or_create_watch(self, address: str, name: str) -> _Watch:
        existing = self._watches.get(address)
        return existing if existing and existing.name == name else _Watch(name)

    def record_heartbeat(self, address: str, now: float) -> int:
        """Record a heartbeat to a watched sibling.

        Args:
            address: Address of the sibling.
            now: Current time, in epoch seconds.

        Returns:
            Sequence number of the heartbeat.
        """
        watch = self._watches[address]
        watch.sequence += 1
        if len(watch.unanswered) < _MAX_UNANSWERED:
            watch.unanswered[watch.sequence] = now
        return watch.sequence

    def record_answer(self, name: str, sequence: int) -> bool:
        """Record the answer to a heartbeat.

        It answers all earlier heartbeats as well.

        Args:
            name: Name of the sibling that answered.
            sequence: Sequence number of the heartbeat.

        Returns:
            Whether the sibling is watched.
        """
        for watch in self._watches.values():
            if watch.name == name:
                for earlier in list(watch.unanswered):
                    if earlier <= sequence:
                        del watch.unanswered[earlier]
                return True
        return False

    def clear_unanswered(self, name: str) -> None:
        """Clear the unanswered heartbeats of a sibling.

        Called for a sibling whose newer own entry shows that it is alive.
        Otherwise a sibling that only this VM cannot reach would be reported
        as unreachable and would refute the report every second.
        """
        for watch in self._watches.values():
            if watch.name == name:
                watch.unanswered.clear()

    def list_unanswered(self, now: float) -> dict[str, str]:
        """Return the names of the unreachable siblings, by address.

        Args:
            now: Current time, in epoch seconds.
        """
        return {
            address: watch.name
            for address, watch in self._watches.items()
            if watch.unanswered
            and now - min(watch.unanswered.values()) >= UNANSWERED_SECONDS
        }
