"""Placement: the choice of a target for a request."""

from __future__ import annotations

import math
import typing

import attrs

from laburnumstep import core
from laburnumstep.targets import _backlog
from laburnumstep.targets import _cost
from laburnumstep.targets import _forecast
from laburnumstep.targets import _policy
from laburnumstep.targets import _preferences
from laburnumstep.targets import _results
from laburnumstep.targets import _view

if typing.TYPE_CHECKING:
    import random

    from laburnumstep.targets import _lengths
    from laburnumstep.targets import _pace
    from laburnumstep.targets import _pools
    from laburnumstep.targets import _states

SAMPLES = 1
"""Random candidates compared first. More candidates find capacity sooner. Few
of them keep VMs with the same reports from all choosing the same target."""
REMOTE_SAMPLES = 1
"""Random remote candidates that are compared with the local ones."""
HINTED_SAMPLES = 2
"""Additional candidates that probably have the prompt's prefix cached."""
FALLBACK_SAMPLES = 12
"""Candidates compared when none of the first has capacity. It bounds the time
of a decision in a large deployment without capacity."""
CAPACITY_RETRY_SECONDS = 5.0
"""Time until a recheck if no change is reported, in seconds."""
DEMAND_DEVIATIONS = 2.0
"""Safety margin on the demand of all VMs, in standard deviations. If the
capacity covers the demand plus this margin, a VM may use more than its
fraction of the capacity."""
COST_STEP_SECONDS = 0.01
"""Difference in cost below which engines count as equal, in seconds. Among
equal engines the choice is random, so that VMs choose different ones."""
DRAW_FRACTION = 0.8
"""Fraction of the capacity that is assigned by random draws. The rest is a
reserve in case more VMs than expected win the draw."""


@attrs.frozen
class _Candidate:
    """A target with enough capacity, and its cost."""

    name: str
    cost: _cost.PlacementCost
    utilization: float
    cached_tokens: int
    pace: _pace.Pace
    age: float
    local: bool

    def explain(self) -> str:
        """Return the reason that is logged for the decision."""
        where = 'region' if self.local else 'another region'
        return (
            f'{self.cost.explain()}; {self.utilization:.0%} memory,'
            f' {self.cached_tokens} tokens cached, speed'
            f' {self.pace.speed:.2f}, report {self.age:.1f} s old, {where}'
        )


