"""Choice of a target for a request."""

from __future__ import annotations

import math
import typing

import attrs

from laburnumstep.targets import _forecast
from laburnumstep.targets import _policy
from laburnumstep.targets import _results
from laburnumstep.targets import _view

if typing.TYPE_CHECKING:
    import random

    from laburnumstep import core
    from laburnumstep.targets import _lengths
    from laburnumstep.targets import _states

SAMPLES = 1
"""Candidates compared first; more than one finds room sooner, and fewer
than all keep VMs with the same reports from choosing the same target."""
FAR_SAMPLES = 1
"""Candidates of other regions beside those of the VM's own."""
HINTED_SAMPLES = 2
"""Further candidates that probably hold the prompt's prefix."""
MORE_SAMPLES = 12
"""Candidates looked at when none of the first has room. It bounds the
time of a decision in a large deployment without room."""
ROOM_RETRY_SECONDS = 5.0
"""When to look again for room without any news, in seconds."""
DEMAND_DEVIATIONS = 2.0
"""Standard deviations of the demand of all VMs that must find room before
a VM takes more than its part of it."""
DRAW_PART = 0.8
"""Part of the room that is handed out by drawing; the rest allows for
more VMs than expected drawing it."""
FAR_COST = 0.3
"""Cost of another region over an unused link, as a part of memory."""
LINK_COST = 0.7
"""Further cost of a link whose budget is used up, as a part of memory."""
PREFIX_GAIN = 0.3
"""Gain of a prompt that is fully cached, as a part of memory."""
AVOIDED_COST = 0.4
"""Cost of a target that the request avoids, as a part of memory."""
WAITING_COST = 0.12
"""Cost of each request that waits on the engine or was sent to it since its
report. Prompts are read one after another between the tokens of running
requests, so each delays the first token by some tenths of a second."""


@attrs.frozen
class _Candidate:
    name: str
    cost: float
    fill: float
    held: float
    waiting: int
    age: float
    near: bool

    def explain(self) -> str:
        where = 'region' if self.near else 'another region'
        return (
            f'{self.fill:.0%} memory, {self.held:.0%} prefix,'
            f' {self.waiting} waiting, report {self.age:.1f} s old, {where}'
        )


@attrs.frozen
class _Question:
    view: _view.FleetView
    request: _results.PlacementRequest
    lengths: _lengths.LengthEstimator
    policy: _policy.MemoryPolicy
    rng: random.Random
    expected: float
    now: float

    def rank(self, names: list[str]) -> list[_Candidate]:
        """Return the candidates with room, best first."""
        found = [self._examine(name) for name in names]
        candidates = [item for item in found if item is not None]
        candidates.sort(key=lambda item: item.cost)
        return candidates

    def _examine(self, name: str) -> _Candidate | None:
        state = self.view.find(name)
        if state is None or not state.is_usable(self.now):
            return None
        if self.request.suspect and state.runs_suspect():
            return None
        far_cost = 0.0 if state.near else self._price_link(state)
        if far_cost is None:
            return None
        load = state.estimate_load(self.now)
        part = self.request.memory_part
        if part is None:
            part = self.policy.find_limit(self.request.priority)
        limit = part * state.memory
        prompt = self.request.prompt_tokens
        # A request whose expected length exceeds an engine's memory runs
        # on an idle engine rather than nowhere.
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
        room = limit - peak
        if not idle and room < 0:
            return None
        if not self._may_take(state, load, room):
            return None
        held = self.view.hints.match(name, self.request.prefixes)
        fill = peak / max(1, state.memory)
        waiting = max(0, load.taken)
        if state.report is not None:
            waiting += state.report.waiting
        cost = fill - PREFIX_GAIN * held + WAITING_COST * waiting + far_cost
        if name in self.request.avoided:
            cost += AVOIDED_COST
        age = self.now - state.measured_at if state.report else math.inf
        return _Candidate(name, cost, fill, held, waiting, age, state.near)

    def _may_take(
        self,
        state: _states.TargetState,
        load: _states.TargetLoad,
        room: float,
    ) -> bool:
        """Tell whether this VM may use some of the room that it sees.

        All VMs see the same room until the next report. Where they may
        want more than there is, each keeps to its part of it; less than a
        request is taken with that probability, drawn once a report.
        """
        vms = self.view.known_vms
        if vms <= 1:
            return True
        size = max(1.0, self.request.prompt_tokens + self.expected)
        slots = max(0.0, room) / size + 1 + max(0, load.taken)
        part = slots / vms
        if load.taken + 1 <= part:
            return True
        demand = vms * (
            max(0, load.taken) + self.view.count_demand(self.request.model)
        )
        if demand + DEMAND_DEVIATIONS * math.sqrt(demand) <= slots:
            return True
        if state.drawn_for != state.measured_at:
            state.draw = self.rng.random()
            state.drawn_for = state.measured_at
        return load.taken <= 0 and state.draw < part * DRAW_PART

    def _price_link(self, state: _states.TargetState) -> float | None:
        """Return the cost of a target's region; None if over budget."""
        here = self.view.region
        if here is None or state.region is None:
            return FAR_COST
        links = self.view.links
        fill = max(
            links.get_fill(here, state.region),
            links.get_fill(state.region, here),
        )
        return None if fill >= 1.0 else FAR_COST + LINK_COST * fill


