"""Clients of all engines of the deployment."""

from __future__ import annotations

from laburnumstep import core
from laburnumstep.targets import _coalescing
from laburnumstep.targets import _engine_client


class EngineClients:
    """Keeps one client for each declared engine."""

    def __init__(self) -> None:
        self._pacer = _coalescing.ReadPacer()
        self._clients: dict[str, _engine_client.EngineClient] = {}
        self._addresses: dict[str, str] = {}

    def apply_deployment(self, deployment: core.Deployment) -> None:
        """Make clients for new engines and drop those of removed ones.

        Streams of a dropped client go on until they end.
        """
        declared = {
            name: target.address
            for name, target in deployment.targets.items()
            if isinstance(target, core.EngineTarget)
        }
        for name in list(self._clients):
            if declared.get(name) != self._addresses[name]:
                del self._clients[name]
                del self._addresses[name]
        for name, address in declared.items():
            if name not in self._clients:
                self._clients[name] = _engine_client.EngineClient(
                    address, self._pacer
                )
                self._addresses[name] = address

    def find(self, target: str) -> _engine_client.EngineClient | None:
        """Return the client of an engine, or None."""
        return self._clients.get(target)

    def get(self, target: str) -> _engine_client.EngineClient:
        """Return the client of a declared engine.

        Raises:
            KeyError: The engine is not declared.
        """
        return self._clients[target]

    def list_names(self) -> list[str]:
        """Return the names of all engines."""
        return list(self._clients)
