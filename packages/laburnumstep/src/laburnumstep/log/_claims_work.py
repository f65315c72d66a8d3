"""Records that wait for their append, and claims that wait to be read."""

from __future__ import annotations

import itertools

import anyio
import attrs

from laburnumstep import core
from laburnumstep.log import _claims_answers
from laburnumstep.log import _claims_records

MAX_WAITING = 10_000
"""Records that wait for the log, at most. A release or settlement that is
dropped leaves its key with an unknown outcome, which is safe."""


@attrs.define(eq=False)
class Work:
    """One record on its way into the log."""

    record: _claims_records.ClaimsRecord
    """The record."""
    until: float
    """When nobody waits for it any more, in epoch seconds."""
    own: bool
    """Whether this VM made the record. Only the VM that made a claim knows
    whether it was sent, so no other VM may release it."""
    sent: bool = False
    """Whether an append of it may have taken effect."""
    abandoned: bool = False
    """Whether its caller has gone; a granted claim is then released."""
    answer: _claims_answers.ClaimAnswer | None = None
    """Answer to a claim."""
    error: core.CodedError | None = None
    """Why there is no answer."""
    done: anyio.Event = attrs.field(factory=anyio.Event)
    """Set when the record is in the log, or given up."""

    def finish(
        self, answer: _claims_answers.ClaimAnswer | None = None
    ) -> None:
        """Note that the record is in the log."""
        self.answer = answer
        self.done.set()

    def fail(self, error: core.CodedError) -> None:
        """Note that the record is given up."""
        self.error = error
        self.done.set()


class Outbox:
    """Work of one partition in the order in which it came."""

    def __init__(self) -> None:
        self._waiting: dict[int, Work] = {}
        self._awaited: dict[str, list[Work]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether every record is in the log and every claim answered."""
        return not self._waiting and not self._awaited

    @property
    def has_awaited(self) -> bool:
        """Whether an appended claim has not been read back yet."""
        return bool(self._awaited)

    @property
    def has_claims(self) -> bool:
        """Whether a claim waits for its append."""
        return any(is_claim(w.record) for w in self._waiting.values())

    def list_waiting(self, limit: int) -> list[Work]:
        """Return the oldest work that is not known to be in the log."""
        return list(itertools.islice(self._waiting.values(), limit))

    def add(self, work: Work) -> None:
        """Add work; the oldest note gives way when there is too much."""
        self._waiting[id(work)] = work
        if len(self._waiting) <= MAX_WAITING:
            return
        for oldest in self._waiting.values():
            if not is_claim(oldest.record):
                del self._waiting[id(oldest)]
                oldest.finish()
                return

    def await_claims(self, batch: list[Work]) -> None:
        """Note that an append of a batch may take effect from now on."""
        for work in batch:
            if is_claim(work.record) and not work.sent:
                work.sent = True
                self._awaited.setdefault(work.record.nonce, []).append(work)

    def confirm(self, batch: list[Work]) -> None:
        """Note that a batch is in the log."""
        for work in batch:
            self._waiting.pop(id(work), None)
            if not is_claim(work.record):
                work.finish()

    def answer(
        self, nonce: str, answer: _claims_answers.ClaimAnswer | None
    ) -> None:
        """Finish the claims with a nonce that are awaited here."""
        for work in self._awaited.pop(nonce, ()):
            self._waiting.pop(id(work), None)
            work.finish(answer)
            if work.abandoned and isinstance(answer, _claims_answers.Granted):
                self.add(build_release(work.record))

    def abandon(self, work: Work) -> None:
        """Note that nobody waits for a claim of this VM any more."""
        work.abandoned = True
        match work.answer:
            case _claims_answers.Granted():
                self.add(build_release(work.record))
            case None if not work.sent:
                self._waiting.pop(id(work), None)

    def give_up(
        self, now: float, error: core.CodedError, overdue_only: bool
    ) -> None:
        """Give up claims, and release those that may be in the log.

        Args:
            now: The time, in epoch seconds.
            error: Told to those who wait.
            overdue_only: Whether claims with time left are kept.
        """
        claims = [w for w in self._waiting.values() if is_claim(w.record)]
        for works in self._awaited.values():
            claims += [w for w in works if id(w) not in self._waiting]
        for work in claims:
            if not overdue_only or now >= work.until:
                self._drop_claim(work, error)
        for work in list(self._waiting.values()):
            if not is_claim(work.record) and now >= work.until:
                del self._waiting[id(work)]
                work.finish()

    def _drop_claim(self, work: Work, error: core.CodedError) -> None:
        self._waiting.pop(id(work), None)
        awaited = self._awaited.pop(work.record.nonce, [])
        others = [other for other in awaited if other is not work]
        if others:
            self._awaited[work.record.nonce] = others
        work.fail(error)
        if work.own and work.sent:
            self.add(build_release(work.record))


def is_claim(record: _claims_records.ClaimsRecord) -> bool:
    """Tell claims from releases and settlements."""
    return isinstance(record, _claims_records.ClaimRecord)


def build_release(record: _claims_records.ClaimsRecord) -> Work:
    """Return the release of a claim that was never sent to a target."""
    release = _claims_records.ReleaseRecord(record.key, record.nonce)
    return Work(release, record.key.expires_at, own=True)


@attrs.define(eq=False)
class LookUp:
    """Waits until a stream has been read to its end."""

    error: core.CodedError | None = None
    """Why it was not read."""
    done: anyio.Event = attrs.field(factory=anyio.Event)
    """Set when the stream was read, or the read failed."""

    def fail(self, error: core.CodedError) -> None:
        """Note that the stream could not be read."""
        self.error = error
        self.done.set()
