"""Copies a run to another engine while it goes on."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep.targets.relay import _ports

if typing.TYPE_CHECKING:
    from laburnumstep.targets.relay import _evacuation
    from laburnumstep.targets.relay import _places

COPY_SECONDS = 2.5
"""Longest wait for the copy of a run, in seconds."""
RETRY_SECONDS = 0.1
"""Pause before engines are asked again that had no room for a copy."""

_LOGGER = core.get_logger('relay')


@attrs.frozen(eq=False)
class PreparedCopy:
    """A copy of a run that still goes on at its engine."""

    place: _places.RelayPlace
    """The place reserved at the copy."""
    reference: str
    """Reference of the copy."""


StillRuns = typing.Callable[[], bool]


class RunCopier:
    """Copies the run of one request.

    Args:
        request: The request that runs.
        placer: Finds destinations.
        port: Sends the orders.
        evacuations: Tells when the run's turn has come.
        clock: Bounds the waits.
    """

    def __init__(
        self,
        request: _ports.RelayRequest,
        placer: _places.RelayPlacer,
        port: _ports.TargetPort,
        evacuations: _evacuation.Evacuations,
        clock: core.Clock,
    ) -> None:
        self._request = request
        self._placer = placer
        self._port = port
        self._evacuations = evacuations
        self._clock = clock

    async def prepare(
        self, place: _places.RelayPlace, still_runs: StillRuns
    ) -> PreparedCopy | None:
        """Copy the run without stopping it.

        The copy takes tenths of a second. What the run adds meanwhile is
        little, so that the second copy interrupts the stream only briefly.

        Args:
            place: Where the request runs.
            still_runs: Tells whether it still runs there.

        Returns:
            The copy, or None when the run has ended.
        """
        start = await self._evacuations.find_start(self._request, place.target)
        await self._clock.sleep_until(start)
        refused: frozenset[str] = frozenset()
        while still_runs():
            destination = self._placer.choose_destination(
                self._request, place.target, refused
            )
            if destination is None:
                # Room comes free and reports are renewed meanwhile.
                refused = frozenset()
                await self._clock.sleep_until(
                    self._clock.now() + RETRY_SECONDS
                )
                continue
            prepared = await self._copy_to(place, destination)
            if prepared is not None:
                return prepared
            refused |= {destination.name}
        return None

    async def stop(
        self, place: _places.RelayPlace, prepared: PreparedCopy
    ) -> _ports.CopyResult:
        """Stop the run and copy what it has added."""
        destination = prepared.place.target
        result = await self._copy(place, destination, stop=True)
        if isinstance(result, _ports.CopyFailed):
            self._log_failure(place, destination, result.reason)
        return result

    async def _copy_to(
        self, place: _places.RelayPlace, destination: core.EngineTarget
    ) -> PreparedCopy | None:
        reserved = self._placer.place_on(self._request, destination.name)
        if reserved is None:
            return None
        _LOGGER.info(
            'copy begins; request=%s target=%s destination=%s',
            self._request.key,
            place.target.name,
            destination.name,
        )
        result: _ports.CopyResult = _ports.CopyFailed('cancelled')
        try:
            result = await self._copy(place, reserved.target, stop=False)
        finally:
            if isinstance(result, _ports.CopyFailed):
                reserved.release(complete=False)
                self._log_failure(place, destination, result.reason)
        if isinstance(result, _ports.CopyFailed):
            return None
        return PreparedCopy(reserved, result.copy)

    async def _copy(
        self,
        place: _places.RelayPlace,
        destination: core.Target,
        stop: bool,
    ) -> _ports.CopyResult:
        deadline = self._clock.now() + COPY_SECONDS
        return await self._port.copy_run(
            self._request, place.target, destination, stop, deadline
        )

    def _log_failure(
        self, place: _places.RelayPlace, destination: core.Target, reason: str
    ) -> None:
        _LOGGER.info(
            'copy failed; request=%s target=%s destination=%s reason=%s',
            self._request.key,
            place.target.name,
            destination.name,
            reason,
        )
