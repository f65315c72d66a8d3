"""Placement: the choice of a target for a request."""

from __future__ import annotations

import math
import typing

import attrs

from laburnumstep import core
from laburnumstep.targets import _forecast
from laburnumstep.targets import _policy
from laburnumstep.targets import _results
from laburnumstep.targets import _view

if typing.TYPE_CHECKING:
    import random

    from laburnumstep.targets import _lengths
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
DRAW_FRACTION = 0.8
"""Fraction of the capacity that is assigned by random draws. The rest is a
reserve in case more VMs than expected win the draw."""
REMOTE_COST = 0.3
"""Cost of a remote target over an unused link, as a fraction of memory."""
LINK_COST = 0.7
"""Additional cost of a link without unused budget, as a fraction of memory."""
PREFIX_GAIN = 0.3
"""Benefit of a prompt that is fully cached, as a fraction of memory."""
AVOIDED_COST = 0.4
"""Cost of a target that the request avoids, as a fraction of memory."""
WAITING_COST = 0.12
"""Cost of each request that waits on the engine or was sent to it since its
report, as a fraction of memory. Prompts are prefilled one after another
between the tokens of running requests, so each of them delays the first token
by some tenths of a second."""


@attrs.frozen
class _Candidate:
    """A target with enough capacity, and the terms of its cost."""

    name: str
    cost: float
    utilization: float
    cached: float
    waiting: int
    age: float
    local: bool

    def explain(self) -> str:
        """Return the reason that is logged for the decision."""
        where = 'region' if self.local else 'another region'
        return (
            f'{self.utilization:.0%} memory, {self.cached:.0%} prefix,'
            f' {self.waiting} waiting, report {self.age:.1f} s old, {where}'
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
    now: float

    def rank(self, names: list[str]) -> list[_Candidate]:
        """Return the candidates with capacity, best first."""
        scored = [self._score(name) for name in names]
        candidates = [item for item in scored if item is not None]
        candidates.sort(key=lambda item: item.cost)
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
        ranked.sort(key=lambda item: item.cost)
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
        remote_cost = 0.0 if state.local else self._get_link_cost(state)
        if remote_cost is None:
            return None
        load = state.estimate_load(self.now)
        fraction = self.request.memory_fraction
        if fraction is None:
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
        cached = self.view.hints.match(name, self.request.prefixes)
        utilization = peak / max(1, state.memory)
        waiting = max(0, load.net_sends) + load.sibling_sends
        if state.report is not None:
            waiting += state.report.waiting
        cost = (
            utilization
            - PREFIX_GAIN * cached
            + WAITING_COST * waiting
            + remote_cost
        )
        if name in self.request.avoided:
            cost += AVOIDED_COST
        age = self.now - state.measured_at if state.report else math.inf
        return _Candidate(
            name, cost, utilization, cached, waiting, age, state.local
        )

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

    def _get_link_cost(self, state: _states.TargetState) -> float | None:
        """Return the cost of a remote target.

        Returns:
            The cost as a fraction of memory, or None if the budget of the
            link is used up.
        """
        local_region = self.view.region
        if local_region is None or state.region is None:
            return REMOTE_COST
        links = self.view.links
        utilization = max(
            links.get_utilization(local_region, state.region),
            links.get_utilization(state.region, local_region),
        )
        return (
            None
            if utilization >= 1.0
            else REMOTE_COST + LINK_COST * utilization
        )


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
    expected = request.hinted_tokens
    if expected is None:
        expected = lengths.estimate_total(
            request.workspace, request.model, 0, policy.quantile
        )
    if request.max_tokens is not None:
        expected = min(expected, float(request.max_tokens))
    now = view.clock.now()
    ranker = _Ranker(view, request, lengths, policy, rng, expected, now)
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
    """
    pool = view.get_pool(model, regions)
    extra = len(excluded)
    engines = [
        n for n in pool.sample(True, local + extra, rng) if n not in excluded
    ]
    missing = local - len(engines[:local]) + remote
    others = pool.sample(False, missing + extra, rng)
    engines = (
        engines[:local] + [n for n in others if n not in excluded][:missing]
    )
    rng.shuffle(engines)
    return tuple(engines)


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
