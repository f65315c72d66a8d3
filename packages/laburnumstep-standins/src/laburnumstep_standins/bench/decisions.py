"""Benchmark of the time and memory of placement and limit decisions.

Run it with `python -m laburnumstep_standins.bench.decisions`.
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
"""Numbers of targets to measure with."""
WORKSPACE_COUNT = 1000
"""Number of workspaces in the deployment."""
TARGETS_PER_MODEL = 185
"""Number of targets that serve one model; 27 models at 5,000 targets."""
KV_TOKENS_PER_ENGINE = 100_000
"""KV-cache memory of each engine, in tokens."""
SENDS_PER_TARGET = 8
"""Sends of this VM in progress on each target."""
SAMPLES = 2000
"""Number of decisions to time individually."""
VM_COUNT = 8
"""Number of VMs that send to the same targets."""


@attrs.frozen
class DecisionRow:
    """Time of one kind of decision with one number of targets."""

    decision: str
    """Kind of decision."""
    targets: int
    """Number of targets in the deployment."""
    workspaces: int
    """Number of workspaces in the deployment."""
    median_seconds: float
    """Median time of a decision, in seconds."""
    p99_seconds: float
    """99th percentile of the time of a decision, in seconds."""


@attrs.frozen
class MemoryRow:
    """Marginal memory use of one kind of object."""

    subject: str
    """Kind of object."""
    bytes_each: float
    """Memory of each additional object, in bytes."""


def measure_decisions(
    target_counts: tuple[int, ...] = TARGET_COUNTS, samples: int = SAMPLES
) -> list[DecisionRow]:
    """Time placement and limit decisions.

    Args:
        target_counts: Numbers of targets to measure placement with.
        samples: Number of decisions to time for each row.

    Returns:
        Two rows for each number of targets and one for the limits.
    """
    rows = []
    for count in target_counts:
        rows.append(_time_placement('place', count, 0.5, samples))
        rows.append(_time_placement('place, no room', count, 1.5, samples))
    rows.append(_time_limits(samples))
    return rows


def measure_memory(low: int = 500, high: int = 1500) -> list[MemoryRow]:
    """Measure the memory of each additional target and workspace.

    The difference between two sizes leaves out memory that is independent of
    the size.

    Args:
        low: Smaller number of objects.
        high: Larger number of objects.
    """
    span = high - low
    return [
        MemoryRow(
            'target',
            (_measure_fleet_bytes(high) - _measure_fleet_bytes(low)) / span,
        ),
        MemoryRow(
            'workspace, limits and one length sketch',
            (_measure_workspace_bytes(high) - _measure_workspace_bytes(low))
            / span,
        ),
    ]


def make_deployment(target_count: int) -> core.Deployment:
    """Return a deployment of engines that serve several models.

    Args:
        target_count: Number of engines.
    """
    models = max(1, target_count // TARGETS_PER_MODEL)
    place = core.Place('lima', ['lima-1', 'lima-2'])
    engines: dict[str, core.Target] = {}
    for number in range(target_count):
        name = f'engine-{number}'
        engines[name] = core.EngineTarget(
            name,
            place.data_centres[number % 2],
            '127.0.0.1:1',
            [f'model-{number % models}'],
            KV_TOKENS_PER_ENGINE,
            True,
        )
    workspaces = {
        name: core.Workspace(name, '', 1e9, 1_000_000, 1e9)
        for name in map('workspace-{}'.format, range(WORKSPACE_COUNT))
    }
    return core.Deployment(
        'bench', {'lima': place}, engines, workspaces=workspaces
    )


def _build_loaded_view(
    deployment: core.Deployment, utilization: float, rng: random.Random
) -> targets.FleetView:
    """Return a fleet view with load reports and sends in progress.

    Args:
        deployment: Targets of the fleet.
        utilization: Used fraction of engine memory; above 1, no engine has
            capacity.
        rng: Source of random numbers.
    """
    clock = core.ManualClock()
    view = targets.FleetView(clock, 'lima-1')
    view.set_known_vms(VM_COUNT)
    view.apply_deployment(deployment)
    for name, target in deployment.targets.items():
        if not isinstance(target, core.EngineTarget):
            continue
        for number in range(SENDS_PER_TARGET):
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
                kv_used=int(
                    KV_TOKENS_PER_ENGINE * utilization * rng.uniform(0.9, 1.0)
                ),
                kv_total=KV_TOKENS_PER_ENGINE,
                preemptions=0,
                models=target.models,
            ),
        )
    clock.advance(0.5)
    return view


def _time_placement(
    decision: str, target_count: int, utilization: float, samples: int
) -> DecisionRow:
    rng = random.Random(target_count)
    deployment = make_deployment(target_count)
    view = _build_loaded_view(deployment, utilization, rng)
    models = max(1, target_count // TARGETS_PER_MODEL)
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
    durations = []
    for request in requests:
        started = time.perf_counter()
        targets.choose_engine(view, request, lengths, deployment.weights, rng)
        durations.append(time.perf_counter() - started)
    return _summarize(decision, target_count, durations)


def _time_limits(samples: int) -> DecisionRow:
    rng = random.Random(1)
    clock = core.ManualClock()
    limits = callers.WorkspaceLimits(clock)
    limits.apply_deployment(make_deployment(50))
    limits.set_known_vms(VM_COUNT)
    durations = []
    for _ in range(samples):
        workspace = f'workspace-{rng.randrange(WORKSPACE_COUNT)}'
        started = time.perf_counter()
        limits.try_begin(workspace, clock.now())
        durations.append(time.perf_counter() - started)
    return _summarize('limits', 50, durations)


def _summarize(
    decision: str, target_count: int, durations: list[float]
) -> DecisionRow:
    durations.sort()
    return DecisionRow(
        decision,
        target_count,
        WORKSPACE_COUNT,
        durations[len(durations) // 2],
        durations[int(len(durations) * 0.99)],
    )


def _measure_fleet_bytes(count: int) -> int:
    rng = random.Random(1)
    deployment = make_deployment(count)
    tracemalloc.start()
    view = _build_loaded_view(deployment, 0.5, rng)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del view
    return size


def _measure_workspace_bytes(count: int) -> int:
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
    """Print the times of decisions and the memory of objects."""
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
