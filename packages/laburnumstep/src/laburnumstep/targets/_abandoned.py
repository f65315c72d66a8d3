"""Cancels generations whose callers are gone and did not come back."""

from __future__ import annotations

import heapq
import typing

import anyio
import attrs

from laburnumstep import core
from laburnumstep.targets import _engine_client

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _engine_clients

GRACE_SECONDS = 30.0
"""How long a caller may take to resume its stream, in seconds."""
CANCEL_SECONDS = 2.0
"""Longest wait for an engine to cancel, in seconds."""
MAX_KEPT = 10_000
"""Generations that are kept; the ones due first are dropped beyond it."""

_LOGGER = core.get_logger('targets')


@attrs.frozen(order=True)
class _Abandoned:
    due_at: float
    target: str
    generation: str


class AbandonedGenerations:
    """Frees the memory of generations that nobody reads.

    A caller may have resumed its stream through another VM, so the engine
    is asked to cancel only a generation without a reader.

    Args:
        clients: Clients of the engines.
        clock: The time.
    """

    def __init__(
        self, clients: _engine_clients.EngineClients, clock: core.Clock
    ) -> None:
        self._clients = clients
        self._clock = clock
        self._heap: list[_Abandoned] = []
        self._added = anyio.Event()

    def add(self, target: str, generation: str) -> None:
        """Note that the caller of a generation is gone."""
        due_at = self._clock.now() + GRACE_SECONDS
        heapq.heappush(self._heap, _Abandoned(due_at, target, generation))
        if len(self._heap) > MAX_KEPT:
            heapq.heappop(self._heap)
        self._added.set()

    async def run(self) -> None:
        """Cancel what is due until cancelled."""
        while True:
            if not self._heap:
                self._added = anyio.Event()
                await self._added.wait()
            due = self._heap[0]
            await self._clock.sleep_until(due.due_at)
            if self._heap and self._heap[0] == due:
                heapq.heappop(self._heap)
                await self._cancel(due)

    async def _cancel(self, due: _Abandoned) -> None:
        client = self._clients.find(due.target)
        if client is None:
            return
        deadline = self._clock.now() + CANCEL_SECONDS
        try:
            await client.cancel_unread(due.generation, deadline)
        except _engine_client.StreamBroken as error:
            _LOGGER.info('cancel was not confirmed; reason=%s', error)
            return
        _LOGGER.info(
            'cancelled if unread; generation=%s target=%s',
            due.generation,
            due.target,
        )
