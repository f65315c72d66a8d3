"""Outbox of records that are not known to be in a claim stream yet."""

from __future__ import annotations

import itertools

import anyio
import attrs

from laburnumstep import core
from laburnumstep.log import _claims_answers
from laburnumstep.log import _claims_records

MAX_PENDING_RECORDS = 10_000
"""Number of pending records above which the oldest release or settlement is
dropped. Its key is left with an unknown outcome, which is safe."""


@attrs.define(eq=False)
class PendingRecord:
    """A record that is to be appended to the log."""

    record: _claims_records.ClaimsRecord
    """The record."""
    deadline: float
    """When the record is given up, in epoch seconds."""
    own: bool
    """Whether this VM created the record. Only the VM that made a claim
    knows whether it sent the operation, so no other VM may release it."""
    may_be_in_log: bool = False
    """Whether a claim was part of an append that may have taken effect."""
    caller_disconnected: bool = False
    """Whether the caller has disconnected. Its claim is then released if it
    is granted."""
    answer: _claims_answers.ClaimAnswer | None = None
    """Answer to a claim; None for other records."""
    error: core.CodedError | None = None
    """Error with which the record failed."""
    done: anyio.Event = attrs.field(factory=anyio.Event)
    """Set when the record is in the log or has failed."""

    def finish(
        self, answer: _claims_answers.ClaimAnswer | None = None
    ) -> None:
        """Complete the record, with the answer if it is a claim."""
        self.answer = answer
        self.done.set()

    def fail(self, error: core.CodedError) -> None:
        """Fail the record with an error."""
        self.error = error
        self.done.set()


class Outbox:
    """Pending records of one partition, in the order of their arrival."""

    def __init__(self) -> None:
        self._pending: dict[int, PendingRecord] = {}
        self._unread_claims: dict[str, list[PendingRecord]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether all records are in the log and all claims are answered."""
        return not self._pending and not self._unread_claims

    @property
    def has_unread_claims(self) -> bool:
        """Whether an appended claim has not been read from the log yet."""
        return bool(self._unread_claims)

    @property
    def has_claims(self) -> bool:
        """Whether a claim is not known to be in the log."""
        return any(is_claim(item.record) for item in self._pending.values())

    def list_pending(self, limit: int) -> list[PendingRecord]:
        """Return the oldest records that are not known to be in the log."""
        return list(itertools.islice(self._pending.values(), limit))

    def add(self, pending: PendingRecord) -> None:
        """Add a record.

        Above the limit, the oldest release or settlement is dropped.
        """
        self._pending[id(pending)] = pending
        if len(self._pending) <= MAX_PENDING_RECORDS:
            return
        for candidate in self._pending.values():
            if not is_claim(candidate.record):
                del self._pending[id(candidate)]
                candidate.finish()
                return

    def record_possible_append(self, batch: list[PendingRecord]) -> None:
        """Record that an append of a batch may have taken effect.

        Its claims stay pending until they have been read from the log.
        """
        for pending in batch:
            if is_claim(pending.record) and not pending.may_be_in_log:
                pending.may_be_in_log = True
                self._unread_claims.setdefault(
                    pending.record.nonce, []
                ).append(pending)

    def record_appended(self, batch: list[PendingRecord]) -> None:
        """Record that a batch is in the log.

        Its releases and settlements are done; its claims wait for answers.
        """
        for pending in batch:
            self._pending.pop(id(pending), None)
            if not is_claim(pending.record):
                pending.finish()

    def complete_claims(
        self, nonce: str, answer: _claims_answers.ClaimAnswer | None
    ) -> None:
        """Complete the claims with a nonce that has been read or answered.

        Releases a granted claim whose caller has disconnected.
        """
        for pending in self._unread_claims.pop(nonce, ()):
            self._pending.pop(id(pending), None)
            pending.finish(answer)
            if pending.caller_disconnected and isinstance(
                answer, _claims_answers.Granted
            ):
                self.add(build_release(pending.record))

    def cancel_claim(self, pending: PendingRecord) -> None:
        """Cancel a claim of this VM whose caller has disconnected.

        A claim that may be in the log is released once it is granted.
        """
        pending.caller_disconnected = True
        match pending.answer:
            case _claims_answers.Granted():
                self.add(build_release(pending.record))
            case None if not pending.may_be_in_log:
                self._pending.pop(id(pending), None)

    def fail_claims(
        self, now: float, error: core.CodedError, overdue_only: bool
    ) -> None:
        """Fail claims, and release those of this VM that may be in the log.

        Releases and settlements whose deadline has passed are dropped.

        Args:
            now: The time, in epoch seconds.
            error: Error that the claims fail with.
            overdue_only: Whether to keep claims before their deadline.
        """
        claims = [
            item for item in self._pending.values() if is_claim(item.record)
        ]
        for unread in self._unread_claims.values():
            claims += [
                item for item in unread if id(item) not in self._pending
            ]
        for pending in claims:
            if not overdue_only or now >= pending.deadline:
                self._fail_claim(pending, error)
        for pending in list(self._pending.values()):
            if not is_claim(pending.record) and now >= pending.deadline:
                del self._pending[id(pending)]
                pending.finish()

    def _fail_claim(
        self, pending: PendingRecord, error: core.CodedError
    ) -> None:
        self._pending.pop(id(pending), None)
        same_nonce = self._unread_claims.pop(pending.record.nonce, [])
        others = [other for other in same_nonce if other is not pending]
        if others:
            self._unread_claims[pending.record.nonce] = others
        pending.fail(error)
        if pending.own and pending.may_be_in_log:
            self.add(build_release(pending.record))


def is_claim(record: _claims_records.ClaimsRecord) -> bool:
    """Return whether a record is a claim."""
    return isinstance(record, _claims_records.ClaimRecord)


def build_release(record: _claims_records.ClaimsRecord) -> PendingRecord:
    """Return the release of a claim whose operation was never sent."""
    release = _claims_records.ReleaseRecord(record.key, record.nonce)
    return PendingRecord(release, record.key.expires_at, own=True)


@attrs.define(eq=False)
class CatchUpWaiter:
    """A task that waits until the stream has been read to its end."""

    error: core.CodedError | None = None
    """Why the stream could not be read."""
    done: anyio.Event = attrs.field(factory=anyio.Event)
    """Set when the stream has been read or the read has failed."""

    def fail(self, error: core.CodedError) -> None:
        """End the wait with an error."""
        self.error = error
        self.done.set()
