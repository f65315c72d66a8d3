"""Sends requests to targets only as often as the targets take them."""

from __future__ import annotations

import typing

from laburnumstep.targets.relay import _ports

if typing.TYPE_CHECKING:
    from laburnumstep import core
    from laburnumstep.targets import limits


class LimitedPort:
    """A target port behind the gate of limited targets.

    Every request of the relay is sent through it: first ones, repeats and
    those that continue a run.

    Args:
        port: Sends the requests.
        gate: Issues the permits.
        find_back_off: Returns until when a target has asked for no requests,
            in epoch seconds, or None.
    """

    def __init__(
        self,
        port: _ports.TargetPort,
        gate: limits.PermitGate,
        find_back_off: typing.Callable[[str], float | None] = lambda name: (
            None
        ),
    ) -> None:
        self._port = port
        self._gate = gate
        self._find_back_off = find_back_off

    async def send(self, attempt: _ports.Attempt) -> _ports.Reply:
        """Send a request if its target takes it now.

        Args:
            attempt: The request and the target.
        """
        withheld = await self._gate.acquire(attempt.target.name)
        if withheld is not None:
            return _ports.Held(withheld.until)
        # The target may have asked for a back-off since the request was
        # placed, and runs continue at targets that were not placed on.
        back_off = self._find_back_off(attempt.target.name)
        if back_off is not None:
            return _ports.Held(
                back_off, 'the target has asked for no requests'
            )
        return await self._port.send(attempt)

    async def copy_run(
        self,
        request: _ports.RelayRequest,
        source: core.Target,
        destination: core.Target,
        deadline: float,
    ) -> _ports.CopyResult:
        """Copy the memory of a run to another engine."""
        return await self._port.copy_run(
            request, source, destination, deadline
        )

    async def move_run(
        self,
        request: _ports.RelayRequest,
        source: core.Target,
        destination: core.Target,
        deadline: float,
    ) -> _ports.MoveResult:
        """Stop a run and move its memory to another engine."""
        return await self._port.move_run(
            request, source, destination, deadline
        )

    async def list_runs(
        self, target: core.Target, deadline: float
    ) -> _ports.RunListResult:
        """Return the runs of an engine."""
        return await self._port.list_runs(target, deadline)

    def get_backup_reference(
        self, request: _ports.RelayRequest, backup: core.EngineTarget
    ) -> str:
        """Return the reference of the copy that a backup engine holds."""
        return self._port.get_backup_reference(request, backup)