@attrs.frozen
class _Ranker:
    """Ranks candidates for one request by cost."""

    view: _view.FleetView
    request: _results.PlacementRequest
    lengths: _lengths.LengthEstimator
    policy: _policy.MemoryPolicy
    rng: random.Random
    expected: float
    prompt_rate: float
    now: float

    def rank(self, names: list[str]) -> list[_Candidate]:
        """Return the candidates with capacity, best first."""
        scored = [self._score(name) for name in names]
        candidates = [item for item in scored if item is not None]
        candidates.sort(key=_round_cost)
        return candidates

    def rank_with_substitutes(
        self, names: list[str], substitutes: typing.Iterable[str]
    ) -> list[_Candidate]:
        """Return as many candidates with capacity as names, best first.

        Comparing the same number of engines whether or not some are full
        keeps a request from the only one that is not.

        Args:
            names: Names of the candidates.
            substitutes: Names of engines that replace those without capacity.
        """
        ranked = self.rank(names)
        for name in substitutes:
            if len(ranked) >= len(names):
                break
            ranked += self.rank([name])
        ranked.sort(key=_round_cost)
        return ranked

    def _score(self, name: str) -> _Candidate | None:
        """Return a target with its cost, or None if it cannot be chosen."""
        state = self.view.find(name)
        if state is None or not state.takes_requests(self.now):
            return None
        if not self.view.places.permits(self.request.regions, state.declared):
            return None
        if self.request.suspect and state.has_suspect():
            return None
        link_seconds = self._get_link_seconds(state)
        if link_seconds is None:
            return None
        load = state.estimate_load(self.now)
        fraction = self.policy.get_memory_fraction(self.request.priority)
        limit = fraction * state.memory
        prompt = self.request.prompt_tokens
        # An idle engine is accepted even if the expected length exceeds
        # its memory, because no engine could run the request otherwise.
        idle = load.requests == 0
        if not idle and load.kv_used + prompt > limit:
            return None
        peak = _forecast.forecast_peak(
            state,
            load,
            self.lengths,
            self.policy.quantile,
            (float(prompt), self.expected),
            self.request.model,
        )
        free = limit - peak
        if not idle and free < 0:
            return None
        if not self._may_use_capacity(state, load, free):
            return None
        pace = self.view.estimate_pace(name)
        cached = self._count_cached(state, load)
        utilization = peak / max(1, state.memory)
        outlook = self._forecast(
            state, load, pace, utilization, cached, link_seconds
        )
        cost = _cost.estimate_cost(outlook, self.request.objectives)
        age = self.now - state.measured_at if state.report else math.inf
        return _Candidate(
            name, cost, utilization, cached, pace, age, state.local
        )

    def _forecast(
        self,
        state: _states.TargetState,
        load: _states.TargetLoad,
        pace: _pace.Pace,
        utilization: float,
        cached_tokens: int,
        link_seconds: float,
    ) -> _cost.EngineOutlook:
        """Return what is expected of an engine if it gets the request."""
        rate = pace.speed * _cost.PREFILL_TOKENS_PER_SECOND
        prompt = self.request.prompt_tokens
        name = state.declared.name
        return _cost.EngineOutlook(
            prefill_rate=rate,
            backlog_tokens=_backlog.estimate_backlog(
                state, rate, float(prompt), self.now
            ),
            slot_seconds=self._estimate_slot_wait(state, load, pace),
            new_tokens=prompt - cached_tokens,
            run_tokens=prompt + self.expected,
            runs=load.requests,
            memory_use=utilization,
            link_seconds=link_seconds,
            pause_seconds=pace.pause_seconds,
            run_seconds=self.expected * (pace.token_seconds or 0.0),
            prompts_per_second=self.prompt_rate,
            streams=_list_streams(state, pace, self.now),
            exposed=name in self.request.avoided,
        )

    def _count_cached(
        self, state: _states.TargetState, load: _states.TargetLoad
    ) -> int:
        """Return the prompt tokens that an engine probably has cached."""
        request = self.request
        name = state.declared.name
        free = state.memory - load.kv_used
        known = self.view.residency.count_cached(name, request.parts, free)
        hinted = self.view.hints.match(name, request.prefixes)
        tokens = max(known, int(hinted * request.prompt_tokens))
        return min(tokens, request.prompt_tokens)

    def _estimate_slot_wait(
        self,
        state: _states.TargetState,
        load: _states.TargetLoad,
        pace: _pace.Pace,
    ) -> float:
        """Return the wait for memory that running requests free, in seconds.

        Requests end one after another, evenly over their remaining time.
        """
        needed = load.kv_used + self.request.prompt_tokens - state.memory
        seconds = pace.token_seconds or self.view.token_seconds
        if needed <= 0 or not load.requests or seconds is None:
            return 0.0
        residual = self.lengths.estimate_residual(self.request.model)
        size = max(1.0, load.kv_used / load.requests)
        ends = min(load.requests, math.ceil(needed / size))
        return 2.0 * residual * seconds * ends / load.requests

    def _may_use_capacity(
        self,
        state: _states.TargetState,
        load: _states.TargetLoad,
        free: float,
    ) -> bool:
        """Return whether this VM may use the capacity of a target.

        All VMs see the same free memory until the next report. If their
        demand may exceed it, each VM uses an equal fraction of it. If that
        is smaller than one request, the VM places one request with that
        probability; the random number is drawn once a report.

        Args:
            state: State of the target.
            load: Its current load.
            free: Memory that is expected to stay free, in tokens.
        """
        vms = self.view.known_vms
        if vms <= 1:
            return True
        size = max(1.0, self.request.prompt_tokens + self.expected)
        slots = max(0.0, free) / size + 1 + max(0, load.net_sends)
        own_slots = slots / vms
        if load.net_sends + 1 <= own_slots:
            return True
        demand = vms * (
            max(0, load.net_sends) + self.view.count_demand(self.request.model)
        )
        if demand + DEMAND_DEVIATIONS * math.sqrt(demand) <= slots:
            return True
        if state.draw_measured_at != state.measured_at:
            state.draw = self.rng.random()
            state.draw_measured_at = state.measured_at
        return load.net_sends <= 0 and state.draw < own_slots * DRAW_FRACTION

    def _get_link_seconds(self, state: _states.TargetState) -> float | None:
        """Return the latency of the link to a target and back, in seconds.

        Returns:
            The latency, or None if the budget of the link is used up.
        """
        if state.local:
            return 0.0
        local_region = self.view.region
        if local_region is None or state.region is None:
            return _cost.estimate_link_seconds(0.0)
        links = self.view.links
        utilization = max(
            links.get_utilization(local_region, state.region),
            links.get_utilization(state.region, local_region),
        )
        if utilization >= 1.0:
            return None
        return _cost.estimate_link_seconds(utilization)


