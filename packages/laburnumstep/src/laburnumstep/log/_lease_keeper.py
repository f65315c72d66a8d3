"""Acquisition and renewal of leases through the log."""

from __future__ import annotations

import random
import secrets
import typing

import anyio

from laburnumstep import core
from laburnumstep.log import _client
from laburnumstep.log import _lease_codec
from laburnumstep.log import _lease_table

if typing.TYPE_CHECKING:
    from laburnumstep.log import _records

LEASES_STREAM = 'leases'
"""Name of the stream for leases and for the order of weight fetches."""
_LOGGER = core.get_logger('log')
FENCE_EPOCH_SHIFT = 36
"""Bits of a fencing token below the epoch of the log. Tokens of a thousand
epochs are whole numbers in JSON."""
_RENEWAL_INTERVAL_SECONDS = _lease_table.LEASE_SECONDS / 3
"""Time between renewals, in seconds. Two of them can fail before the lease
ends."""
_EXPIRY_MARGIN_SECONDS = 1.0
"""How long before the end of a lease its holder stops using it, in
seconds."""
_ATTEMPT_SPREAD_SECONDS = 2.0
"""Longest random delay before an attempt to acquire a lease that another VM
holds, in seconds."""
_RETRY_SECONDS = 1.0
"""Delay after a failed request to the log, in seconds."""
_LONG_POLL_SECONDS = 10.0
"""Longest time for which a read waits for a record, in seconds."""
_REQUEST_TIMEOUT_SECONDS = 2.0
_PAGE_RECORDS = 1000
_NONCE_BYTES = 8
_NO_FENCE = -1
"""Fencing token in a record that does not renew a lease."""


