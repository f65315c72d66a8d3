"""Moves a run from an engine that still answers.

The run is silent, or was sent to another engine that is late with it. The
engine stops the run with the move, so that no two engines work on it. An
engine that refuses the move goes on with the run.
"""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep.targets.relay import _ports

if typing.TYPE_CHECKING:
    from laburnumstep.targets.relay import _placements

MOVE_SECONDS = 1.0
"""Timeout of the move of a run, in seconds. Moves within a region take
up to 0.7 s."""

_LOGGER = core.get_logger('relay')


@attrs.frozen(eq=False)
class Movable:
    """The run was stopped and can be continued from its memory."""

    placement: _placements.RelayPlacement | None
    """Capacity reserved at the engine that holds the memory."""
    copy: str
    """Reference of the memory."""


@attrs.frozen
class Kept:
    """The run is still at its engine."""


@attrs.frozen
class PerhapsStopped:
    """It is unknown whether the engine has stopped the run."""


@attrs.frozen
class Missing:
    """The engine does not have the run."""


MoveOutcome = Movable | Kept | PerhapsStopped | Missing


class RunMover:
    """Moves the run of one request.

    Args:
        request: The request that runs.
        placer: Chooses destinations and reserves their capacity.
        port: Orders engines to move runs.
        clock: Clock for timeouts.
    """

    def __init__(
        self,
        request: _ports.RelayRequest,
        placer: _placements.RelayPlacer,
        port: _ports.TargetPort,
        clock: core.Clock,
    ) -> None:
        self._request = request
        self._placer = placer
        self._port = port
        self._clock = clock

    async def move(
        self,
        source: core.Target,
        refused: frozenset[str],
        tokens: int,
        reason: str,
    ) -> MoveOutcome:
        """Stop the run and move its memory to another engine.

        Args:
            source: Engine that runs it.
            refused: Engines that refused to continue the run.
            tokens: Length of its answer so far, in tokens.
            reason: Why it is moved.
        """
        destination = self._placer.choose_destination(
            self._request, source, refused, tokens
        )
        if destination is None:
            return Kept()
        reserved = self._placer.place_on(
            self._request, destination.name, tokens
        )
        if reserved is None:
            return Kept()
        result: _ports.MoveResult = _ports.MoveUnknown('cancelled')
        try:
            result = await self._port.move_run(
                self._request,
                source,
                destination,
                self._clock.now() + MOVE_SECONDS,
            )
        finally:
            if not isinstance(result, _ports.Moved):
                reserved.release(complete=False)
        _LOGGER.info(
            'moving run; request=%s target=%s destination=%s reason=%s'
            ' outcome=%s detail=%s',
            self._request.key,
            source.name,
            destination.name,
            reason,
            type(result).__name__,
            getattr(result, 'reason', '-'),
        )
        match result:
            case _ports.Moved(copy=copy):
                return Movable(reserved, copy)
            case _ports.Stopped(copy=copy):
                again = self._placer.place_on(
                    self._request, source.name, tokens
                )
                return Movable(again, copy)
            case _ports.NotMoved():
                return Kept()
            case _ports.MoveUnknown():
                return PerhapsStopped()
            case _ports.NoSuchRun():
                return Missing()
            case _:
                typing.assert_never(result)