def _round_cost(candidate: _Candidate) -> float:
    """Return the cost in steps that reports are precise enough to tell."""
    return round(candidate.cost.total / COST_STEP_SECONDS)


def _list_streams(
    state: _states.TargetState, pace: _pace.Pace, now: float
) -> list[tuple[float, float]]:
    """Return the streams on an engine that have an objective for pauses.

    Returns:
        Objective and expected duration of each stream, in seconds.
    """
    streams = [
        (gap_seconds, seconds)
        for ends_at, gap_seconds, seconds in state.sibling_streams
        if ends_at > now
    ]
    token_seconds = pace.token_seconds or 0.0
    for send in state.sends.values():
        if send.gap_seconds is not None:
            expected = send.hinted_tokens or send.expected_tokens
            streams.append((send.gap_seconds, expected * token_seconds))
    return streams


def choose_engine(
    view: _view.FleetView,
    request: _results.PlacementRequest,
    lengths: _lengths.LengthEstimator,
    weights: core.PolicyWeights,
    rng: random.Random,
) -> _results.PlacementResult:
    """Choose an engine that is expected to have memory for a request.

    Args:
        view: Targets and their load.
        request: The request.
        lengths: Observed lengths of answers.
        weights: Weights of the deployment's policy.
        rng: Source of random numbers.
    """
    if len(view.get_pool(request.model, request.regions)) == 0:
        return _explain_missing(
            view, request.model, request.excluded, request.regions
        )
    policy = _policy.MemoryPolicy.from_weights(weights)
    ranker = _Ranker(
        view,
        request,
        lengths,
        policy,
        rng,
        _preferences.estimate_tokens(request, lengths, policy.quantile),
        view.measure_prompt_rate(request.model),
        view.clock.now(),
    )
    names = list(request.candidates) or _sample(view, request, rng)
    ranked = ranker.rank_with_substitutes(names, request.substitutes)
    if not ranked:
        fallback = _sample_fallback(view, request, rng, names)
        if not names and not fallback:
            return _explain_missing(
                view, request.model, request.excluded, request.regions
            )
        ranked = ranker.rank(fallback)
    if not ranked:
        return _results.NoRoom(_compute_retry_at(view, request.model))
    best = ranked[0]
    return _results.Placed(
        best.name, best.explain(), [item.name for item in ranked[1:4]]
    )


def sample_engines(
    view: _view.FleetView,
    model: str,
    excluded: frozenset[str],
    local: int,
    remote: int,
    rng: random.Random,
    regions: core.Regions = core.AnyRegion(),
    preference: _preferences.Preference | None = None,
) -> tuple[str, ...]:
    """Return a random sample of engines, in random order.

    Args:
        view: Targets and their load.
        model: Model that the engines serve.
        excluded: Engines that must not be sampled.
        local: Number of engines from the VM's region.
        remote: Number of engines from other regions. If the VM's region
            has too few engines, this number grows accordingly.
        rng: Source of random numbers.
        regions: Regions from which engines are sampled.
        preference: Engines that are sampled first, if any.
    """
    pool = view.get_pool(model, regions)
    engines = _draw(pool, True, local, excluded, rng, preference)
    missing = local - len(engines) + remote
    engines += _draw(pool, False, missing, excluded, rng, preference)
    rng.shuffle(engines)
    return tuple(engines)


