"""Copies the memory of a running request to another engine.

The run continues during the copy. The other engine then goes on after the
last delivered event and computes the few tokens that the copy lacks. A second
copy of these tokens would wait behind the copies of the leaving engine's other
runs, which share its link.
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
    """A copy of a run, made while the run continued."""

    placement: _placements.RelayPlacement
    """Capacity reserved at the engine that holds the copy."""
    reference: str
    """Reference of the copy, as targets understand it."""


class CopyHolder:
    """Holds one copy of a run until it is used or released."""

    def __init__(self) -> None:
        self._prepared: PreparedCopy | None = None

    @property
    def has_copy(self) -> bool:
        """Whether a copy is ready."""
        return self._prepared is not None

    def take(self) -> PreparedCopy | None:
        """Return the copy, which the receiver releases or uses."""
        prepared, self._prepared = self._prepared, None
        return prepared

    def release(self) -> None:
        """Release the capacity reserved for a copy that is not used."""
        prepared = self.take()
        if prepared is not None:
            prepared.placement.release(complete=False)


IsRunning = typing.Callable[[], bool]
GetTokens = typing.Callable[[], int]


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

    async def copy(
        self,
        placement: _placements.RelayPlacement,
        refused: frozenset[str],
        is_running: IsRunning,
        get_tokens: GetTokens,
    ) -> PreparedCopy | None:
        """Copy the run without stopping it.

        Engines are tried until one accepts the copy or the run ends.

        Args:
            placement: Placement of the run.
            refused: Engines that refused to continue the run.
            is_running: Returns whether the run is still at that placement.
            get_tokens: Returns the length of its answer so far, in tokens.

        Returns:
            The copy, or None if the run has ended.
        """
        start = await self._schedules.schedule_copy(
            self._request, placement.target
        )
        await self._clock.sleep_until(start)
        while is_running():
            destination = self._placer.choose_destination(
                self._request, placement.target, refused, get_tokens()
            )
            if destination is None:
                # By the next attempt an engine may have freed capacity or
                # sent a newer load report, so all are candidates again.
                refused = frozenset()
                await self._pause()
                continue
            result = await self._copy_to(placement, destination, get_tokens())
            match result:
                case PreparedCopy():
                    return result
                case _ports.CopyFailed(refused=True):
                    refused |= {destination.name}
                case _ports.CopyFailed():
                    # Other destinations would not change the answer of an
                    # engine that cannot be reached.
                    await self._pause()
                case _:
                    typing.assert_never(result)
        return None

    async def _pause(self) -> None:
        await self._clock.sleep_until(self._clock.now() + RETRY_SECONDS)

    async def _copy_to(
        self,
        placement: _placements.RelayPlacement,
        destination: core.EngineTarget,
        tokens: int,
    ) -> PreparedCopy | _ports.CopyFailed:
        reserved = self._placer.place_on(
            self._request, destination.name, tokens
        )
        if reserved is None:
            return _ports.CopyFailed('the destination is not declared')
        _LOGGER.info(
            'copy begins; request=%s target=%s destination=%s',
            self._request.key,
            placement.target.name,
            destination.name,
        )
        result: _ports.CopyResult = _ports.CopyFailed('cancelled')
        try:
            result = await self._port.copy_run(
                self._request,
                placement.target,
                reserved.target,
                self._clock.now() + COPY_SECONDS,
            )
        finally:
            if isinstance(result, _ports.CopyFailed):
                reserved.release(complete=False)
                self._log_failure(placement, destination, result.reason)
        if isinstance(result, _ports.CopyFailed):
            return result
        return PreparedCopy(reserved, result.copy)

    def _log_failure(
        self,
        placement: _placements.RelayPlacement,
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
