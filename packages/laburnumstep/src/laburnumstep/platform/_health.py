"""Asks servers whether they are cold while their entries cannot be read."""

from __future__ import annotations

import typing

import anyio

from laburnumstep import core

if typing.TYPE_CHECKING:
    from laburnumstep.platform import _directory
    from laburnumstep.platform import _servers
    from laburnumstep import targets

INTERVAL_SECONDS = 1.0
"""Pause between two questions to a server, in seconds. Servers renew their
entries as often."""
ANSWER_SECONDS = 0.5
"""How long an answer is awaited, in seconds."""
MAX_QUESTIONS = 32
"""Most questions at the same time."""

_LOGGER = core.get_logger('platform')


class HealthWatch:
    """Reads the health of servers of services that limit cold ones.

    A server may become cold while the store is away. Each server is asked by
    one VM, the one that issues its permits, which tells the others; a VM that
    is cut off sees itself alone and asks all of them.

    Args:
        client: Asks the servers; their answers say whether they are cold.
        registry: The registered targets.
        directory: Knows the service of each server.
        owns: Returns whether this VM issues the permits of a target.
        clock: Clock of the intervals.
    """

    def __init__(
        self,
        client: _servers.ServerClient,
        registry: targets.TargetRegistry,
        directory: _directory.Directory,
        owns: typing.Callable[[str], bool],
        clock: core.Clock,
    ) -> None:
        self._client = client
        self._registry = registry
        self._directory = directory
        self._owns = owns
        self._clock = clock
        self._paths: dict[str, str] = {}
        self._limiter = anyio.Semaphore(MAX_QUESTIONS)

    def apply_paths(self, paths: dict[str, str]) -> None:
        """Replace the paths that are asked.

        Args:
            paths: Path of the health of a server, by name of the service.
        """
        self._paths = paths

    async def run(self) -> None:
        """Ask periodically until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now() + INTERVAL_SECONDS)
            if self._paths and not self._registry.reliable:
                await self.ask_all()

    async def ask_all(self) -> None:
        """Ask all servers that this VM has to ask."""
        async with anyio.create_task_group() as tasks:
            for name, target in self._registry.targets.items():
                path = self._paths.get(self._directory.find_service(name))
                if path and not target.leaving and self._owns(name):
                    tasks.start_soon(self._ask, target, path)

    async def _ask(self, target: core.Target, path: str) -> None:
        async with self._limiter:
            deadline = self._clock.now() + ANSWER_SECONDS
            error = await self._client.check_health(target, path, deadline)
        if error:
            _LOGGER.info(
                'health cannot be read; target=%s reason=%s',
                target.name,
                error,
            )
