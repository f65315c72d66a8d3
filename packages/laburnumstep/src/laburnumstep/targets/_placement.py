"""Choice of a target for a request."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep.targets import _forecast
from laburnumstep.targets import _view

if typing.TYPE_CHECKING:
    import random

    from laburnumstep.targets import _lengths
    from laburnumstep.targets import _states

SAMPLES = 3
"""Candidates compared; two or more keep VMs with equally stale reports
from choosing the same target."""
HINTED_SAMPLES = 2
"""Further candidates that probably hold the prompt's prefix."""
ROOM_RETRY_SECONDS = 1.0
"""When to look again for room without any news, in seconds."""
FAR_COST = 0.3
"""Cost of another region, as a part of a target's memory."""
PREFIX_GAIN = 0.3
"""Gain of a prompt that is fully cached, as a part of memory."""
WAITING_COST = 0.05
"""Cost of each request that waits on the engine."""


@attrs.frozen
class PlacementRequest:
    """A request for a target."""

    request: str
    """Identifier of the request, for logs."""
    workspace: str
    """Name of the workspace."""
    model: str
    """Name of the model."""
    prompt_tokens: int
    """Length of the prompt, in tokens."""
    prefixes: list[str] = attrs.field(factory=list)
    """Prefixes of the prompt, shortest first."""
    priority: int = 0
    """Higher goes first."""
    excluded: frozenset[str] = frozenset()
    """Targets on which it has failed."""


@attrs.frozen
class Placed:
    """A target was chosen."""

    target: str
    """Name of the target."""
    reason: str
    """Why it was chosen."""
    runners_up: list[str]
    """Other candidates, best first."""


@attrs.frozen
class NoRoom:
    """Targets serve the model, but none has room."""

    retry_at: float
    """When to look again without news, in epoch seconds."""


@attrs.frozen
class NoTarget:
    """No usable target serves the model or service."""

    reason: str
    """What is missing."""


Placement = Placed | NoRoom | NoTarget


@attrs.frozen
class MemoryPolicy:
    """How much of an engine's memory is planned for."""

    quantile: float
    """Quantile of the remaining lengths."""
    threshold: float
    """Part of the memory that may be expected to be in use."""

    @classmethod
    def weigh(cls, weights: core.PolicyWeights) -> MemoryPolicy:
        """Derive the policy from the weights of a deployment.

        Weight on preemptions plans for longer answers and leaves more
        memory free; weight on stall time admits sooner.
        """
        total = weights.stall + weights.preemption + weights.tail
        caution = weights.preemption / total if total > 0 else 1 / 3
        return cls(0.5 + 0.3 * caution, 0.98 - 0.1 * caution)


@attrs.frozen
class _Candidate:
    name: str
    cost: float
    reason: str


def choose_engine(
    view: _view.FleetView,
    request: PlacementRequest,
    lengths: _lengths.LengthEstimator,
    weights: core.PolicyWeights,
    rng: random.Random,
) -> Placement:
    """Choose an engine that is expected to have memory for a request."""
    pool = view.get_pool(request.model)
    usable = [name for name in request.excluded if view.find(name) is not None]
    if len(pool) == 0:
        return _explain_missing(view, request.model)
    policy = MemoryPolicy.weigh(weights)
    expected = lengths.find_quantile(
        request.workspace, request.model, 0, policy.quantile
    )
    names = _sample(view, request, rng)
    best = _rank(view, request, lengths, policy, expected, names)
    if not best:
        rest = [
            name
            for near in (True, False)
            for name in pool.get_names(near)
            if name not in names and name not in request.excluded
        ]
        if not rest and not names:
            return NoTarget(f'all targets failed it: {sorted(usable)}')
        rng.shuffle(rest)
        best = _rank(view, request, lengths, policy, expected, rest)
    if not best:
        return NoRoom(view.clock.now() + ROOM_RETRY_SECONDS)
    return Placed(
        best[0].name, best[0].reason, [item.name for item in best[1:4]]
    )


def choose_service(
    view: _view.FleetView,
    service: str,
    excluded: frozenset[str],
    rng: random.Random,
) -> Placement:
    """Choose a server of a plain service, the less busy of two."""
    subject = _view.get_service_subject(service)
    pool = view.get_pool(subject)
    for near in (True, False):
        names = [n for n in pool.get_names(near) if n not in excluded]
        if not names:
            continue
        pair = rng.sample(names, min(2, len(names)))
        loads = [_count_sends(view, name) for name in pair]
        first = loads.index(min(loads))
        where = 'region' if near else 'another region'
        reason = f'{loads[first]} own calls, in {where}'
        return Placed(
            pair[first], reason, [n for n in pair if n != pair[first]]
        )
    return _explain_missing(view, subject)


def _sample(
    view: _view.FleetView, request: PlacementRequest, rng: random.Random
) -> list[str]:
    pool = view.get_pool(request.model)
    near = pool.sample(True, SAMPLES + len(request.excluded), rng)
    far = pool.sample(False, 1 if near else SAMPLES, rng)
    hinted = view.hints.list_holders(request.prefixes, HINTED_SAMPLES)
    members = pool.get_names(True) if hinted else []
    names = near + far + [name for name in hinted if name in members]
    return [
        name for name in dict.fromkeys(names) if name not in request.excluded
    ]


def _rank(
    view: _view.FleetView,
    request: PlacementRequest,
    lengths: _lengths.LengthEstimator,
    policy: MemoryPolicy,
    expected: float,
    names: list[str],
) -> list[_Candidate]:
    now = view.clock.now()
    added = (float(request.prompt_tokens), expected)
    candidates = []
    for name in names:
        state = view.find(name)
        if state is None or not state.is_usable(now):
            continue
        if not _is_link_open(view, state):
            continue
        total = _get_memory(state)
        peak = _forecast.forecast_peak(
            state, lengths, policy.quantile, added, now
        )
        if peak > policy.threshold * total and not _is_idle(state):
            continue
        held = view.hints.match(name, request.prefixes)
        fill = peak / max(1, total)
        waiting = state.report.waiting if state.report is not None else 0
        cost = fill - PREFIX_GAIN * held + WAITING_COST * waiting
        cost += 0.0 if state.near else FAR_COST
        where = 'region' if state.near else 'another region'
        reason = f'{fill:.0%} memory, {held:.0%} prefix, in {where}'
        candidates.append(_Candidate(name, cost, reason))
    return sorted(candidates, key=lambda item: item.cost)


def _is_link_open(view: _view.FleetView, state: _states.TargetState) -> bool:
    if state.near or view.region is None or state.region is None:
        return True
    return view.links.has_room(
        view.region, state.region
    ) and view.links.has_room(state.region, view.region)


def _get_memory(state: _states.TargetState) -> int:
    if state.report is not None and state.report.kv_total > 0:
        return state.report.kv_total
    match state.declared:
        case core.EngineTarget(kv_tokens=kv_tokens):
            return kv_tokens
        case core.ServiceTarget():
            return 0
        case _ as other:
            typing.assert_never(other)


def _is_idle(state: _states.TargetState) -> bool:
    # A request whose expected length exceeds an engine's memory runs on an
    # idle engine rather than nowhere.
    return state.estimate_requests() == 0


def _count_sends(view: _view.FleetView, name: str) -> int:
    state = view.find(name)
    return len(state.sends) if state is not None else 0


def _explain_missing(view: _view.FleetView, subject: str) -> NoRoom | NoTarget:
    retry_at = view.find_recovery()
    if retry_at is not None:
        return NoRoom(retry_at)
    return NoTarget(f'no usable target serves {subject}')
