"""Clients of all engines of the deployment."""

from __future__ import annotations

import functools
import typing

from laburnumstep import core
from laburnumstep.targets import _coalescing
from laburnumstep.targets import _engine_client

if typing.TYPE_CHECKING:
    from laburnumstep.targets import limits


class EngineClients:
    """Creates and caches a client for each declared engine.

    Args:
        target_limits: Receives the limits that engines name.
    """

    def __init__(self, target_limits: limits.TargetLimits) -> None:
        self._target_limits = target_limits
        self._pacer = _coalescing.ReadPacer()
        self._clients: dict[str, _engine_client.EngineClient] = {}
        self._addresses: dict[str, str] = {}

    def apply_deployment(self, deployment: core.Deployment) -> None:
        """Use the addresses of the engines that a deployment declares.

        Clients are created at their first use. If an engine is no longer
        declared, the streams of its client continue until they end.
        """
        declared = {
            name: target.address
            for name, target in deployment.targets.items()
            if isinstance(target, core.EngineTarget)
        }
        for name in list(self._clients):
            if declared.get(name) != self._addresses[name]:
                del self._clients[name]
        self._addresses = declared

    def find(self, target: str) -> _engine_client.EngineClient | None:
        """Return the client of an engine, or None if it is not declared."""
        client = self._clients.get(target)
        if client is None and target in self._addresses:
            client = _engine_client.EngineClient(
                self._addresses[target],
                self._pacer,
                functools.partial(self._target_limits.record_header, target),
            )
            self._clients[target] = client
        return client

    def get(self, target: str) -> _engine_client.EngineClient:
        """Return the client of a declared engine.

        Raises:
            KeyError: The engine is not declared.
        """
        client = self.find(target)
        if client is None:
            raise KeyError(target)
        return client
