"""Cancellation of generations whose callers have disconnected."""

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
"""Longest wait for an engine to confirm a cancellation, in seconds."""
MAX_PENDING = 10_000
"""Maximum number of generations waiting for cancellation. Beyond it, the
ones due first are dropped without being cancelled."""

_LOGGER = core.get_logger('targets')


@attrs.frozen(order=True)
class _OrphanedGeneration:
    due_at: float
    target: str
    generation: str


class AbandonedGenerations:
    """Cancels orphaned generations after a grace period.

    A caller may have resumed its stream through another VM, so the engine
    is asked to cancel a generation only if no connection reads its stream.

    Args:
        clients: Clients of the engines.
        clock: Clock for grace periods and deadlines.
    """

    def __init__(
        self, clients: _engine_clients.EngineClients, clock: core.Clock
    ) -> None:
        self._clients = clients
        self._clock = clock
        self._pending: list[_OrphanedGeneration] = []
        self._added = anyio.Event()

    def add(self, target: str, generation: str) -> None:
        """Schedule the cancellation of an orphaned generation.

        Args:
            target: Name of the engine.
            generation: Identifier of the generation.
        """
        due_at = self._clock.now() + GRACE_SECONDS
        heapq.heappush(
            self._pending, _OrphanedGeneration(due_at, target, generation)
        )
        if len(self._pending) > MAX_PENDING:
            heapq.heappop(self._pending)
        self._added.set()

    async def run(self) -> None:
        """Cancel generations as they become due, until cancelled."""
        while True:
            if not self._pending:
                self._added = anyio.Event()
                await self._added.wait()
            due = self._pending[0]
            await self._clock.sleep_until(due.due_at)
            if self._pending and self._pending[0] == due:
                heapq.heappop(self._pending)
                await self._cancel(due)

    async def _cancel(self, due: _OrphanedGeneration) -> None:
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
