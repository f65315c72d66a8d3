"""Reads the engines' load reports."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep import targets

if typing.TYPE_CHECKING:
    from laburnumstep.platform import _servers


@attrs.frozen
class NoCacheEvents:
    """Stands for cache events that are not read."""

    events: list[targets.CacheEvent] = attrs.field(factory=list)
    """No changes."""
    next: int = 0
    """Number of the first change."""


class ReportClient:
    """Reads the reports of one engine, as `targets.LoadClient`.

    Args:
        port: Sends to servers.
        target: The engine.
    """

    def __init__(
        self, port: _servers.ServerPort, target: core.EngineTarget
    ) -> None:
        self._port = port
        self._target = target

    async def read_load(self, deadline: float) -> targets.LoadReport:
        """Return the engine's load.

        Raises:
            StreamBroken: The engine did not answer.
            MalformedStream: The answer cannot be read.
        """
        return await self._port.read_report(self._target, deadline)

    async def read_cache_events(
        self, start: int, deadline: float
    ) -> NoCacheEvents:
        """Return no changes; placement goes by memory alone here."""
        return NoCacheEvents(next=start)


class ReportClients:
    """Clients of the registered engines, as `targets.LoadClients`.

    Args:
        port: Sends to servers.
        registry: Registered targets.
    """

    def __init__(
        self, port: _servers.ServerPort, registry: targets.TargetRegistry
    ) -> None:
        self._port = port
        self._registry = registry

    def find(self, target: str) -> ReportClient | None:
        """Return the client of an engine, or None if it is not known."""
        registered = self._registry.find(target)
        if isinstance(registered, core.EngineTarget):
            return ReportClient(self._port, registered)
        return None
