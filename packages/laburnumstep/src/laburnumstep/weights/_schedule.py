"""Decides in log order when each fetch may begin."""

from __future__ import annotations

import attrs

MAX_WAIT_SECONDS = 300.0
"""Longest time that a permit may lie ahead, in seconds. It is far below the
log's retention, so that a VM that has just started knows every permit that
is still to be used."""


@attrs.frozen
class FetchRecord:
    """A VM asks for a place in the sequence of fetches."""

    vm: str
    """Name of the VM, for people."""
    nonce: str
    """Identifies the request."""


class FetchSchedule:
    """Gives every fetch of the fleet a time of its own.

    Args:
        interval: Time between two fetches, in seconds.
    """

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._next_at = 0.0

    def apply(self, appended_at: float) -> float | None:
        """Take the next record into account.

        Args:
            appended_at: The log's time of the append, in epoch seconds.

        Returns:
            When the fetch may begin, in the log's time, or None when it
            would have to wait too long.
        """
        begins_at = max(appended_at, self._next_at)
        if begins_at > appended_at + MAX_WAIT_SECONDS:
            return None
        self._next_at = begins_at + self._interval
        return begins_at
