"""Finds engines for copies of runs."""

from __future__ import annotations

import random
import typing

from laburnumstep import core
from laburnumstep import targets

if typing.TYPE_CHECKING:
    from laburnumstep.callers import _engine_placer
    from laburnumstep.targets import relay

MAX_COMPARED = 12
"""Most engines compared for one copy. Forecasts of all engines of a large
fleet for each copy would take milliseconds."""


class CopyTargets:
    """Finds engines for copies of runs.

    Args:
        state: State of this VM for routing decisions.
        quantile: Quantile of the lengths of answers, from 0 to 1.
        rng: Source of random numbers.
    """

    def __init__(
        self,
        state: _engine_placer.RoutingState,
        quantile: float,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._quantile = quantile
        self._rng = rng

    def choose_destination(
        self,
        request: relay.RelayRequest,
        source: core.Target,
        tokens: int,
        engines: list[targets.TargetState],
    ) -> core.EngineTarget | None:
        """Return an engine to migrate a run to, if any.

        Args:
            request: The request that runs.
            source: Engine that runs it.
            tokens: Length of its answer so far, in tokens.
            engines: Engines that may take it.
        """
        run = self.describe_run(request, tokens)
        if run is None:
            return None
        rooms = self.measure_rooms(run, source, engines)
        room = targets.draw_destination(rooms, self._rng)
        return self.find_engine(room.name) if room is not None else None

    def describe_run(
        self, request: relay.RelayRequest, tokens: int
    ) -> targets.CopiedRun | None:
        """Return what a copy of a run takes, or None if it is no run.

        Args:
            request: The request that runs.
            tokens: Length of its answer so far, in tokens.
        """
        prompt = request.prompt
        if prompt is None:
            return None
        remaining = targets.estimate_remaining(
            self._state.lengths,
            request.workspace,
            prompt.model,
            tokens,
            self._quantile,
            prompt.hinted_tokens,
            float(prompt.max_tokens),
        )
        return targets.CopiedRun(
            request.workspace,
            prompt.model,
            float(prompt.prompt_tokens + tokens),
            remaining,
        )

    def measure_rooms(
        self,
        run: targets.CopiedRun,
        source: core.Target,
        engines: list[targets.TargetState],
    ) -> list[targets.CopyRoom]:
        """Return the room of engines in the region of a run.

        The links between regions have far too little bandwidth to copy the
        memory of a run.

        Args:
            run: The run.
            source: Engine that runs it.
            engines: Engines that may take the copy.
        """
        now = self._state.clock.now()
        state = self._state.view.find(source.name)
        region = state.region if state is not None else None
        pool = self._state.view.get_pool(run.model)
        near: list[targets.TargetState] = []
        far: list[targets.TargetState] = []
        for engine in engines:
            if (
                engine.declared.name in pool
                and engine.declared.name != source.name
                and engine.region == region
                and engine.takes_requests(now)
            ):
                is_near = engine.declared.data_centre == source.data_centre
                (near if is_near else far).append(engine)
        self._rng.shuffle(near)
        self._rng.shuffle(far)
        compared = [(engine, True) for engine in near]
        compared += [(engine, False) for engine in far]
        return [
            targets.measure_room(
                engine, run, self._state.lengths, self._quantile, is_near, now
            )
            for engine, is_near in compared[:MAX_COMPARED]
        ]

    def find_engine(self, name: str) -> core.EngineTarget | None:
        """Return an engine by its name, or None if it is not declared."""
        state = self._state.view.find(name)
        if state is None or not isinstance(state.declared, core.EngineTarget):
            return None
        return state.declared
