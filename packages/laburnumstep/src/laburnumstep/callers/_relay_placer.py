"""Finds targets for requests that are relayed as they came."""

from __future__ import annotations

import random
import typing

import attrs

from laburnumstep.callers import _admission_queue
from laburnumstep.callers import _relay_place
from laburnumstep import core
from laburnumstep import targets
from laburnumstep.targets import relay

if typing.TYPE_CHECKING:
    from laburnumstep.callers import _admission
    from laburnumstep.callers import _engine_placer

NO_TARGET_SECONDS = 0.5
"""When a caller may come back while no target is usable, in seconds."""
BACKUP_MEMORY_PART = 0.3
"""Part of an engine's memory up to which it takes copies of other engines'
runs. A copy cannot yield, and room for new runs goes first."""
MOVE_MEMORY_PART = 0.97
"""Part of an engine's memory up to which it takes runs that must move."""
CENTRE_COPY_FACTOR = 2.0
"""How much longer a copy takes to another data centre."""

_LOGGER = core.get_logger('callers')

NEAR_CANDIDATES = 2
"""Engines of the VM's region that are compared for a request."""
FAR_CANDIDATES = 1
"""Engines of other regions that are compared beside them."""
REPORT_AGE_SECONDS = 0.9
"""Age up to which a report is used for placement. Engines report what they
measured half a second before."""
REFRESH_SECONDS = 0.1
"""Longest wait for new reports before a request is placed; an engine of
another region answers within 30 ms."""

Refresh = typing.Callable[[list[str], float, float], typing.Awaitable[None]]
"""Reads the reports of engines again that were measured before the first
time, until the second one."""
MakeBudget = typing.Callable[[], targets.RetryBudget]


