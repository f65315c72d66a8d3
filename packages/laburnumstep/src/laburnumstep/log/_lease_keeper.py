"""Acquires and renews leases through the log."""

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
_LOGGER = core.get_logger('log')
_RENEW_SECONDS = _lease_table.LEASE_SECONDS / 3
"""Time between renewals, in seconds; two may fail before the lease ends."""
_MARGIN_SECONDS = 1.0
"""How long before its end a holder stops using a lease, in seconds."""
_SPREAD_SECONDS = 2.0
"""Time over which VMs spread their attempts at a free lease, in seconds."""
_RETRY_SECONDS = 1.0
"""Pause after the log failed, in seconds."""
_POLL_SECONDS = 10.0
"""Longest wait for a record in one read, in seconds."""
_EXCHANGE_SECONDS = 2.0
_PAGE_RECORDS = 1000
_NONCE_BYTES = 8
_NEW_LEASE = -1


class LeaseKeeper:
    """Holds the leases that this VM wants, as far as the log grants them.

    A lease counts as held only by this VM's own reading of the log, and
    from the time before its append was sent. A VM that was paused therefore
    finds its lease ended when it resumes.

    Args:
        client: The log.
        vm_name: Name of this VM.
        clock: Measures how long a lease has been held.
        random_source: Spreads the attempts at a free lease.
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
        self._random = random_source or random.Random()
        self._holder = secrets.token_hex(_NONCE_BYTES)
        self._table = _lease_table.LeaseTable()
        self._position = 0
        self._serial = 0
        self._sent_at: dict[int, float] = {}
        self._attempt_at: dict[str, float] = {}
        self._changed = anyio.Event()

    def want(self, resource: str) -> None:
        """Try to hold the lease of a resource from now on."""
        self._attempt_at.setdefault(resource, self._clock.now())
        self._changed.set()

    def drop(self, resource: str) -> None:
        """Stop renewing the lease of a resource."""
        self._attempt_at.pop(resource, None)

    def find_fence(self, resource: str) -> int | None:
        """Return the fencing number of a lease, None if it is not held."""
        lease = self._table.find(resource)
        if lease is None or lease.holder != self._holder:
            return None
        sent_at = self._sent_at.get(lease.serial)
        if sent_at is None or resource not in self._attempt_at:
            return None
        ends_at = sent_at + _lease_table.LEASE_SECONDS - _MARGIN_SECONDS
        return lease.fence if self._clock.now() < ends_at else None

    async def run(self) -> None:
        """Follow the stream and renew leases until cancelled."""
        while True:
            try:
                await self._follow()
                await self._attempt_due()
            except core.CodedError as error:
                _LOGGER.warning('leases: %s', error.message)
                await self._clock.sleep_until(
                    self._clock.now() + _RETRY_SECONDS
                )

    async def _follow(self) -> None:
        """Read records until an attempt is due.

        Raises:
            LogUnavailable: The log does not answer.
        """
        while True:
            now = self._clock.now()
            self._changed = anyio.Event()
            due = min(self._attempt_at.values(), default=now + _POLL_SECONDS)
            wait = min(max(0.0, due - now), _POLL_SECONDS)
            page = await self._read(wait, now + wait)
            if page is not None:
                for record in page.records:
                    self._apply(record)
                self._position = max(self._position, page.next)
                if self._position < page.end:
                    continue
            if due <= now:
                return

    async def _read(self, wait: float, due: float) -> _records.LogPage | None:
        """Wait for records, for a time or for a new wish."""
        page = None
        error: core.CodedError | None = None
        deadline = self._clock.now() + wait + _EXCHANGE_SECONDS
        async with anyio.create_task_group() as tasks:
            if wait > 0:
                tasks.start_soon(self._interrupt, due, tasks.cancel_scope)
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

    async def _interrupt(self, due: float, scope: anyio.CancelScope) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                core.cancel_at, self._clock, due, tasks.cancel_scope
            )
            await self._changed.wait()
            tasks.cancel_scope.cancel()
        scope.cancel()

    def _apply(self, stored: _records.LogRecord) -> None:
        if stored.offset < self._position:
            return
        try:
            record = _lease_codec.decode_acquire(stored.data)
        except ValueError as error:
            _LOGGER.warning('leases offset %d: %s', stored.offset, error)
            return
        if record is None:
            return
        self._table.apply(record, stored.offset, stored.appended_at)
        if record.resource in self._attempt_at:
            self._plan(record.resource)

    def _plan(self, resource: str) -> None:
        """Set the next attempt after a record of a resource."""
        now = self._clock.now()
        if self.find_fence(resource) is not None:
            self._attempt_at[resource] = now + _RENEW_SECONDS
            return
        # The record was appended before it was read, so its lease has
        # ended by then in the log's time.
        spread = self._random.random() * _SPREAD_SECONDS
        self._attempt_at[resource] = now + _lease_table.LEASE_SECONDS + spread

    async def _attempt_due(self) -> None:
        """Append the records of all leases whose attempt is due.

        Raises:
            LogUnavailable: The log does not answer.
            AppendRateExceeded: The log refused the append.
        """
        now = self._clock.now()
        due = [name for name, at in self._attempt_at.items() if at <= now]
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
            # Repeated after a while unless the record is read before.
            self._attempt_at[name] = now + _RETRY_SECONDS
        await self._client.append(
            LEASES_STREAM, records, now + _EXCHANGE_SECONDS
        )

    def _build_record(
        self, resource: str, now: float
    ) -> _lease_table.AcquireRecord:
        fence = self.find_fence(resource)
        return _lease_table.AcquireRecord(
            resource,
            self._vm,
            self._holder,
            self._serial,
            _NEW_LEASE if fence is None else fence,
            now + _lease_table.LEASE_SECONDS,
        )
