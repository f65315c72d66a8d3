"""Writes and reads one claim stream."""

from __future__ import annotations

import typing

import anyio

from laburnumstep import core
from laburnumstep.log import _claims_codec
from laburnumstep.log import _claims_forward
from laburnumstep.log import _claims_index
from laburnumstep.log import _claims_records
from laburnumstep.log import _claims_work
from laburnumstep.log import _client

if typing.TYPE_CHECKING:
    from laburnumstep.log import _claims_answers
    from laburnumstep.log import _claims_pace
    from laburnumstep.log import _records

_LOGGER = core.get_logger('log')
_EXCHANGE_SECONDS = 2.0
"""Longest time for one request to the log, in seconds."""
_FORWARD_SECONDS = 2.0
"""Longest time for the owner of a partition to answer, in seconds."""
_REREAD_SECONDS = 0.05
"""Time between reads while the log does not show an append, in seconds."""
_NOTE_SECONDS = 0.25
"""How long a release or settlement waits for a claim whose append it can
share, in seconds. 64 partitions then cost at most 256 appends a second."""
_MAX_BATCH_RECORDS = 500
"""Records in one append; with full settlements it stays below 1 MiB."""
_PAGE_RECORDS = 1000


class ClaimPartition:
    """One partition: its index, its outbox and the task that serves them.

    Args:
        number: The partition.
        client: The log.
        clock: Compared with deadlines and the pace.
        pace: Pace of the appends.
        forwarder: Reaches the owner of the partition, or None.
    """

    def __init__(
        self,
        number: int,
        client: _client.LogClient,
        clock: core.Clock,
        pace: _claims_pace.AppendPace,
        forwarder: _claims_forward.ClaimForwarder | None,
    ) -> None:
        self.index = _claims_index.ClaimIndex()
        """Decisions about the keys, as far as the stream has been read."""
        self._number = number
        self._stream = f'claims-{number:02}'
        self._client = client
        self._clock = clock
        self._pace = pace
        self._forwarder = forwarder
        self._outbox = _claims_work.Outbox()
        self._look_ups: list[_claims_work.LookUp] = []
        self._position = 0
        self._arrived = anyio.Event()
        self._notes_at: float | None = None
        self._reread_at = 0.0
        self._flushing = False

    def submit(self, work: _claims_work.Work) -> None:
        """Add a record to the next append."""
        if not work.own:
            # Notes of a sibling have waited there, and it waits for them.
            self._notes_at = self._clock.now()
        elif self._notes_at is None:
            self._notes_at = self._clock.now() + _NOTE_SECONDS
        self._outbox.add(work)
        self._arrived.set()

    async def flush(self) -> None:
        """Append what waits without waiting for a claim to share it."""
        self._flushing = True
        self._arrived.set()
        for work in self._outbox.list_waiting(_claims_work.MAX_WAITING):
            await work.done.wait()

    async def claim(self, work: _claims_work.Work) -> None:
        """Submit a claim and wait until it is answered or given up."""
        if self._clock.now() < self._pace.down_until:
            work.fail(
                core.CodedError(
                    core.ErrorCode.LOG_UNAVAILABLE,
                    'the log did not answer',
                    resend=True,
                    resend_at=self._pace.down_until,
                )
            )
            return
        self.submit(work)
        try:
            await work.done.wait()
        except anyio.get_cancelled_exc_class():
            self._outbox.abandon(work)
            self._arrived.set()
            raise

    async def catch_up(self) -> None:
        """Read the stream to its present end.

        Raises:
            CodedError: The log does not answer.
        """
        look_up = _claims_work.LookUp()
        self._look_ups.append(look_up)
        self._arrived.set()
        await look_up.done.wait()
        if look_up.error is not None:
            raise look_up.error

    async def run(self) -> None:
        """Serve the partition until cancelled."""
        while True:
            await self._wait_for_work()
            await self._exchange()

    async def _wait_for_work(self) -> None:
        """Wait until something is due."""
        while True:
            self._arrived = anyio.Event()
            now = self._clock.now()
            due = self._find_due(now)
            if due is not None and due <= now:
                return
            await self._wait_until(due)

    def _find_due(self, now: float) -> float | None:
        if self._look_ups:
            return now
        if self._outbox.is_empty:
            self._flushing = False
            return None
        if self._outbox.has_claims or self._flushing:
            return self._pace.next_at
        if self._outbox.has_awaited:
            return max(self._pace.next_at, self._reread_at)
        return max(self._pace.next_at, self._notes_at or 0.0)

    async def _wait_until(self, due: float | None) -> None:
        """Wait for a time or for new work, whichever comes first."""
        if due is None:
            await self._arrived.wait()
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                core.cancel_at, self._clock, due, tasks.cancel_scope
            )
            await self._arrived.wait()
            tasks.cancel_scope.cancel()

    async def _exchange(self) -> None:
        """Append a batch and read the stream until the claims are seen."""
        self._give_up_overdue()
        try:
            target = 0
            batch = self._outbox.list_waiting(_MAX_BATCH_RECORDS)
            if batch and self._clock.now() >= self._pace.next_at:
                if not await self._forward(batch):
                    target = await self._append(batch)
            if self._outbox.has_awaited or self._look_ups:
                await self._read_to(target)
        except _client.AppendRateExceeded as error:
            self._pace.record_refused(self._clock.now(), error.retry_at)
        except _client.LogUnavailable as error:
            self._fail(error)

    async def _forward(self, batch: list[_claims_work.Work]) -> bool:
        """Hand a batch to the partition's owner; False if there is none."""
        forwarder = self._forwarder
        owner = forwarder.owner(self._number) if forwarder else None
        # Records that a sibling forwarded stay here even when this VM no
        # longer believes that it owns the partition, so that two VMs with
        # different beliefs do not pass them back and forth.
        if not forwarder or not owner or not all(w.own for w in batch):
            return False
        self._outbox.await_claims(batch)
        answers = await self._ask_owner(
            forwarder, owner, [work.record for work in batch]
        )
        if not _are_complete(batch, answers):
            return False
        self._outbox.confirm(batch)
        self._notes_at = None
        for work, answer in zip(batch, answers):
            self._outbox.answer(work.record.nonce, answer)
        return True

    async def _ask_owner(
        self,
        forwarder: _claims_forward.ClaimForwarder,
        owner: str,
        records: list[_claims_records.ClaimsRecord],
    ) -> list[_claims_answers.ClaimAnswer | None]:
        """Return the answers of an owner, none when it fails or is late."""
        until = self._clock.now() + _FORWARD_SECONDS
        batch = _claims_forward.ForwardedRecords(self._number, records, until)
        answers: list[_claims_answers.ClaimAnswer | None] = []
        reason = 'no answer in time'
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                core.cancel_at, self._clock, until, tasks.cancel_scope
            )
            try:
                answers = await forwarder.forward(owner, batch)
            except core.CodedError as error:
                reason = str(error)
            tasks.cancel_scope.cancel()
        if not answers:
            _LOGGER.warning(
                'partition %d: owner %s failed (%s); appending here',
                self._number,
                owner,
                reason,
            )
        return answers

    async def _append(self, batch: list[_claims_work.Work]) -> int:
        """Append a batch; return the offset up to which to read.

        Raises:
            LogUnavailable: The log cannot have appended the batch.
            AppendRateExceeded: The log refused the append.
        """
        encoded = [_claims_codec.encode_record(w.record) for w in batch]
        deadline = self._clock.now() + _EXCHANGE_SECONDS
        try:
            landed = await self._client.append(self._stream, encoded, deadline)
        except _client.LogUnavailable as error:
            if not error.may_have_landed:
                raise
            # The read that follows shows whether the batch is in the log.
            # What it does not show is appended again under the same nonce.
            self._outbox.await_claims(batch)
            self._pace.record_failure(self._clock.now())
            self._pace.down_until = 0.0
            return 0
        self._outbox.await_claims(batch)
        self._outbox.confirm(batch)
        self._pace.record_accepted(self._clock.now())
        self._notes_at = None
        return landed.first_offset + len(batch)

    async def _read_to(self, target: int) -> None:
        """Read to the end of the stream and at least to an offset."""
        look_ups, self._look_ups = self._look_ups, []
        try:
            while True:
                page = await self._read_page()
                for record in page.records:
                    self._apply(record)
                self._position = max(self._position, page.next)
                if self._position >= max(target, page.end):
                    break
                if not page.records:
                    await self._wait_for_append()
                    if not self._outbox.has_awaited:
                        break
        except _client.LogUnavailable as error:
            for look_up in look_ups:
                look_up.fail(error)
            raise
        self._reread_at = self._clock.now() + _REREAD_SECONDS
        for look_up in look_ups:
            look_up.done.set()

    async def _wait_for_append(self) -> None:
        """Wait before a reread; the log does not show an append yet."""
        await self._clock.sleep_until(self._clock.now() + _REREAD_SECONDS)
        self._give_up_overdue()

    async def _read_page(self) -> _records.LogPage:
        """Read from the position on; a read is repeated once."""
        deadline = self._clock.now() + _EXCHANGE_SECONDS
        try:
            return await self._client.read(
                self._stream, self._position, _PAGE_RECORDS, 0, deadline
            )
        except _client.LogUnavailable:
            deadline = self._clock.now() + _EXCHANGE_SECONDS
            return await self._client.read(
                self._stream, self._position, _PAGE_RECORDS, 0, deadline
            )

    def _apply(self, stored: _records.LogRecord) -> None:
        if stored.offset < self._position:
            return
        try:
            record = _claims_codec.decode_record(stored.data)
        except ValueError as error:
            _LOGGER.warning(
                'stream %s offset %d: skipped a malformed record: %s',
                self._stream,
                stored.offset,
                error,
            )
            return
        answer = self.index.apply(record, stored.appended_at)
        if isinstance(record, _claims_records.ClaimRecord):
            self._outbox.answer(record.nonce, answer)

    def _give_up_overdue(self) -> None:
        error = core.CodedError(
            core.ErrorCode.DEADLINE_EXCEEDED,
            'the deadline passed before the claim was in the log',
        )
        self._outbox.give_up(self._clock.now(), error, overdue_only=True)

    def _fail(self, error: _client.LogUnavailable) -> None:
        """Refuse what waits; the log is down."""
        now = self._clock.now()
        self._pace.record_failure(now)
        _LOGGER.warning('partition %d: %s', self._number, error.message)
        refusal = core.CodedError(
            core.ErrorCode.LOG_UNAVAILABLE,
            error.message,
            resend=True,
            resend_at=self._pace.next_at,
        )
        self._outbox.give_up(now, refusal, overdue_only=False)
        for look_up in self._look_ups:
            look_up.fail(refusal)
        self._look_ups = []


def _are_complete(
    batch: list[_claims_work.Work],
    answers: list[_claims_answers.ClaimAnswer | None],
) -> bool:
    """Tell whether an owner answered every claim of a batch."""
    if len(answers) != len(batch):
        return False
    return all(
        answer is not None or not _claims_work.is_claim(work.record)
        for work, answer in zip(batch, answers)
    )
