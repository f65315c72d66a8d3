"""Start times of fetches, computed from the records of the log."""

from __future__ import annotations

import attrs

MAX_WAIT_SECONDS = 300.0
"""Longest time from the append of a record to the start of its fetch, in
seconds. It is far below the retention time of the log, so that a VM that has
just started reads the records of all permits that are still valid."""


@attrs.frozen
class FetchRecord:
    """A request of a VM for a permit."""

    vm: str
    """Name of the VM, for information only."""
    nonce: str
    """Identifies the request."""


class FetchSchedule:
    """Assigns a start time to each fetch of all VMs.

    Args:
        interval: Shortest time between two fetches, in seconds.
    """

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._next_at = 0.0

    def apply(self, appended_at: float) -> float | None:
        """Apply the next record of the stream.

        Args:
            appended_at: Time of the append by the log's clock, in epoch
                seconds.

        Returns:
            When the fetch may start, by the log's clock, or None if it
            would have to wait too long.
        """
        starts_at = max(appended_at, self._next_at)
        if starts_at > appended_at + MAX_WAIT_SECONDS:
            return None
        self._next_at = starts_at + self._interval
        return starts_at