def choose_engine(
    view: _view.FleetView,
    request: _results.PlacementRequest,
    lengths: _lengths.LengthEstimator,
    weights: core.PolicyWeights,
    rng: random.Random,
) -> _results.Placement:
    """Choose an engine that is expected to have memory for a request.

    Args:
        view: Targets and their load.
        request: The request.
        lengths: Expected lengths of answers.
        weights: How much each measure counts for the deployment.
        rng: Source of random numbers.
    """
    if len(view.get_pool(request.model)) == 0:
        return _explain_missing(view, request.model, request.excluded)
    policy = _policy.MemoryPolicy.weigh(weights)
    expected = request.hinted_tokens
    if expected is None:
        expected = lengths.find_total(
            request.workspace, request.model, 0, policy.quantile
        )
    if request.max_tokens is not None:
        expected = min(expected, float(request.max_tokens))
    now = view.clock.now()
    question = _Question(view, request, lengths, policy, rng, expected, now)
    names = list(request.candidates) or _sample(view, request, rng)
    ranked = question.rank(names)
    if not ranked:
        more = _sample_more(view, request, rng, names)
        if not names and not more:
            return _explain_missing(view, request.model, request.excluded)
        ranked = question.rank(more)
    if not ranked:
        return _results.NoRoom(_find_retry(view, request.model))
    best = ranked[0]
    return _results.Placed(
        best.name, best.explain(), [item.name for item in ranked[1:4]]
    )


def sample_engines(
    view: _view.FleetView,
    model: str,
    excluded: frozenset[str],
    near: int,
    far: int,
    rng: random.Random,
) -> tuple[str, ...]:
    """Return engines to compare, in random order.

    Args:
        view: Targets and their load.
        model: Model that they serve.
        excluded: Engines that are left out.
        near: How many of the VM's region.
        far: How many of other regions; where its region has fewer than
            wanted, others take their place.
        rng: Source of random numbers.
    """
    pool = view.get_pool(model)
    extra = len(excluded)
    found = [
        n for n in pool.sample(True, near + extra, rng) if n not in excluded
    ]
    missing = near - len(found[:near]) + far
    others = pool.sample(False, missing + extra, rng)
    found = found[:near] + [n for n in others if n not in excluded][:missing]
    rng.shuffle(found)
    return tuple(found)


def choose_service(
    view: _view.FleetView,
    service: str,
    excluded: frozenset[str],
    rng: random.Random,
) -> _results.Placement:
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
        reason = f'{loads[first]} own calls, {where}'
        others = [name for name in pair if name != pair[first]]
        return _results.Placed(pair[first], reason, others)
    return _explain_missing(view, subject, excluded)


def _sample(
    view: _view.FleetView,
    request: _results.PlacementRequest,
    rng: random.Random,
) -> list[str]:
    pool = view.get_pool(request.model)
    extra = len(request.excluded)
    near = pool.sample(True, SAMPLES + extra, rng)
    far = pool.sample(False, FAR_SAMPLES if near else SAMPLES + extra, rng)
    hinted = view.hints.list_holders(request.prefixes, HINTED_SAMPLES)
    names = near + far + [name for name in hinted if name in pool]
    # Small pools come whole and in one order; VMs that know of no load
    # would all begin with the same target.
    rng.shuffle(names)
    return [
        name for name in dict.fromkeys(names) if name not in request.excluded
    ]


def _sample_more(
    view: _view.FleetView,
    request: _results.PlacementRequest,
    rng: random.Random,
    seen: list[str],
) -> list[str]:
    pool = view.get_pool(request.model)
    count = MORE_SAMPLES + len(seen) + len(request.excluded)
    near = pool.sample(True, count, rng)
    names = near + pool.sample(False, max(0, count - len(near)), rng)
    skipped = request.excluded.union(seen)
    return [name for name in names if name not in skipped]


def _count_sends(view: _view.FleetView, name: str) -> int:
    state = view.find(name)
    return len(state.sends) if state is not None else 0


def _find_retry(view: _view.FleetView, subject: str) -> float:
    retry_at = view.clock.now() + ROOM_RETRY_SECONDS
    recovery = view.find_recovery(subject)
    return retry_at if recovery is None else min(retry_at, recovery)


def _explain_missing(
    view: _view.FleetView, subject: str, excluded: frozenset[str]
) -> _results.NoRoom | _results.NoTarget:
    """Tell a target that comes back soon from none at all."""
    recovery = view.find_recovery(subject, excluded)
    if recovery is not None:
        return _results.NoRoom(recovery)
    if excluded:
        names = ', '.join(sorted(excluded))
        return _results.NoTarget(f'no target but those it failed on: {names}')
    return _results.NoTarget(f'no usable target serves {subject}')
