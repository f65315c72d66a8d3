"""Keeps the crash reports behind refusals in the platform's store.

Siblings hand on the evidence to a VM that restarts. When all VMs restart at
once nobody has it, and each part would crash targets again to be found.
"""

from __future__ import annotations

import typing

import anyio

from laburnumstep import core
from laburnumstep import log
from laburnumstep import targets

SETTLE_SECONDS = 0.2
"""Time between new evidence and the next write, in seconds. Reports of one
crash by several VMs arrive within it."""
CALL_SECONDS = 2.0
"""Timeout of a call to the store, in seconds."""
RETRY_SECONDS = 2.0
"""Pause after a failed call to the store, in seconds."""

_LOGGER = core.get_logger('log')


class EvidenceStore(typing.Protocol):
    """A keyed topic that this VM may write."""

    async def read_newest(self, deadline: float) -> log.KeyedPage:
        """Return the newest record of each key."""
        ...

    async def append(
        self, key: str, value: bytes | None, deadline: float
    ) -> None:
        """Set the value of a key; None removes it."""
        ...


class CrashArchive:
    """Loads the stored crash reports and keeps those that explain a refusal.

    Args:
        ledger: The ledger of this VM.
        store: The topic of the reports.
        owns: Returns whether this VM is the one that writes a key.
        clock: Clock of the pauses and deadlines.
    """

    def __init__(
        self,
        ledger: targets.CrashLedger,
        store: EvidenceStore,
        owns: typing.Callable[[str], bool],
        clock: core.Clock,
    ) -> None:
        self._ledger = ledger
        self._store = store
        self._owns = owns
        self._clock = clock
        self._stored: set[str] = set()
        self._restored = False
        self._changed = anyio.Event()
        ledger.subscribe_changes(lambda: self._changed.set())

    def record_restore(self) -> None:
        """Store again what the store has lost, as it has come back older."""
        self._restored = True
        self._changed.set()

    async def run(self) -> None:
        """Load the reports, then write changes until cancelled."""
        await self._retry(self._load)
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            await self._pause(SETTLE_SECONDS)
            if self._restored:
                self._restored = False
                self._stored.clear()
                await self._retry(self._load)
            await self._retry(self._write)

    async def _retry(
        self, step: typing.Callable[[float], typing.Awaitable[None]]
    ) -> None:
        while True:
            try:
                await step(self._clock.now() + CALL_SECONDS)
                return
            except log.TopicUnavailable as error:
                _LOGGER.info('crash reports are not stored; reason=%s', error)
            await self._pause(RETRY_SECONDS)

    async def _pause(self, seconds: float) -> None:
        await self._clock.sleep_until(self._clock.now() + seconds)

    async def _load(self, deadline: float) -> None:
        page = await self._store.read_newest(deadline)
        for record in page.records:
            if record.value is None:
                continue
            self._stored.add(record.key)
            try:
                self._ledger.merge(targets.decode_evidence(record.value))
            except ValueError as error:
                _LOGGER.warning(
                    'malformed crash report; key=%s reason=%s',
                    record.key,
                    error,
                )

    async def _write(self, deadline: float) -> None:
        """Store the reports that explain a refusal, and remove others."""
        wanted = {
            f'{report.target} {report.crashed_at:.3f}': report
            for report in self._ledger.list_culprit_reports()
        }
        for key, report in wanted.items():
            if key not in self._stored and self._owns(key):
                value = targets.encode_evidence(report)
                await self._store.append(key, value, deadline)
                self._stored.add(key)
        for key in self._stored - set(wanted):
            if self._owns(key):
                await self._store.append(key, None, deadline)
                self._stored.discard(key)
