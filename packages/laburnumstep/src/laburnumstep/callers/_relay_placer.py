"""Placement of relayed requests on targets."""

from __future__ import annotations

import random
import typing

import attrs

from laburnumstep.callers import _admission_queue
from laburnumstep.callers import _candidates
from laburnumstep.callers import _copy_targets
from laburnumstep.callers import _crash_refusals
from laburnumstep.callers import _relay_placement
from laburnumstep.callers import _returns
from laburnumstep import core
from laburnumstep import targets
from laburnumstep.targets import limits
from laburnumstep.targets import relay

if typing.TYPE_CHECKING:
    from laburnumstep.callers import _admission
    from laburnumstep.callers import _engine_placer

NO_TARGET_RESEND_SECONDS = 0.5
"""Delay before the caller resends if no target is usable, in seconds."""

_LOGGER = core.get_logger('callers')

MakeBudget = typing.Callable[[], targets.RetryBudget]


class RelayPlacer:
    """Places relayed requests, as `relay.RelayPlacer`.

    Args:
        state: State of this VM for routing decisions.
        admission: Queues generations until an engine has capacity.
        make_budget: Creates the retry budget of one service.
        weights: Policy weights of the placement cost.
        refresh: Reads new load reports in place of old ones.
        gate: Lets requests to limited targets pass.
    """

    def __init__(
        self,
        state: _engine_placer.RoutingState,
        admission: _admission.Admission,
        make_budget: MakeBudget,
        weights: core.PolicyWeights,
        refresh: _candidates.RefreshReports,
        gate: limits.PermitGate,
    ) -> None:
        self._state = state
        self._admission = admission
        self._make_budget = make_budget
        self._budgets: dict[str, targets.RetryBudget] = {}
        self._rng = random.Random()
        self._gate = gate
        self._returns = _returns.ReturnSchedule(self._rng)
        self._sampler = _candidates.CandidateSampler(
            state.view, state.clock, refresh, self._rng
        )
        policy = targets.MemoryPolicy.from_weights(weights)
        self._copy_targets = _copy_targets.CopyTargets(
            state, policy.quantile, self._rng
        )

    def record_request(self, request: relay.RelayRequest) -> None:
        """Count a request of a caller for the retry budget of its service."""
        self._get_budget(request).record_request(self._state.clock.now())

    async def place(
        self, request: relay.RelayRequest, excluded: frozenset[str]
    ) -> _relay_placement.RelayPlacement:
        """Wait for capacity and place a request on a target.

        Args:
            request: The request.
            excluded: Targets on which it has failed.

        Raises:
            CodedError: The request is shed, or no target serves it.
        """
        _crash_refusals.check(self._state, request.key, request.traits)
        self._check_back_off(request, excluded)
        if request.prompt is None:
            return self._place_call(request, excluded)
        return await self._place_generation(request, request.prompt, excluded)

    def place_on(
        self, request: relay.RelayRequest, target: str, tokens: int
    ) -> _relay_placement.RelayPlacement | None:
        """Place a request on a named target.

        Args:
            request: The request.
            target: Name of the target.
            tokens: Length of its answer so far, in tokens.

        Returns:
            The placement, or None if the target is not declared or the
            request must not be sent to it.
        """
        if not self._state.view.permits(request.regions, target):
            return None
        return self._begin(request, target, tokens)

    def choose_backup(
        self, request: relay.RelayRequest, target: core.Target, tokens: int
    ) -> core.EngineTarget | None:
        """Return an engine for the backup copy of a run, if any.

        Args:
            request: The request that runs.
            target: Engine that runs it.
            tokens: Length of its answer so far, in tokens.
        """
        return self._copy_targets.choose_backup(
            request, target, tokens, self._list_permitted(request, target)
        )

    def choose_destination(
        self,
        request: relay.RelayRequest,
        source: core.Target,
        refused: frozenset[str],
        tokens: int,
    ) -> core.EngineTarget | None:
        """Return an engine to migrate a run to, if any.

        Args:
            request: The request that runs.
            source: Engine that runs it.
            refused: Engines that had no capacity for it.
            tokens: Length of its answer so far, in tokens.
        """
        engines = [
            engine
            for engine in self._list_permitted(request, source)
            if engine.declared.name not in refused
        ]
        return self._copy_targets.choose_destination(
            request, source, tokens, engines
        )

    def find_stop_time(self, target: str) -> float | None:
        """Return when a leaving engine stops, in epoch seconds, if known.

        Args:
            target: Name of the engine.
        """
        state = self._state.view.find(target)
        return state.stops_at if state is not None else None

    def estimate_copy(self, source: core.Target, tokens: int) -> float:
        """Estimate the time to copy a run to another engine, in seconds.

        Args:
            source: Target that runs it.
            tokens: Length of the run, in tokens.
        """
        if not isinstance(source, core.EngineTarget):
            return 0.0
        seconds = tokens * source.copy_seconds
        peers = self._list_other_engines(source)
        centres = {peer.declared.data_centre for peer in peers}
        if source.data_centre in centres:
            return seconds
        return _copy_targets.CROSS_CENTRE_COPY_FACTOR * seconds

    def is_usable(self, target: str) -> bool:
        """Return whether a target accepts new work."""
        state = self._state.view.find(target)
        return state is not None and state.is_usable(self._state.clock.now())

    async def decide_retry(
        self, request: relay.RelayRequest, failed: relay.FailedSend
    ) -> targets.RetryDecision:
        """Decide whether a failed request is retried on another target.

        Waits until it is known whether the target has crashed, so that a
        request which crashes targets does not reach further ones meanwhile.
        """
        await self._state.crashes.wait_confirmed(
            failed.excluded | {failed.target}
        )
        attempt = targets.FailedAttempt(
            target=failed.target,
            excluded=failed.excluded,
            deadline=request.deadline,
            outcome=failed.outcome,
            repeatable=relay.is_repeatable(request.route.kind),
            delivered=0,
            refused=self._state.ledger.find_culprit(request.traits)
            is not None,
        )
        now = self._state.clock.now()
        budget = self._get_budget(request)
        decision = targets.decide_retry(attempt, budget, now)
        name = type(decision).__name__.lower()
        self._state.metrics.count(f'routing.{name}')
        return decision

    def record_resend(self, request: relay.RelayRequest) -> None:
        """Count a retry that continues a run on another engine."""
        self._get_budget(request).record_retry(self._state.clock.now())

    def _list_other_engines(
        self, source: core.Target
    ) -> list[targets.TargetState]:
        """Return all usable engines except the source."""
        return [
            state
            for state in self._state.view.list_usable_engines()
            if state.declared.name != source.name
        ]

    def _list_permitted(
        self, request: relay.RelayRequest, source: core.Target
    ) -> list[targets.TargetState]:
        """Return the other engines to which a run may be copied."""
        return [
            state
            for state in self._list_other_engines(source)
            if self._state.view.permits(request.regions, state.declared.name)
        ]

    def _list_isolated_engines(self) -> frozenset[str]:
        """Return the usable engines that are the only one in their region.

        The links between regions have far too little bandwidth to copy the
        memory of a run, so runs on these engines are lost when they leave.
        """
        by_region: dict[str | None, list[str]] = {}
        for state in self._state.view.list_usable_engines():
            names = by_region.setdefault(state.region, [])
            names.append(state.declared.name)
        return frozenset(
            names[0] for names in by_region.values() if len(names) == 1
        )

    def _get_budget(self, request: relay.RelayRequest) -> targets.RetryBudget:
        budget = self._budgets.get(request.service)
        if budget is None:
            budget = self._budgets[request.service] = self._make_budget()
        return budget

    def _place_call(
        self, request: relay.RelayRequest, excluded: frozenset[str]
    ) -> _relay_placement.RelayPlacement:
        placement = targets.choose_service(
            self._state.view,
            request.service,
            excluded,
            self._rng,
            request.regions,
        )
        match placement:
            case targets.Placed():
                _LOGGER.info(
                    'placed request=%s service=%s target=%s reason="%s"'
                    ' runners_up=%s',
                    request.key,
                    request.service,
                    placement.target,
                    placement.reason,
                    ','.join(placement.runners_up) or '-',
                )
                return self._begin(request, placement.target)
            case targets.NoRoom(retry_at=resend_at):
                reason = 'every target failed or has used up its limit'
                resend_at = self._schedule_return(request.service, resend_at)
                raise _refuse(request, reason, resend_at)
            case targets.NoTarget(reason=reason):
                resend_at = self._state.clock.now() + NO_TARGET_RESEND_SECONDS
                raise _refuse(request, reason, resend_at)
            case _:
                typing.assert_never(placement)

    def _check_back_off(
        self, request: relay.RelayRequest, excluded: frozenset[str]
    ) -> None:
        """Refuse a request whose targets all want no requests for now."""
        pool_key = (
            targets.get_service_pool_key(request.service)
            if request.prompt is None
            else request.prompt.model
        )
        until = self._state.view.find_back_off(pool_key, excluded)
        if until is not None:
            reason = 'every target has asked for no requests'
            raise _refuse(request, reason, until)

    def _schedule_return(self, service: str, earliest: float) -> float:
        """Return when the caller of a refused call should send it again.

        Callers of limited targets return at the rate at which this VM
        expects permits.
        """
        pool_key = targets.get_service_pool_key(service)
        rate = sum(
            self._gate.estimate_rate(name)
            for name in self._state.view.list_limited(pool_key)
        )
        return self._returns.schedule(pool_key, earliest, rate)

    async def _place_generation(
        self,
        request: relay.RelayRequest,
        prompt: relay.PromptShape,
        excluded: frozenset[str],
    ) -> _relay_placement.RelayPlacement:
        placement = _make_placement_request(request, prompt, excluded)
        preference = targets.find_preference(
            self._state.view, placement, self._state.lengths
        )
        candidates = await self._sampler.sample(placement, preference)
        placement = attrs.evolve(
            placement,
            candidates=candidates,
            substitutes=self._sampler.sample_substitutes(
                prompt.model, excluded.union(candidates), request.regions
            ),
        )
        if not relay.is_short(request):
            placement = attrs.evolve(
                placement, avoided=self._list_isolated_engines()
            )
        result = await self._admission.admit(
            _admission_queue.AdmissionRequest(
                placement=placement,
                generation_id=targets.new_generation_id(),
                deadline=request.deadline,
                max_tokens=prompt.max_tokens,
            )
        )
        match result:
            case _admission_queue.Admitted(send=send):
                _crash_refusals.check_send(
                    self._state, request.key, request.traits, send
                )
                return self._make_placement(request, send)
            case _admission_queue.Shed(resend_at=resend_at):
                raise _refuse(request, 'no engine has capacity', resend_at)
            case _:
                typing.assert_never(result)

    def _begin(
        self, request: relay.RelayRequest, target: str, tokens: int = 0
    ) -> _relay_placement.RelayPlacement:
        prompt = request.prompt
        hinted = prompt.hinted_tokens if prompt is not None else None
        if hinted is not None:
            hinted = hinted - tokens if hinted > tokens else None
        send = self._state.view.begin(
            target,
            targets.new_generation_id(),
            request.workspace,
            prompt.model if prompt is not None else '',
            prompt.prompt_tokens + tokens if prompt is not None else 0,
            0.0,
            max(0, prompt.max_tokens - tokens) if prompt is not None else None,
            hinted_tokens=hinted,
            parts=prompt.parts if prompt is not None else (),
            gap_seconds=request.route.gap_seconds,
        )
        return self._make_placement(request, send)

    def _make_placement(
        self, request: relay.RelayRequest, send: targets.Send
    ) -> _relay_placement.RelayPlacement:
        state = self._state.view.find(send.target)
        if state is None:
            raise RuntimeError(
                f'target {send.target} is not in the fleet view'
            )
        return _relay_placement.RelayPlacement(
            self._state, send, state.declared, request.traits
        )


def _make_placement_request(
    request: relay.RelayRequest,
    prompt: relay.PromptShape,
    excluded: frozenset[str],
) -> targets.PlacementRequest:
    return targets.PlacementRequest(
        request=request.key,
        workspace=request.workspace,
        model=prompt.model,
        prompt_tokens=prompt.prompt_tokens,
        prefixes=prompt.prefixes,
        priority=request.priority,
        excluded=excluded,
        max_tokens=prompt.max_tokens,
        hinted_tokens=prompt.hinted_tokens,
        regions=request.regions,
        parts=prompt.parts,
        objectives=targets.Objectives(
            request.route.first_answer_seconds, request.route.gap_seconds
        ),
    )


def _refuse(
    request: relay.RelayRequest, reason: str, resend_at: float
) -> core.CodedError:
    _LOGGER.info(
        'refused request=%s service=%s reason="%s"',
        request.key,
        request.service,
        reason,
    )
    return core.CodedError(
        core.ErrorCode.OVERLOADED, reason, resend=True, resend_at=resend_at
    )
