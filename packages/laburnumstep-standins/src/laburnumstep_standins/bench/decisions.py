"""Time and memory of placement, admission and limit decisions.

Run with `python -m laburnumstep_standins.bench.decisions`.
"""

from __future__ import annotations

import random
import time
import tracemalloc

import attrs

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import targets

TARGET_COUNTS = (50, 500, 5000)
"""Fleet sizes that are measured."""
WORKSPACE_COUNT = 1000
"""Workspaces that are measured."""
MODELS_BY_TARGETS = 185
"""Targets for each model; 27 models at 5,000 targets."""
KV_TOKENS = 100_000
"""Memory of each engine, in tokens."""
SENDS_BY_TARGET = 8
"""Own sends in progress on each target."""
SAMPLES = 2000
"""Decisions that are timed, one by one."""
KNOWN_VMS = 8
"""VMs that send to the same targets."""


@attrs.frozen
class DecisionRow:
    """Time of one kind of decision at one size."""

    decision: str
    """What is decided."""
    targets: int
    """Targets of the deployment."""
    workspaces: int
    """Workspaces of the deployment."""
    median_seconds: float
    """Median time of a decision."""
    p99_seconds: float
    """99th percentile of the time of a decision."""


@attrs.frozen
class MemoryRow:
    """Memory as a slope between two sizes."""

    subject: str
    """What there is more of."""
    bytes_each: float
    """Memory of each further one, in bytes."""


def measure_decisions(
    target_counts: tuple[int, ...] = TARGET_COUNTS, samples: int = SAMPLES
) -> list[DecisionRow]:
    """Time decisions over fleets of several sizes."""
    rows = []
    for count in target_counts:
        rows.append(_time_placement('place', count, 0.5, samples))
        rows.append(_time_placement('place, no room', count, 1.5, samples))
    rows.append(_time_limits(samples))
    return rows


def measure_memory(low: int = 500, high: int = 1500) -> list[MemoryRow]:
    """Measure memory of targets and workspaces as slopes."""
    span = high - low
    return [
        MemoryRow(
            'target',
            (_weigh_fleet(high) - _weigh_fleet(low)) / span,
        ),
        MemoryRow(
            'workspace, limits and one length sketch',
            (_weigh_workspaces(high) - _weigh_workspaces(low)) / span,
        ),
    ]


def make_deployment(target_count: int) -> core.Deployment:
    """Return a deployment with engines of several models."""
    models = max(1, target_count // MODELS_BY_TARGETS)
    place = core.Place('lima', ['lima-1', 'lima-2'])
    engines: dict[str, core.Target] = {}
    for number in range(target_count):
        name = f'engine-{number}'
        engines[name] = core.EngineTarget(
            name,
            place.data_centres[number % 2],
            '127.0.0.1:1',
            [f'model-{number % models}'],
            KV_TOKENS,
            True,
        )
    workspaces = {
        name: core.Workspace(name, '', 1e9, 1_000_000, 1e9)
        for name in map('workspace-{}'.format, range(WORKSPACE_COUNT))
    }
    return core.Deployment(
        'bench', {'lima': place}, engines, workspaces=workspaces
    )


def _load_fleet(
    deployment: core.Deployment, fill: float, rng: random.Random
) -> targets.FleetView:
    """Return a view with reports, sends and waiting requests."""
    clock = core.ManualClock()
    view = targets.FleetView(clock, 'lima-1')
    view.set_known_vms(KNOWN_VMS)
    view.apply_deployment(deployment)
    for name, target in deployment.targets.items():
        if not isinstance(target, core.EngineTarget):
            continue
        for number in range(SENDS_BY_TARGET):
            send = view.begin(
                name,
                f'{name}-{number}',
                f'workspace-{rng.randrange(WORKSPACE_COUNT)}',
                target.models[0],
                200,
                300.0,
            )
            view.record_tokens(send, rng.randrange(300))
        view.record_report(
            name,
            targets.LoadReport(
                clock.now(),
                running=40,
                waiting=0,
                kv_used=int(KV_TOKENS * fill * rng.uniform(0.9, 1.0)),
                kv_total=KV_TOKENS,
                preemptions=0,
                models=target.models,
            ),
        )
    clock.advance(0.5)
    return view


def _time_placement(
    decision: str, target_count: int, fill: float, samples: int
) -> DecisionRow:
    rng = random.Random(target_count)
    deployment = make_deployment(target_count)
    view = _load_fleet(deployment, fill, rng)
    models = max(1, target_count // MODELS_BY_TARGETS)
    lengths = targets.LengthEstimator()
    for _ in range(20 * WORKSPACE_COUNT):
        lengths.observe(
            f'workspace-{rng.randrange(WORKSPACE_COUNT)}',
            f'model-{rng.randrange(models)}',
            int(rng.lognormvariate(5.0, 1.0)) + 1,
        )
    requests = [
        targets.PlacementRequest(
            str(number),
            f'workspace-{rng.randrange(WORKSPACE_COUNT)}',
            f'model-{rng.randrange(models)}',
            200,
        )
        for number in range(samples)
    ]
    times = []
    for request in requests:
        begun = time.perf_counter()
        targets.choose_engine(view, request, lengths, deployment.weights, rng)
        times.append(time.perf_counter() - begun)
    return _summarise(decision, target_count, times)


def _time_limits(samples: int) -> DecisionRow:
    rng = random.Random(1)
    clock = core.ManualClock()
    limits = callers.WorkspaceLimits(clock)
    limits.apply_deployment(make_deployment(50))
    limits.set_known_vms(KNOWN_VMS)
    times = []
    for _ in range(samples):
        workspace = f'workspace-{rng.randrange(WORKSPACE_COUNT)}'
        begun = time.perf_counter()
        limits.try_begin(workspace, clock.now())
        times.append(time.perf_counter() - begun)
    return _summarise('limits', 50, times)


def _summarise(
    decision: str, target_count: int, times: list[float]
) -> DecisionRow:
    times.sort()
    return DecisionRow(
        decision,
        target_count,
        WORKSPACE_COUNT,
        times[len(times) // 2],
        times[int(len(times) * 0.99)],
    )


def _weigh_fleet(count: int) -> int:
    rng = random.Random(1)
    deployment = make_deployment(count)
    tracemalloc.start()
    view = _load_fleet(deployment, 0.5, rng)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del view
    return size


def _weigh_workspaces(count: int) -> int:
    rng = random.Random(1)
    names = [f'workspace-{number}' for number in range(count)]
    workspaces = {n: core.Workspace(n, '', 1e9, 1_000_000, 1e9) for n in names}
    deployment = core.Deployment('bench', workspaces=workspaces)
    clock = core.ManualClock()
    tracemalloc.start()
    limits = callers.WorkspaceLimits(clock)
    limits.apply_deployment(deployment)
    lengths = targets.LengthEstimator()
    for name in names:
        limits.try_begin(name, clock.now())
        for _ in range(50):
            tokens = int(rng.lognormvariate(5.0, 1.0)) + 1
            lengths.observe(name, 'model-0', tokens)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size


def main() -> None:
    """Print the rows."""
    for row in measure_decisions():
        print(
            f'{row.decision}: {row.targets} targets, '
            f'{row.workspaces} workspaces, '
            f'median {row.median_seconds * 1e6:.0f} us, '
            f'p99 {row.p99_seconds * 1e6:.0f} us'
        )
    for item in measure_memory():
        print(f'memory of each {item.subject}: {item.bytes_each:.0f} bytes')


if __name__ == '__main__':
    main()
