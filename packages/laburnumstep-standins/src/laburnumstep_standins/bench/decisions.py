"""Measures one placement decision over a large deployment."""

from __future__ import annotations

import random
import time

import attrs

from laburnumstep import core
from laburnumstep import targets
from laburnumstep_standins.bench import figures
from laburnumstep_standins.bench import own_policy
from laburnumstep_standins.bench import records
from laburnumstep_standins.bench import workload

TARGETS = 500
"""Engines of the deployment."""
WORKSPACES = 1000
"""Workspaces whose lengths are known."""
_SENDS_PER_TARGET = 4
"""This VM's sends to each target, on average."""
_KNOWN_VMS = 8


@attrs.frozen
class Row:
    """Times of the decisions, in microseconds."""

    targets: int
    """Engines."""
    workspaces: int
    """Workspaces."""
    decisions: int
    """Decisions that were measured."""
    placed: int
    """Decisions that found room."""
    p50: float
    """Median."""
    p95: float
    """95th percentile."""
    p99: float
    """99th percentile."""


def measure(seed: int, decisions: int) -> Row:
    """Time decisions on a deployment with half of its memory in use."""
    rng = random.Random(seed)
    clock = core.SystemClock()
    view, lengths = _build(clock, rng)
    weights = core.PolicyWeights()
    times = []
    placed = 0
    for number in range(decisions):
        request = _ask(rng, number)
        started = time.perf_counter()
        result = targets.choose_engine(view, request, lengths, weights, rng)
        times.append((time.perf_counter() - started) * 1e6)
        if isinstance(result, targets.Placed):
            placed += 1
            send = _begin(view, result.target, request, rng)
            view.end(send)
    row = Row(
        TARGETS,
        WORKSPACES,
        decisions,
        placed,
        records.find_percentile(times, 50),
        records.find_percentile(times, 95),
        records.find_percentile(times, 99),
    )
    figures.print_table(
        f'Placement decisions, microseconds, seed {seed}', [row]
    )
    return row


def _build(
    clock: core.Clock, rng: random.Random
) -> tuple[targets.FleetView, targets.LengthEstimator]:
    view = targets.FleetView(clock, own_policy.DATA_CENTRE)
    names = [f'engine-{number}' for number in range(TARGETS)]
    addresses = dict.fromkeys(names, '127.0.0.1:1')
    view.apply_deployment(own_policy.build_deployment(addresses))
    view.set_known_vms(_KNOWN_VMS)
    lengths = targets.LengthEstimator()
    for number in range(WORKSPACES * 5):
        length = max(1, round(rng.lognormvariate(4, 1)))
        workspace = f'workspace-{number % WORKSPACES}'
        lengths.observe(workspace, workload.MODEL, length)
    for name in names:
        sends = [
            _begin(view, name, _ask(rng, number), rng)
            for number in range(rng.randrange(2 * _SENDS_PER_TARGET))
        ]
        view.record_report(name, _report(sends, clock.now()))
    return view, lengths


def _report(sends: list[targets.Send], now: float) -> targets.LoadReport:
    """Return a report in which other VMs use as much as this one."""
    return targets.LoadReport(
        measured_at=now,
        running=2 * len(sends),
        waiting=0,
        kv_used=2 * sum(send.kv_tokens for send in sends),
        kv_total=workload.ENGINE.kv_tokens,
        preemptions=0,
        models=[workload.MODEL],
    )


def _ask(rng: random.Random, number: int) -> targets.PlacementRequest:
    return targets.PlacementRequest(
        request=f'request-{number}',
        workspace=f'workspace-{rng.randrange(WORKSPACES)}',
        model=workload.MODEL,
        prompt_tokens=rng.randrange(100, 300),
        prefixes=[f'prefix-{rng.randrange(100)}'],
    )


def _begin(
    view: targets.FleetView,
    target: str,
    request: targets.PlacementRequest,
    rng: random.Random,
) -> targets.Send:
    send = view.begin(
        target,
        f'{target}-{request.request}',
        request.workspace,
        request.model,
        request.prompt_tokens,
        100.0,
    )
    view.record_tokens(send, rng.randrange(50))
    return send