class RelayPlacer:
    """Places relayed requests, as `relay.RelayPlacer`.

    Args:
        state: What this VM knows.
        admission: Queues generations until an engine has room.
        make_budget: Returns the retry budget of one service.
        weights: How much each measure counts for placement.
        refresh: Reads load reports again that are old.
    """

    def __init__(
        self,
        state: _engine_placer.RoutingState,
        admission: _admission.Admission,
        make_budget: MakeBudget,
        weights: core.PolicyWeights,
        refresh: Refresh,
    ) -> None:
        self._state = state
        self._admission = admission
        self._make_budget = make_budget
        self._weights = weights
        self._refresh = refresh
        self._budgets: dict[str, targets.RetryBudget] = {}
        self._rng = random.Random()

    async def place(
        self, request: relay.RelayRequest, excluded: frozenset[str]
    ) -> _relay_place.RelayPlace:
        """Wait for room and return a target.

        Raises:
            CodedError: The request is shed, or no target serves it.
        """
        if not excluded:
            self._find_budget(request).record_request(self._state.clock.now())
        if request.prompt is None:
            return self._place_call(request, excluded)
        return await self._place_generation(request, request.prompt, excluded)

    def place_on(
        self, request: relay.RelayRequest, target: str
    ) -> _relay_place.RelayPlace | None:
        """Return a place on a named target, or None if it is not known."""
        if self._state.view.find(target) is None:
            return None
        return self._begin(request, target)

    def choose_backup(
        self, request: relay.RelayRequest, target: core.Target
    ) -> core.EngineTarget | None:
        """Return an engine that may keep a copy of a run, if any."""
        return self._choose_near(
            request, target, frozenset(), BACKUP_MEMORY_PART
        )

    def choose_destination(
        self,
        request: relay.RelayRequest,
        source: core.Target,
        refused: frozenset[str],
    ) -> core.EngineTarget | None:
        """Return an engine to which a run may be moved, if any.

        A copy within a data centre takes half as long as one between two,
        and a leaving engine has little time for all of its runs.
        """
        return self._choose_near(request, source, refused, MOVE_MEMORY_PART)

    def estimate_copy(self, source: core.Target, tokens: int) -> float:
        """Return how long the copy of a run takes, in seconds."""
        if not isinstance(source, core.EngineTarget):
            return 0.0
        seconds = tokens * source.copy_seconds
        peers = self._list_peers(source)
        centres = {peer.declared.data_centre for peer in peers}
        if source.data_centre in centres:
            return seconds
        return CENTRE_COPY_FACTOR * seconds

    def is_usable(self, target: str) -> bool:
        """Tell whether a target may get new work."""
        state = self._state.view.find(target)
        return state is not None and state.is_usable(self._state.clock.now())

    def decide_retry(
        self, request: relay.RelayRequest, failed: relay.FailedSend
    ) -> targets.RetryDecision:
        """Decide whether a request is sent to another target."""
        attempt = targets.FailedAttempt(
            target=failed.target,
            excluded=failed.excluded,
            deadline=request.deadline,
            outcome=failed.outcome,
            repeatable=relay.is_repeatable(request.route.kind),
            delivered=0,
            refused=False,
        )
        now = self._state.clock.now()
        budget = self._find_budget(request)
        decision = targets.decide_retry(attempt, budget, now)
        name = type(decision).__name__.lower()
        self._state.metrics.count(f'routing.{name}')
        return decision

    def record_resend(self, request: relay.RelayRequest) -> None:
        """Count a send that carries a run on at another engine."""
        self._find_budget(request).record_retry(self._state.clock.now())

    def _list_peers(self, source: core.Target) -> list[targets.TargetState]:
        """Return the other engines that may get new work."""
        return [
            state
            for state in self._state.view.list_usable_engines()
            if state.declared.name != source.name
        ]

    def _list_lone(self) -> frozenset[str]:
        """Return the engines without another one in their region.

        The links between regions are far too narrow for the memory of a
        run, so runs on these engines are lost when they leave.
        """
        by_region: dict[str | None, list[str]] = {}
        for state in self._state.view.list_usable_engines():
            names = by_region.setdefault(state.region, [])
            names.append(state.declared.name)
        return frozenset(
            names[0] for names in by_region.values() if len(names) == 1
        )

    def _choose_near(
        self,
        request: relay.RelayRequest,
        source: core.Target,
        refused: frozenset[str],
        memory_part: float,
    ) -> core.EngineTarget | None:
        """Return an engine for a copy, as near to its source as possible."""
        state = self._state.view.find(source.name)
        region = state.region if state is not None else None
        peers = self._list_peers(source)
        refused |= {source.name}
        other_centres = frozenset(
            peer.declared.name
            for peer in peers
            if peer.declared.data_centre != source.data_centre
        )
        other_regions = frozenset(
            peer.declared.name for peer in peers if peer.region != region
        )
        for outside in (other_centres, other_regions):
            found = self._choose_engine(
                request, refused | outside, memory_part
            )
            if found is not None:
                return found
        return None

    def _choose_engine(
        self,
        request: relay.RelayRequest,
        excluded: frozenset[str],
        memory_part: float,
    ) -> core.EngineTarget | None:
        if request.prompt is None:
            return None
        description = _describe(request, request.prompt, excluded)
        placement = targets.choose_engine(
            self._state.view,
            attrs.evolve(description, memory_part=memory_part),
            self._state.lengths,
            self._weights,
            self._rng,
        )
        if not isinstance(placement, targets.Placed):
            return None
        state = self._state.view.find(placement.target)
        if state is None or not isinstance(state.declared, core.EngineTarget):
            return None
        return state.declared

    def _find_budget(self, request: relay.RelayRequest) -> targets.RetryBudget:
        budget = self._budgets.get(request.service)
        if budget is None:
            budget = self._budgets[request.service] = self._make_budget()
        return budget

    def _place_call(
        self, request: relay.RelayRequest, excluded: frozenset[str]
    ) -> _relay_place.RelayPlace:
        placement = targets.choose_service(
            self._state.view, request.service, excluded, self._rng
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
            case targets.NoRoom(retry_at=retry_at):
                raise _refuse(request, 'every target failed', retry_at)
            case targets.NoTarget(reason=reason):
                retry_at = self._state.clock.now() + NO_TARGET_SECONDS
                raise _refuse(request, reason, retry_at)
            case _:
                typing.assert_never(placement)

    async def _place_generation(
        self,
        request: relay.RelayRequest,
        prompt: relay.PromptShape,
        excluded: frozenset[str],
    ) -> _relay_place.RelayPlace:
        placement = _describe(request, prompt, excluded)
        placement = attrs.evolve(
            placement,
            candidates=await self._find_candidates(prompt.model, excluded),
        )
        if not relay.is_short(request):
            placement = attrs.evolve(placement, avoided=self._list_lone())
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
                return self._make_place(send)
            case _admission_queue.Shed(resend_at=resend_at):
                raise _refuse(request, 'no engine has room', resend_at)
            case _:
                typing.assert_never(result)

    async def _find_candidates(
        self, model: str, excluded: frozenset[str]
    ) -> tuple[str, ...]:
        """Return some engines whose reports are new.

        A VM of a large deployment places a request every few seconds. To
        read the reports of a few engines then costs less than to read all
        of them by turns, and they are newer.
        """
        names = targets.sample_engines(
            self._state.view,
            model,
            excluded,
            NEAR_CANDIDATES,
            FAR_CANDIDATES,
            self._rng,
        )
        now = self._state.clock.now()
        await self._refresh(
            list(names), now - REPORT_AGE_SECONDS, now + REFRESH_SECONDS
        )
        fresh = [
            name
            for name in names
            if (known := self._state.view.find(name)) is not None
            and known.measured_at >= now - REPORT_AGE_SECONDS
        ]
        # An engine that does not report in time is overloaded or gone.
        return tuple(fresh) or names

    def _begin(
        self, request: relay.RelayRequest, target: str
    ) -> _relay_place.RelayPlace:
        prompt = request.prompt
        send = self._state.view.begin(
            target,
            targets.new_generation_id(),
            request.workspace,
            prompt.model if prompt is not None else '',
            prompt.prompt_tokens if prompt is not None else 0,
            0.0,
            prompt.max_tokens if prompt is not None else None,
            hinted_tokens=prompt.hinted_tokens if prompt is not None else None,
        )
        return self._make_place(send)

    def _make_place(self, send: targets.Send) -> _relay_place.RelayPlace:
        state = self._state.view.find(send.target)
        if state is None:
            raise RuntimeError(f'the view dropped {send.target} at once')
        return _relay_place.RelayPlace(self._state, send, state.declared)


def _describe(
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
