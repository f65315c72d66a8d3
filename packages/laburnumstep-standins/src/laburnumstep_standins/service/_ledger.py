"""Effects of a plain service, counted by idempotency key."""

from __future__ import annotations

import collections
import typing

import attrs


@attrs.define
class ServiceFaults:
    """Faults that the control route switches."""

    lost_replies: int = 0
    """Replies to come that are cut after the operation took effect."""
    refuse: bool = False
    """Refuses every operation with 503 `not_started`."""
    delayed: bool = False
    """Holds operations before their effect until this is switched off."""
    crash_on: str | None = None
    """Crashes on a payload whose field `note` has this value."""
    hide_postings: bool = False
    """Answers outcome queries as if no posting were known."""


class Ledger:
    """Postings and the number of effects of each key.

    A repeated key has a second effect: the service does not recognise
    repeats, so the counts show every operation that ran twice.
    """

    def __init__(self) -> None:
        self.effects: collections.Counter[str] = collections.Counter()
        """Effects by idempotency key."""
        self.reads: collections.Counter[str] = collections.Counter()
        """Idempotent operations by idempotency key."""
        self._results: dict[str, typing.Any] = {}

    def post(self, key: str, payload: typing.Any) -> typing.Any:
        """Apply a posting and return its result."""
        self.effects[key] += 1
        total = sum(self.effects.values())
        result = {'posting': total, 'payload': payload}
        self._results[key] = result
        return result

    def read(self, key: str) -> typing.Any:
        """Return the number of postings."""
        self.reads[key] += 1
        return {'postings': sum(self.effects.values())}

    def find(self, key: str) -> typing.Any:
        """Return the result of a posting, or None."""
        return self._results.get(key)
