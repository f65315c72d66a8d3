"""Reads load reports from engines."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep import targets

if typing.TYPE_CHECKING:
    from laburnumstep.platform import _servers


@attrs.frozen
class NoCacheEvents:
    """An empty page of cache events, for an engine whose cache is not read."""

    events: list[targets.CacheEvent] = attrs.field(factory=list)
    """Always empty."""
    next: int = 0
    """Sequence number at which the next read starts."""


class ReportClient:
    """Reads the reports of one engine; implements `targets.LoadClient`.

    Args:
        client: Sends the requests.
        target: The engine.
    """

    def __init__(
        self, client: _servers.ServerClient, target: core.EngineTarget
    ) -> None:
        self._client = client
        self._target = target

    async def read_load(self, deadline: float) -> targets.LoadReport:
        """Return the engine's load report.

        Args:
            deadline: End of the request, in epoch seconds.

        Raises:
            StreamBroken: The engine did not answer.
            MalformedStream: The answer is an error or cannot be decoded.
        """
        return await self._client.read_report(self._target, deadline)

    async def read_cache_events(
        self, start: int, deadline: float
    ) -> NoCacheEvents:
        """Return no events.

        Cache events are not read on the platform: placement compares
        engines by their memory only.
        """
        return NoCacheEvents(next=start)


class ReportClients:
    """Finds clients of engines by name; implements `targets.LoadClients`.

    Args:
        client: Sends the requests.
        registry: The registered targets.
    """

    def __init__(
        self, client: _servers.ServerClient, registry: targets.TargetRegistry
    ) -> None:
        self._client = client
        self._registry = registry

    def find(self, target: str) -> ReportClient | None:
        """Return the client of an engine, or None if it is not registered."""
        registered = self._registry.find(target)
        if isinstance(registered, core.EngineTarget):
            return ReportClient(self._client, registered)
        return None
