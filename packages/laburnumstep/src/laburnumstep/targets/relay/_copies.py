"""Copies the memory of a running request to another engine.

As in other live migrations, the memory is copied twice: first while the run
continues (pre-copy); then the run is stopped and what it has added since is
copied (stop-and-copy). The second copy is small, so the stream is interrupted
only briefly.
"""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep.targets.relay import _ports

if typing.TYPE_CHECKING:
    from laburnumstep.targets.relay import _evacuation
    from laburnumstep.targets.relay import _placements

COPY_SECONDS = 2.5
"""Timeout of one copy of a run, in seconds."""
RETRY_SECONDS = 0.1
"""Pause before engines without capacity for a copy are tried again, in
seconds."""

_LOGGER = core.get_logger('relay')


@attrs.frozen(eq=False)
class PreparedCopy:
    """The first copy of a run, made while the run continued."""

    placement: _placements.RelayPlace
    """Capacity reserved at the engine that holds the copy."""
    reference: str
    """Reference of the copy, as targets understand it."""


IsRunning = typing.Callable[[], bool]


class RunCopier:
    """Copies the run of one request to another engine.

    Args:
        request: The request that runs.
        placer: Chooses destinations and reserves their capacity.
        port: Orders engines to copy runs.
        schedules: Schedules the copies of a leaving engine's runs.
        clock: Clock for pauses and timeouts.
    """

    def __init__(
        self,
        request: _ports.RelayRequest,
        placer: _placements.RelayPlacer,
        port: _ports.TargetPort,
        schedules: _evacuation.EvacuationSchedules,
        clock: core.Clock,
    ) -> None:
        self._request = request
        self._placer = placer
        self._port = port
        self._schedules = schedules
        self._clock = clock

    async def precopy(
        self, placement: _placements.RelayPlace, is_running: IsRunning
    ) -> PreparedCopy | None:
        """Copy the run without stopping it.

        This copy takes tenths of a second. The run adds little in that time,
        so the second copy interrupts the stream only briefly. Engines are
        tried until one accepts the copy or the run ends.

        Args:
            placement: Placement of the run.
            is_running: Returns whether the run is still at that placement.

        Returns:
            The copy, or None if the run has ended.
        """
        start = await self._schedules.schedule_copy(
            self._request, placement.target
        )
        await self._clock.sleep_until(start)
        refused: frozenset[str] = frozenset()
        while is_running():
            destination = self._placer.choose_destination(
                self._request, placement.target, refused
            )
            if destination is None:
                # By the next attempt an engine may have freed capacity or
                # sent a newer load report, so all are candidates again.
                refused = frozenset()
                await self._clock.sleep_until(
                    self._clock.now() + RETRY_SECONDS
                )
                continue
            prepared = await self._precopy_to(placement, destination)
            if prepared is not None:
                return prepared
            refused |= {destination.name}
        return None

    async def stop_and_copy(
        self, placement: _placements.RelayPlace, prepared: PreparedCopy
    ) -> _ports.CopyResult:
        """Stop the run and copy what it has added since the first copy."""
        destination = prepared.placement.target
        result = await self._copy(placement, destination, stop=True)
        if isinstance(result, _ports.CopyFailed):
            self._log_failure(placement, destination, result.reason)
        return result

    async def _precopy_to(
        self, placement: _placements.RelayPlace, destination: core.EngineTarget
    ) -> PreparedCopy | None:
        reserved = self._placer.place_on(self._request, destination.name)
        if reserved is None:
            return None
        _LOGGER.info(
            'copy begins; request=%s target=%s destination=%s',
            self._request.key,
            placement.target.name,
            destination.name,
        )
        result: _ports.CopyResult = _ports.CopyFailed('cancelled')
        try:
            result = await self._copy(placement, reserved.target, stop=False)
        finally:
            if isinstance(result, _ports.CopyFailed):
                reserved.release(complete=False)
                self._log_failure(placement, destination, result.reason)
        if isinstance(result, _ports.CopyFailed):
            return None
        return PreparedCopy(reserved, result.copy)

    async def _copy(
        self,
        placement: _placements.RelayPlace,
        destination: core.Target,
        stop: bool,
    ) -> _ports.CopyResult:
        deadline = self._clock.now() + COPY_SECONDS
        return await self._port.copy_run(
            self._request, placement.target, destination, stop, deadline
        )

    def _log_failure(
        self,
        placement: _placements.RelayPlace,
        destination: core.Target,
        reason: str,
    ) -> None:
        _LOGGER.info(
            'copy failed; request=%s target=%s destination=%s reason=%s',
            self._request.key,
            placement.target.name,
            destination.name,
            reason,
        )
