"""Permits for fetches, ordered by the log."""

from __future__ import annotations

import secrets

import anyio
import attrs

from laburnumstep import core
from laburnumstep import log
from laburnumstep.weights import _codec
from laburnumstep.weights import _schedule


_INTERVAL_FACTOR = 1.5
"""Time between the start of two permits, as a multiple of the interval that
the store's rate allows. A permit may be used up to half an interval late, and
two fetches are then still a full interval apart."""
_LATENESS_FACTOR = 0.5
"""How long a permit stays valid, as a multiple of the same interval."""
_REQUEST_TIMEOUT_SECONDS = 2.0
_PAGE_RECORDS = 1000
_REREAD_INTERVAL_SECONDS = 0.1
_NONCE_BYTES = 8


@attrs.frozen
class Permit:
    """The time in which a fetch may start, by this VM's clock."""

    earliest: float
    """Earliest start, in epoch seconds."""
    latest: float
    """Latest start, in epoch seconds."""


class FetchPermits:
    """Limits the rate of fetches over all VMs.

    Each fetch appends a record to the `leases` stream. All VMs read the same
    records and compute the same start time for each of them, so the rate
    needs no coordinator. A VM that dies only wastes its own permits.

    Args:
        client: Client of the log.
        vm_name: Name of this VM.
        clock: Clock by which permits are valid.
        fetches_per_second: Rate limit of the store, the same on all VMs.
    """

    def __init__(
        self,
        client: log.LogClient,
        vm_name: str,
        clock: core.Clock,
        fetches_per_second: float,
    ) -> None:
        self._client = client
        self._vm = vm_name
        self._clock = clock
        self._max_lateness_seconds = _LATENESS_FACTOR / fetches_per_second
        self._schedule = _schedule.FetchSchedule(
            _INTERVAL_FACTOR / fetches_per_second
        )
        self._position = 0
        self._lock = anyio.Lock()

    async def reserve(self) -> Permit | None:
        """Reserve a permit for one fetch.

        Returns:
            The permit, or None if too many are reserved already.

        Raises:
            CodedError: The log did not answer.
        """
        async with self._lock:
            nonce = secrets.token_hex(_NONCE_BYTES)
            sent_at = self._clock.now()
            record = _schedule.FetchRecord(self._vm, nonce)
            await self._client.append(
                log.LEASES_STREAM,
                [_codec.encode_fetch(record)],
                sent_at + _REQUEST_TIMEOUT_SECONDS,
            )
            delay = await self._read_up_to_record(nonce)
        if delay is None:
            return None
        # The append took effect at an unknown time between its request and
        # the read. The permit starts at the latest and ends at the earliest
        # time that is consistent with this.
        return Permit(
            self._clock.now() + delay,
            sent_at + delay + self._max_lateness_seconds,
        )

    async def _read_up_to_record(self, nonce: str) -> float | None:
        """Read up to a record; return the delay until its fetch."""
        while True:
            page = await self._client.read(
                log.LEASES_STREAM,
                self._position,
                _PAGE_RECORDS,
                0,
                self._clock.now() + _REQUEST_TIMEOUT_SECONDS,
            )
            delay = None
            is_read = False
            for stored in page.records:
                record = _codec.decode_fetch(stored.data)
                if record is None or stored.offset < self._position:
                    continue
                starts_at = self._schedule.apply(stored.appended_at)
                if record.nonce == nonce:
                    is_read = True
                    if starts_at is not None:
                        delay = starts_at - stored.appended_at
            self._position = max(self._position, page.next)
            if is_read:
                return delay
            if not page.records:
                await self._clock.sleep_until(
                    self._clock.now() + _REREAD_INTERVAL_SECONDS
                )