def _draw(
    pool: _pools.TargetPool,
    local: bool,
    count: int,
    excluded: frozenset[str],
    rng: random.Random,
    preference: _preferences.Preference | None,
) -> list[str]:
    """Return a random sample of local or remote engines of a pool."""
    drawn = count
    if preference is not None:
        drawn *= _preferences.OVERSAMPLING
    names = pool.sample(local, drawn + len(excluded), rng)
    names = [name for name in names if name not in excluded]
    if preference is not None:
        rng.shuffle(names)
        return preference.select(names, count)
    return names[:count]


def choose_service(
    view: _view.FleetView,
    service: str,
    excluded: frozenset[str],
    rng: random.Random,
    regions: core.Regions = core.AnyRegion(),
) -> _results.PlacementResult:
    """Choose a server of a plain service, the less loaded of two.

    The load is the number of this VM's calls in progress. Remote servers
    are used only if there is no local one.

    Args:
        view: Targets and their load.
        service: Name of the service.
        excluded: Servers that must not be chosen.
        rng: Source of random numbers.
        regions: Regions whose servers may be chosen.
    """
    pool_key = _view.get_service_pool_key(service)
    pool = view.get_pool(pool_key, regions)
    for local in (True, False):
        names = [n for n in pool.get_names(local) if n not in excluded]
        if not names:
            continue
        pair = rng.sample(names, min(2, len(names)))
        loads = [_count_sends(view, name) for name in pair]
        first = loads.index(min(loads))
        where = 'region' if local else 'another region'
        reason = f'{loads[first]} own calls, {where}'
        others = [name for name in pair if name != pair[first]]
        return _results.Placed(pair[first], reason, others)
    return _explain_missing(view, pool_key, excluded, regions)


def _sample(
    view: _view.FleetView,
    request: _results.PlacementRequest,
    rng: random.Random,
) -> list[str]:
    pool = view.get_pool(request.model, request.regions)
    extra = len(request.excluded)
    local = pool.sample(True, SAMPLES + extra, rng)
    remote = pool.sample(
        False, REMOTE_SAMPLES if local else SAMPLES + extra, rng
    )
    hinted = view.hints.list_caching_targets(request.prefixes, HINTED_SAMPLES)
    names = local + remote + [name for name in hinted if name in pool]
    holder = _preferences.choose_cache_holder(view, request, rng)
    if holder is not None:
        names.append(holder)
    # A pool not larger than the sample is returned in a fixed order. Without
    # shuffling, VMs without load reports would all choose the same target.
    rng.shuffle(names)
    return [
        name for name in dict.fromkeys(names) if name not in request.excluded
    ]


def _sample_fallback(
    view: _view.FleetView,
    request: _results.PlacementRequest,
    rng: random.Random,
    seen: list[str],
) -> list[str]:
    pool = view.get_pool(request.model, request.regions)
    count = FALLBACK_SAMPLES + len(seen) + len(request.excluded)
    local = pool.sample(True, count, rng)
    names = local + pool.sample(False, max(0, count - len(local)), rng)
    skipped = request.excluded.union(seen)
    return [name for name in names if name not in skipped]


def _count_sends(view: _view.FleetView, name: str) -> int:
    state = view.find(name)
    return len(state.sends) if state is not None else 0


def _compute_retry_at(view: _view.FleetView, pool_key: str) -> float:
    retry_at = view.clock.now() + CAPACITY_RETRY_SECONDS
    recovery = view.find_recovery(pool_key)
    return retry_at if recovery is None else min(retry_at, recovery)


def _explain_missing(
    view: _view.FleetView,
    pool_key: str,
    excluded: frozenset[str],
    regions: core.Regions,
) -> _results.NoRoom | _results.NoTarget:
    """Return why a pool has no target.

    If a failed target of the pool can be used again later, the result is
    that there is no capacity until then.
    """
    recovery = view.find_recovery(pool_key, excluded, regions)
    if recovery is not None:
        return _results.NoRoom(recovery)
    if excluded:
        names = ', '.join(sorted(excluded))
        return _results.NoTarget(f'no target but those it failed on: {names}')
    limits = view.places.describe(regions)
    return _results.NoTarget(f'no usable target serves {pool_key}{limits}')