class LeaseKeeper:
    """Acquires and renews leases for this VM.

    This VM holds a lease once it has read its own record in the log. The
    time that remains is counted from before the append was sent, so a VM
    that was paused finds that its lease has ended when it resumes.

    Args:
        client: Client of the log.
        vm_name: Name of this VM.
        clock: Measures how long a lease has been held.
        random_source: Source of the jitter of attempts to acquire a lease.
    """

    def __init__(
        self,
        client: _client.LogClient,
        vm_name: str,
        clock: core.Clock,
        random_source: random.Random | None = None,
    ) -> None:
        self._client = client
        self._vm = vm_name
        self._clock = clock
        self._random_source = random_source or random.Random()
        self._holder = secrets.token_hex(_NONCE_BYTES)
        self._table = _lease_table.LeaseTable()
        self._position = 0
        self._epoch = 0
        self._serial = 0
        self._sent_at: dict[int, float] = {}
        self._attempt_times: dict[str, float] = {}
        self._changed = anyio.Event()

    def request(self, resource: str) -> None:
        """Acquire the lease of a resource and keep renewing it."""
        self._attempt_times.setdefault(resource, self._clock.now())
        self._changed.set()

    def stop_renewing(self, resource: str) -> None:
        """Stop acquiring and renewing the lease of a resource."""
        self._attempt_times.pop(resource, None)

    def find_fencing_token(self, resource: str) -> int | None:
        """Return the fencing token of a lease, or None if it is not held."""
        lease = self._table.find(resource)
        if lease is None or lease.holder != self._holder:
            return None
        sent_at = self._sent_at.get(lease.serial)
        if sent_at is None or resource not in self._attempt_times:
            return None
        ends_at = sent_at + _lease_table.LEASE_SECONDS - _EXPIRY_MARGIN_SECONDS
        return lease.fence if self._clock.now() < ends_at else None

    async def run(self) -> None:
        """Read the stream and renew leases until cancelled."""
        while True:
            try:
                await self._follow()
                await self._append_due_attempts()
            except core.CodedError as error:
                _LOGGER.warning('lease request failed: %s', error.message)
                await self._clock.sleep_until(
                    self._clock.now() + _RETRY_SECONDS
                )

    async def _follow(self) -> None:
        """Read records until an attempt is due.

        Raises:
            LogUnavailable: The log did not answer.
        """
        while True:
            now = self._clock.now()
            self._changed = anyio.Event()
            due = min(
                self._attempt_times.values(), default=now + _LONG_POLL_SECONDS
            )
            wait = min(max(0.0, due - now), _LONG_POLL_SECONDS)
            page = await self._read(wait, now + wait)
            if page is not None:
                if page.epoch != self._epoch:
                    self._start_epoch(page.epoch)
                    continue
                for record in page.records:
                    self._apply(record)
                self._position = max(self._position, page.next)
                if self._position < page.end:
                    continue
            if due <= now:
                return

    def _start_epoch(self, epoch: int) -> None:
        """Forget the leases of a log that has come back from an older copy."""
        if self._position:
            _LOGGER.error(
                'the leases came back older; epoch=%d before=%d',
                epoch,
                self._epoch,
            )
        self._epoch = epoch
        self._table = _lease_table.LeaseTable()
        self._position = 0

    async def _read(self, wait: float, due: float) -> _records.LogPage | None:
        """Read records, waiting for them until an attempt is due.

        Returns:
            The page, or None if the wait was cut short, for instance because
            another lease was requested.
        """
        page = None
        error: core.CodedError | None = None
        deadline = self._clock.now() + wait + _REQUEST_TIMEOUT_SECONDS
        async with anyio.create_task_group() as tasks:
            if wait > 0:
                tasks.start_soon(
                    self._cancel_when_due, due, tasks.cancel_scope
                )
            try:
                page = await self._client.read(
                    LEASES_STREAM,
                    self._position,
                    _PAGE_RECORDS,
                    wait,
                    deadline,
                )
            except _client.LogUnavailable as failure:
                error = failure
            tasks.cancel_scope.cancel()
        if error is not None:
            raise error
        return page

    async def _cancel_when_due(
        self, due: float, scope: anyio.CancelScope
    ) -> None:
        await core.wait_until(self._clock, self._changed, due)
        scope.cancel()

    def _apply(self, stored: _records.LogRecord) -> None:
        if stored.offset < self._position:
            return
        try:
            record = _lease_codec.decode_acquire(stored.data)
        except ValueError as error:
            _LOGGER.warning(
                'skipped the lease record at %d: %s', stored.offset, error
            )
            return
        if record is None:
            return
        position = (self._epoch << FENCE_EPOCH_SHIFT) + stored.offset
        self._table.apply(record, position, stored.appended_at)
        if record.resource in self._attempt_times:
            self._schedule_attempt(record.resource)

    def _schedule_attempt(self, resource: str) -> None:
        """Set the time of the next attempt after a record of a resource."""
        now = self._clock.now()
        if self.find_fencing_token(resource) is not None:
            self._attempt_times[resource] = now + _RENEWAL_INTERVAL_SECONDS
            return
        # The record was appended before it was read. By the log's clock its
        # lease has therefore ended at the time of the next attempt.
        spread = self._random_source.random() * _ATTEMPT_SPREAD_SECONDS
        self._attempt_times[resource] = (
            now + _lease_table.LEASE_SECONDS + spread
        )

    async def _append_due_attempts(self) -> None:
        """Append a record for each lease whose attempt is due.

        Raises:
            LogUnavailable: The log did not answer.
            AppendRateExceeded: The log refused the append.
        """
        now = self._clock.now()
        due = [name for name, at in self._attempt_times.items() if at <= now]
        if not due:
            return
        self._serial += 1
        self._sent_at = {
            serial: at
            for serial, at in self._sent_at.items()
            if at > now - _lease_table.LEASE_SECONDS
        }
        self._sent_at[self._serial] = now
        records = [
            _lease_codec.encode_acquire(self._build_record(name, now))
            for name in due
        ]
        for name in due:
            # Repeats the attempt unless the record has been read by then.
            self._attempt_times[name] = now + _RETRY_SECONDS
        await self._client.append(
            LEASES_STREAM, records, now + _REQUEST_TIMEOUT_SECONDS
        )

    def _build_record(
        self, resource: str, now: float
    ) -> _lease_table.AcquireRecord:
        fence = self.find_fencing_token(resource)
        return _lease_table.AcquireRecord(
            resource,
            self._vm,
            self._holder,
            self._serial,
            _NO_FENCE if fence is None else fence,
            now + _lease_table.LEASE_SECONDS,
        )
