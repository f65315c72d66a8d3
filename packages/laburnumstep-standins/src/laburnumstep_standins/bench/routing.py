"""Compares routing policies on the same requests.

All policies run at the same time, so that other load on the machine affects
them equally. Each has its own engines. The engines of each of the two regions
run in one process; two client processes run the simulated VMs and the callers.
"""

from __future__ import annotations

import contextlib
import signal
import statistics
import time
import typing

import anyio
import attrs

from laburnumstep_standins.bench import client
from laburnumstep_standins.bench import figures
from laburnumstep_standins.bench import processes
from laburnumstep_standins.bench import records
from laburnumstep_standins.bench import workload

REGION_COUNT = 2
"""Number of regions; one process runs the engines of a region."""
ENGINES_PER_REGION = 2
"""Number of engines of each policy in each region."""
_POLICY_GROUPS = ((client.OWN, 'prefix'), ('round_robin', 'least_load'))
"""Policies by client process."""
_STARTUP_SECONDS = 3.3
"""Time to start the client processes and warm up the engines, in seconds."""


@attrs.frozen
class Steady:
    """No target fails."""


@attrs.frozen
class HalfLost:
    """The engine process of the first region is killed."""

    at: float
    """Time of the failure, as a fraction of the run."""


@attrs.frozen
class RegionCut:
    """The engines of the last region are unreachable for some time.

    Their process is paused with SIGSTOP and resumed with SIGCONT. After that
    the engines have progressed as if they had run, like engines behind a
    failed network link.
    """

    start: float
    """Start of the outage, as a fraction of the run."""
    end: float
    """End of the outage, as a fraction of the run."""


Disturbance = Steady | HalfLost | RegionCut


@attrs.frozen
class RunPlan:
    """Parameters of one run of all policies."""

    seed: int
    """Random seed of the requests and of the policies."""
    load: int
    """Request rate, in percent of the capacity."""
    seconds: float
    """Duration in which requests arrive, in seconds."""
    disturbance: Disturbance
    """Failure that is caused during the run."""


async def compare(plan: RunPlan) -> list[records.Summary]:
    """Run all policies at the same time.

    Args:
        plan: Load, duration and disturbance of the run.

    Returns:
        One summary for each policy, in the order of the client processes.
    """
    names = [name for group in _POLICY_GROUPS for name in group]
    count = len(names) * ENGINES_PER_REGION
    async with contextlib.AsyncExitStack() as stack:
        regions = [
            await stack.enter_async_context(
                processes.run_engines(count, workload.ENGINE)
            )
            for _ in range(REGION_COUNT)
        ]
        starts_at = time.time() + _STARTUP_SECONDS
        rows: list[records.Summary] = []
        async with anyio.create_task_group() as tasks:
            for group in _POLICY_GROUPS:
                addresses = {
                    name: _collect_addresses(regions, names.index(name))
                    for name in group
                }
                job = client.Job(
                    plan.seed, plan.load, plan.seconds, starts_at, addresses
                )
                tasks.start_soon(_run_client, job, rows)
            await anyio.sleep(starts_at - time.time())
            await _apply_disturbance(plan, regions)
    return sorted(rows, key=lambda row: names.index(row.policy))


def compute_medians(rows: list[records.Summary]) -> records.Summary:
    """Return the medians of the figures of one policy.

    Args:
        rows: Summaries of runs at the same load with different seeds.
    """
    changes = {
        field.name: statistics.median(getattr(row, field.name) for row in rows)
        for field in attrs.fields(records.Summary)
        if field.name not in ('policy', 'load')
    }
    return attrs.evolve(rows[0], **changes)


async def compare_over_seeds(
    load: int, seconds: float, seeds: list[int], disturbance: Disturbance
) -> list[records.Summary]:
    """Compare the policies for several seeds and print a table of medians.

    Args:
        load: Request rate, in percent of the capacity.
        seconds: Duration of each run.
        seeds: Random seeds, one for each run.
        disturbance: Failure that is caused during each run.

    Returns:
        Medians over the seeds, one summary for each policy.
    """
    runs = [
        await compare(RunPlan(seed, load, seconds, disturbance))
        for seed in seeds
    ]
    medians = [compute_medians(list(rows)) for rows in zip(*runs, strict=True)]
    figures.print_table(
        f'Policies, {load}% load, {disturbance}, {seconds:g} s, seeds {seeds}',
        medians,
    )
    return medians


def get_own_summary(rows: list[records.Summary]) -> records.Summary:
    """Return the summary of the project's policy."""
    return next(row for row in rows if row.policy == client.OWN)


def get_baseline_summaries(
    rows: list[records.Summary],
) -> list[records.Summary]:
    """Return the summaries of the baseline policies."""
    return [row for row in rows if row.policy != client.OWN]


async def _run_client(job: client.Job, rows: list[records.Summary]) -> None:
    module = 'laburnumstep_standins.bench.client'
    text = processes.encode_json(job)
    timeout_seconds = job.seconds + 60.0
    async with processes.run_module(
        module, text, timeout_seconds=timeout_seconds
    ) as (_, first):
        rows += [records.Summary(**row) for row in first]


def _collect_addresses(
    regions: list[processes.EngineGroup], index: int
) -> dict[str, str]:
    start = index * ENGINES_PER_REGION
    return {
        f'engine-{number}-{offset}': region.addresses[start + offset]
        for number, region in enumerate(regions)
        for offset in range(ENGINES_PER_REGION)
    }


async def _apply_disturbance(
    plan: RunPlan, regions: list[processes.EngineGroup]
) -> None:
    match plan.disturbance:
        case Steady():
            return
        case HalfLost(at=at):
            await anyio.sleep(at * plan.seconds)
            regions[0].process.kill()
        case RegionCut(start=start, end=end):
            await anyio.sleep(start * plan.seconds)
            process = regions[-1].process
            process.send_signal(signal.SIGSTOP)
            try:
                await anyio.sleep((end - start) * plan.seconds)
            finally:
                process.send_signal(signal.SIGCONT)
        case _ as other:
            typing.assert_never(other)
