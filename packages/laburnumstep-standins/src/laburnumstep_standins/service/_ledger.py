"""Counts the effects of a plain service by idempotency key."""

from __future__ import annotations

import collections
import typing

import attrs


@attrs.define
class ServiceFaults:
    """Faults that `POST /control` sets."""

    lost_replies: int = 0
    """Next operations whose connection is closed after their effect."""
    refuse: bool = False
    """Responds to every operation with 503 `not_started`."""
    delayed: bool = False
    """Stops operations before their effect until this is reset."""
    crash_on: str | None = None
    """Value of the payload field `note` that crashes the service."""
    request_limit: float | None = None
    """Requests a second that the service names as its limit in each answer."""
    hide_postings: bool = False
    """Responds to outcome queries as if there were no postings."""


class Ledger:
    """Stores postings and counts the effects of each key.

    The service does not deduplicate: a repeated key has another effect, so
    that the counts reveal every operation that ran twice.
    """

    def __init__(self) -> None:
        self.effects: collections.Counter[str] = collections.Counter()
        """Number of postings by idempotency key."""
        self.reads: collections.Counter[str] = collections.Counter()
        """Number of reads by idempotency key."""
        self._results: dict[str, typing.Any] = {}

    def post(self, key: str, payload: typing.Any) -> typing.Any:
        """Apply a posting and return its result."""
        self.effects[key] += 1
        total = sum(self.effects.values())
        result = {'posting': total, 'payload': payload}
        self._results[key] = result
        return result

    def read(self, key: str) -> typing.Any:
        """Count a read and return the total number of postings."""
        self.reads[key] += 1
        return {'postings': sum(self.effects.values())}

    def find(self, key: str) -> typing.Any:
        """Return the result of the posting with a key, or None."""
        return self._results.get(key)
