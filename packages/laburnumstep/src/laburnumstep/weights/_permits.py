"""Permits for fetches, through the log."""

from __future__ import annotations

import secrets

import anyio
import attrs

from laburnumstep import core
from laburnumstep import log
from laburnumstep.weights import _codec
from laburnumstep.weights import _schedule


_INTERVAL_SHARE = 1.5
"""Time between permits in intervals of the store's rate. A permit may be
used up to half an interval late, and two fetches are then still a full
interval apart."""
_LATE_SHARE = 0.5
_EXCHANGE_SECONDS = 2.0
_PAGE_RECORDS = 1000
_REREAD_SECONDS = 0.1
_NONCE_BYTES = 8


@attrs.frozen
class Permit:
    """When a fetch may begin, by this VM's clock."""

    earliest: float
    """Not before this time, in epoch seconds."""
    latest: float
    """Not after this time, in epoch seconds."""


class FetchPermits:
    """Places fetches in one sequence over the whole fleet.

    Every VM reads the same records of the `leases` stream and so gives each
    fetch the same time. Nobody hands out shares, and a VM that dies wastes
    its own place only.

    Args:
        client: The log.
        vm_name: Name of this VM.
        clock: Compared with the permits.
        fetches_per_second: The store's rate; the same on every VM.
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
        self._late_seconds = _LATE_SHARE / fetches_per_second
        self._schedule = _schedule.FetchSchedule(
            _INTERVAL_SHARE / fetches_per_second
        )
        self._position = 0
        self._lock = anyio.Lock()

    async def reserve(self) -> Permit | None:
        """Reserve a place in the sequence.

        Returns:
            The permit, or None when there is none to be had now.

        Raises:
            CodedError: The log does not answer.
        """
        async with self._lock:
            nonce = secrets.token_hex(_NONCE_BYTES)
            sent_at = self._clock.now()
            record = _schedule.FetchRecord(self._vm, nonce)
            await self._client.append(
                log.LEASES_STREAM,
                [_codec.encode_fetch(record)],
                sent_at + _EXCHANGE_SECONDS,
            )
            wait = await self._read_to(nonce)
        if wait is None:
            return None
        # The append happened after it was sent and before it was read. The
        # permit begins at the latest and ends at the earliest time that
        # this leaves open.
        return Permit(
            self._clock.now() + wait, sent_at + wait + self._late_seconds
        )

    async def _read_to(self, nonce: str) -> float | None:
        """Read up to a record; return how long after it the fetch begins."""
        while True:
            page = await self._client.read(
                log.LEASES_STREAM,
                self._position,
                _PAGE_RECORDS,
                0,
                self._clock.now() + _EXCHANGE_SECONDS,
            )
            wait = None
            found = False
            for stored in page.records:
                record = _codec.decode_fetch(stored.data)
                if record is None or stored.offset < self._position:
                    continue
                begins_at = self._schedule.apply(stored.appended_at)
                if record.nonce == nonce:
                    found = True
                    if begins_at is not None:
                        wait = begins_at - stored.appended_at
            self._position = max(self._position, page.next)
            if found:
                return wait
            if not page.records:
                await self._clock.sleep_until(
                    self._clock.now() + _REREAD_SECONDS
                )
