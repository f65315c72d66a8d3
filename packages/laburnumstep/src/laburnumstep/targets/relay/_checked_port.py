"""Sends requests only where they may run."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep.targets import places
from laburnumstep.targets.relay import _ports

_LOGGER = core.get_logger('relay')


class CheckedPort:
    """A target port behind the check of where requests may be sent.

    Every request and every order to copy a run passes it last, because a
    request may have waited since its target was chosen.

    Args:
        port: Sends the requests.
        rules: Where requests may be sent.
    """

    def __init__(
        self, port: _ports.TargetPort, rules: places.PlaceRules
    ) -> None:
        self._port = port
        self._rules = rules

    async def send(self, attempt: _ports.Attempt) -> _ports.Reply:
        """Send a request if it may run at its target.

        A backup engine that may not hold a copy of the run is left out.

        Args:
            attempt: The request and the target.
        """
        regions = attempt.request.regions
        verdict = self._rules.check(regions, attempt.target)
        if isinstance(verdict, places.Forbidden):
            return _ports.Barred(verdict.reason)
        backup = attempt.backup
        if backup is not None and not self._rules.permits(regions, backup):
            _LOGGER.info(
                'backup left out; request=%s backup=%s',
                attempt.request.key,
                backup.name,
            )
            attempt = attrs.evolve(attempt, backup=None)
        return await self._port.send(attempt)

    async def copy_run(
        self,
        request: _ports.RelayRequest,
        source: core.Target,
        destination: core.Target,
        deadline: float,
    ) -> _ports.CopyResult:
        """Copy the memory of a run to another engine if it may run there."""
        verdict = self._rules.check(request.regions, destination)
        match verdict:
            case places.Forbidden(reason=reason):
                return _ports.CopyFailed(reason)
            case places.Permitted():
                return await self._port.copy_run(
                    request, source, destination, deadline
                )
            case _:
                typing.assert_never(verdict)

    async def move_run(
        self,
        request: _ports.RelayRequest,
        source: core.Target,
        destination: core.Target,
        deadline: float,
    ) -> _ports.MoveResult:
        """Stop a run and move it to another engine if it may run there."""
        verdict = self._rules.check(request.regions, destination)
        match verdict:
            case places.Forbidden(reason=reason):
                return _ports.NotMoved(reason)
            case places.Permitted():
                return await self._port.move_run(
                    request, source, destination, deadline
                )
            case _:
                typing.assert_never(verdict)

    async def list_runs(
        self, target: core.Target, deadline: float
    ) -> _ports.RunListResult:
        """Return the runs of an engine, or why they are not known."""
        return await self._port.list_runs(target, deadline)

    def get_backup_reference(
        self, request: _ports.RelayRequest, backup: core.EngineTarget
    ) -> str:
        """Return the reference of the copy that a backup engine holds."""
        return self._port.get_backup_reference(request, backup)
