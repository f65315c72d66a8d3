"""Finds engines for copies of runs."""

from __future__ import annotations

import math
import random
import typing

from laburnumstep import core
from laburnumstep import targets
from laburnumstep.targets import relay

if typing.TYPE_CHECKING:
    from laburnumstep.callers import _engine_placer

CROSS_CENTRE_COPY_FACTOR = 2.0
"""Factor on the copy time if the destination is in another data centre."""
MAX_COMPARED = 12
"""Most engines compared for one copy. Forecasts of all engines of a large
fleet for each copy would take milliseconds."""

_LOGGER = core.get_logger('callers')


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
        run = self._describe_run(request, tokens)
        if run is None:
            return None
        for group in self._group_by_pace(request, engines):
            rooms = self._measure_rooms(run, source, group)
            room = targets.draw_destination(rooms, self._rng)
            if room is not None:
                return self._find_engine(room.name)
        return None

    def choose_backup(
        self,
        request: relay.RelayRequest,
        source: core.Target,
        tokens: int,
        engines: list[targets.TargetState],
    ) -> core.EngineTarget | None:
        """Return an engine for the growing copy of a run, if it pays.

        Args:
            request: The request that runs.
            source: Engine that runs it.
            tokens: Length of its answer so far, in tokens.
            engines: Engines that may take it.
        """
        run = self._describe_run(request, tokens)
        if run is None or not isinstance(source, core.EngineTarget):
            return None
        rooms = [
            targets.BackupRoom(
                room.name,
                room.utilization,
                run.kv_tokens
                * source.copy_seconds
                * (1.0 if room.near else CROSS_CENTRE_COPY_FACTOR),
            )
            for room in self._measure_rooms(run, source, engines)
        ]
        at_risk = self._describe_risk(request, source, tokens, run.remaining)
        decision = targets.decide_backup(at_risk, rooms, self._rng)
        _LOGGER.info(
            'backup decided; request=%s target=%s backup=%s gain_ms=%d'
            ' cost_ms=%s loss_chance=%.3f',
            request.key,
            source.name,
            getattr(decision, 'name', '-'),
            decision.gain * 1000,
            _format_cost(decision.cost),
            at_risk.loss_chance,
        )
        match decision:
            case targets.BackUp(name=name):
                return self._find_engine(name)
            case targets.NoBackup():
                return None
            case _:
                typing.assert_never(decision)

    def _describe_risk(
        self,
        request: relay.RelayRequest,
        source: core.EngineTarget,
        tokens: int,
        remaining: float,
    ) -> targets.RunAtRisk:
        view = self._state.view
        token_seconds = view.token_seconds
        if token_seconds is None:
            token_seconds = targets.DEFAULT_TOKEN_SECONDS
        prompt = request.prompt
        return targets.RunAtRisk(
            prompt.prompt_tokens if prompt is not None else 0,
            tokens,
            remaining,
            token_seconds,
            request.priority,
            relay.is_repeatable(request.route.kind),
            view.hazards.estimate(source.name, self._state.clock.now()),
        )

    def _describe_run(
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

    def _group_by_pace(
        self,
        request: relay.RelayRequest,
        engines: list[targets.TargetState],
    ) -> list[list[targets.TargetState]]:
        """Return the engines that keep the objective of a stream, then all.

        A slow engine makes the stream late, and answers so late that the
        engine before may work on it beside the new one for some time.
        """
        gap_seconds = request.route.gap_seconds
        if gap_seconds is None:
            return [engines]
        view = self._state.view
        keeping = [
            engine
            for engine in engines
            if targets.keeps_gap(view, engine.declared.name, gap_seconds)
        ]
        return [keeping, engines] if len(keeping) < len(engines) else [engines]

    def _measure_rooms(
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

    def _find_engine(self, name: str) -> core.EngineTarget | None:
        """Return an engine by its name, or None if it is not declared."""
        state = self._state.view.find(name)
        if state is None or not isinstance(state.declared, core.EngineTarget):
            return None
        return state.declared


def _format_cost(seconds: float) -> str:
    """Return a cost for the log; none if no engine has room."""
    return f'{seconds * 1000:.0f}' if math.isfinite(seconds) else '-'
