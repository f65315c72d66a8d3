"""Appends to and reads of one claim stream."""

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
    from laburnumstep.log import _claims_throttle
    from laburnumstep.log import _records

_LOGGER = core.get_logger('log')
_REQUEST_TIMEOUT_SECONDS = 2.0
"""Longest time for one request to the log, in seconds."""
_FORWARD_TIMEOUT_SECONDS = 2.0
"""Longest time for the owner of a partition to answer, in seconds."""
_REREAD_INTERVAL_SECONDS = 0.05
"""Time between reads until the log returns an append, in seconds."""
_BATCH_DELAY_SECONDS = 0.25
"""How long a release or settlement waits to be appended together with a
claim, in seconds. The releases and settlements of 64 partitions then cost at
most 256 appends a second."""
_MAX_BATCH_RECORDS = 500
"""Most records in one append, which stays below 1 MiB if all of them are
settlements of the largest size."""
_PAGE_RECORDS = 1000


class ClaimPartition:
    """One partition of the keys: its index and its outbox.

    A single task appends the records of the outbox and applies those of the
    stream to the index.

    Args:
        number: Number of the partition.
        client: Client of the log.
        clock: Clock for deadlines and intervals.
        throttle: Sets the time of the next append.
        forwarder: Forwards records to the owner of the partition; None if
            this VM always appends them itself.
    """

    def __init__(
        self,
        number: int,
        client: _client.LogClient,
        clock: core.Clock,
        throttle: _claims_throttle.AppendThrottle,
        forwarder: _claims_forward.ClaimForwarder | None,
    ) -> None:
        self.index = _claims_index.ClaimIndex()
        """State of the keys as of the last record that was read."""
        self._number = number
        self._stream = f'claims-{number:02}'
        self._client = client
        self._clock = clock
        self._throttle = throttle
        self._forwarder = forwarder
        self._outbox = _claims_work.Outbox()
        self._catch_up_waiters: list[_claims_work.CatchUpWaiter] = []
        self._position = 0
        self._epoch: int | None = None
        self._changed = anyio.Event()
        self._batch_due_at: float | None = None
        self._reread_at = 0.0
        self._flushing = False

    def submit(self, pending: _claims_work.PendingRecord) -> None:
        """Add a record to one of the next appends."""
        if not pending.own:
            # The sibling has already delayed the record to fill a batch, and
            # is waiting for the reply.
            self._batch_due_at = self._clock.now()
        elif self._batch_due_at is None:
            self._batch_due_at = self._clock.now() + _BATCH_DELAY_SECONDS
        self._outbox.add(pending)
        self._changed.set()

    async def flush(self) -> None:
        """Append all pending records now instead of waiting for a claim."""
        self._flushing = True
        self._changed.set()
        for pending in self._outbox.list_pending(
            _claims_work.MAX_PENDING_RECORDS
        ):
            await pending.done.wait()

    async def claim(self, pending: _claims_work.PendingRecord) -> None:
        """Submit a claim and wait until it is answered or has failed."""
        if self._clock.now() < self._throttle.unavailable_until:
            pending.fail(
                core.CodedError(
                    core.ErrorCode.LOG_UNAVAILABLE,
                    'the log did not answer',
                    resend=True,
                    resend_at=self._throttle.unavailable_until,
                )
            )
            return
        self.submit(pending)
        try:
            await pending.done.wait()
        except anyio.get_cancelled_exc_class():
            self._outbox.cancel_claim(pending)
            self._changed.set()
            raise

    async def catch_up(self) -> None:
        """Read the stream to its current end.

        Raises:
            CodedError: The log does not answer.
        """
        waiter = _claims_work.CatchUpWaiter()
        self._catch_up_waiters.append(waiter)
        self._changed.set()
        await waiter.done.wait()
        if waiter.error is not None:
            raise waiter.error

    async def run(self) -> None:
        """Append and read until cancelled."""
        while True:
            await self._wait_for_work()
            await self._append_and_read()

    async def _wait_for_work(self) -> None:
        """Wait until an append or a read is due."""
        while True:
            self._changed = anyio.Event()
            now = self._clock.now()
            due = self._find_due_time(now)
            if due is not None and due <= now:
                return
            await self._wait_until(due)

    def _find_due_time(self, now: float) -> float | None:
        if self._catch_up_waiters:
            return now
        if self._outbox.is_empty:
            self._flushing = False
            return None
        if self._outbox.has_claims or self._flushing:
            return self._throttle.next_at
        if self._outbox.has_unread_claims:
            return max(self._throttle.next_at, self._reread_at)
        return max(self._throttle.next_at, self._batch_due_at or 0.0)

    async def _wait_until(self, due: float | None) -> None:
        """Wait until a time, or until there is a new record or waiter."""
        if due is None:
            await self._changed.wait()
            return
        await core.wait_until(self._clock, self._changed, due)

    async def _append_and_read(self) -> None:
        """Append a batch and read the stream until its claims are answered."""
        self._fail_overdue()
        try:
            end_offset = 0
            batch = self._outbox.list_pending(_MAX_BATCH_RECORDS)
            if batch and self._clock.now() >= self._throttle.next_at:
                if not await self._try_forward(batch):
                    end_offset = await self._append(batch)
            if self._outbox.has_unread_claims or self._catch_up_waiters:
                await self._read_to(end_offset)
        except _client.AppendRateExceeded as error:
            self._throttle.record_refused(self._clock.now(), error.retry_at)
        except _client.LogUnavailable as error:
            self._fail_all(error)

    async def _try_forward(
        self, batch: list[_claims_work.PendingRecord]
    ) -> bool:
        """Forward a batch to the owner of the partition.

        Returns:
            Whether a sibling owns the partition and answered the batch.
        """
        forwarder = self._forwarder
        owner = forwarder.find_owner(self._number) if forwarder else None
        # Records that a sibling forwarded are appended here even if this VM
        # no longer considers itself the owner. Two VMs that disagree about
        # the owner would otherwise forward them to each other for ever.
        if not forwarder or not owner or not all(item.own for item in batch):
            return False
        self._outbox.record_possible_append(batch)
        answers = await self._request_answers(
            forwarder, owner, [pending.record for pending in batch]
        )
        if not _are_complete(batch, answers):
            return False
        self._outbox.record_appended(batch)
        self._batch_due_at = None
        for pending, answer in zip(batch, answers):
            self._outbox.complete_claims(pending.record.nonce, answer)
        return True

    async def _request_answers(
        self,
        forwarder: _claims_forward.ClaimForwarder,
        owner: str,
        records: list[_claims_records.ClaimsRecord],
    ) -> list[_claims_answers.ClaimAnswer | None]:
        """Forward records; return no answers if the owner fails or is late."""
        deadline = self._clock.now() + _FORWARD_TIMEOUT_SECONDS
        batch = _claims_forward.ForwardedRecords(
            self._number, records, deadline
        )
        answers: list[_claims_answers.ClaimAnswer | None] = []
        reason = 'timed out'
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                core.cancel_at, self._clock, deadline, tasks.cancel_scope
            )
            try:
                answers = await forwarder.forward(owner, batch)
            except core.CodedError as error:
                reason = str(error)
            tasks.cancel_scope.cancel()
        if not answers:
            _LOGGER.warning(
                'partition %d: owner %s failed (%s); appending without it',
                self._number,
                owner,
                reason,
            )
        return answers

    async def _append(self, batch: list[_claims_work.PendingRecord]) -> int:
        """Append a batch; return the offset up to which to read.

        Raises:
            LogUnavailable: The batch was certainly not appended.
            AppendRateExceeded: The log refused the append.
        """
        encoded = [
            _claims_codec.encode_record(pending.record) for pending in batch
        ]
        deadline = self._clock.now() + _REQUEST_TIMEOUT_SECONDS
        try:
            appended = await self._client.append(
                self._stream, encoded, deadline
            )
        except _client.LogUnavailable as error:
            if not error.may_be_appended:
                raise
            # The next read shows which claims are in the log. Others are
            # appended again with the same nonce.
            self._outbox.record_possible_append(batch)
            self._throttle.record_failure(self._clock.now())
            self._throttle.unavailable_until = 0.0
            return 0
        self._outbox.record_possible_append(batch)
        self._outbox.record_appended(batch)
        self._throttle.record_accepted(self._clock.now())
        self._batch_due_at = None
        return appended.first_offset + len(batch)

    async def _read_to(self, end_offset: int) -> None:
        """Read to the end of the stream, and at least up to an offset."""
        waiters, self._catch_up_waiters = self._catch_up_waiters, []
        try:
            while True:
                page = await self._read_page()
                self._check_epoch(page)
                for record in page.records:
                    self._apply(record)
                self._position = max(self._position, page.next)
                if self._position >= max(end_offset, page.end):
                    break
                if not page.records:
                    await self._wait_for_append()
                    if not self._outbox.has_unread_claims:
                        break
        except _client.LogUnavailable as error:
            for waiter in waiters:
                waiter.fail(error)
            raise
        self._reread_at = self._clock.now() + _REREAD_INTERVAL_SECONDS
        for waiter in waiters:
            waiter.done.set()

    def _check_epoch(self, page: _records.LogPage) -> None:
        """Start anew if the log has come back from an older copy.

        Raises:
            LogUnavailable: It has; the claims that wait may be lost.
        """
        if page.epoch == self._epoch:
            return
        known, self._epoch = self._epoch, page.epoch
        self.index.record_restore(page.restored_at)
        self._position = 0
        if known is not None:
            _LOGGER.error(
                'partition %d: the log came back older; epoch=%d before=%d',
                self._number,
                page.epoch,
                known,
            )
            raise _client.LogUnavailable('the log came back older', True)

    async def _wait_for_append(self) -> None:
        """Wait before the next read, as the log does not return an append."""
        await self._clock.sleep_until(
            self._clock.now() + _REREAD_INTERVAL_SECONDS
        )
        self._fail_overdue()

    async def _read_page(self) -> _records.LogPage:
        """Read the next page; a failed read is repeated once."""
        deadline = self._clock.now() + _REQUEST_TIMEOUT_SECONDS
        try:
            return await self._client.read(
                self._stream, self._position, _PAGE_RECORDS, 0, deadline
            )
        except _client.LogUnavailable:
            deadline = self._clock.now() + _REQUEST_TIMEOUT_SECONDS
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
            self._outbox.complete_claims(record.nonce, answer)

    def _fail_overdue(self) -> None:
        error = core.CodedError(
            core.ErrorCode.DEADLINE_EXCEEDED,
            'the deadline passed before the claim was recorded in the log',
        )
        self._outbox.fail_claims(self._clock.now(), error, overdue_only=True)

    def _fail_all(self, error: _client.LogUnavailable) -> None:
        """Fail all claims and waiters because the log is unavailable."""
        now = self._clock.now()
        self._throttle.record_failure(now)
        _LOGGER.warning(
            'partition %d: log request failed: %s', self._number, error.message
        )
        refusal = core.CodedError(
            core.ErrorCode.LOG_UNAVAILABLE,
            error.message,
            resend=True,
            resend_at=self._throttle.next_at,
        )
        self._outbox.fail_claims(now, refusal, overdue_only=False)
        for waiter in self._catch_up_waiters:
            waiter.fail(refusal)
        self._catch_up_waiters = []


def _are_complete(
    batch: list[_claims_work.PendingRecord],
    answers: list[_claims_answers.ClaimAnswer | None],
) -> bool:
    """Return whether an owner answered every claim of a batch."""
    if len(answers) != len(batch):
        return False
    return all(
        answer is not None or not _claims_work.is_claim(pending.record)
        for pending, answer in zip(batch, answers)
    )
