"""Client process of a policy comparison.

The comparison runs it as `python -m laburnumstep_standins.bench.client`
with a `Job` as JSON. The process sends the requests of the job under each of
its policies and prints the summaries as JSON. The policies are divided among
several processes because reading a stream of single tokens takes about 0.2 ms
a token, too long for one process to measure all policies.
"""

from __future__ import annotations

import json
import random
import time
import typing

import anyio
import attrs
import typer

from laburnumstep import core
from laburnumstep_standins.bench import gateway
from laburnumstep_standins.bench import own_policy
from laburnumstep_standins.bench import policies
from laburnumstep_standins.bench import records
from laburnumstep_standins.bench import workload

OWN = 'own'
"""Name of the policy that uses the project's admission and placement."""
BASELINES = ('round_robin', 'least_load', 'prefix')
"""Names of the policies that it is compared with."""
VM_COUNT = 3
"""Number of simulated VMs for each policy, each with its own view of the
targets."""
WARM_UP_SECONDS = 1.5
"""Time between the warm-up requests and the start of the run, in seconds."""
_HISTORY_SEED_OFFSET = 2_000_000
_HISTORY_REQUESTS_PER_SECOND = 1000.0
"""Rate of the requests, over one second, whose answer lengths the project's
VMs have observed before the start. A VM that starts receives observed lengths
from its siblings; these requests are not sent in the run."""
_REPORT_WAIT_SECONDS = 1.0
"""Wait after the run for the last load reports, which are delayed."""


@attrs.frozen
class Job:
    """Parameters of one client process."""

    seed: int
    """Random seed of the requests and of the policies."""
    load: int
    """Request rate, in percent of the capacity."""
    seconds: float
    """Duration in which requests arrive, in seconds."""
    starts_at: float
    """Start of the run, in epoch seconds."""
    targets: dict[str, dict[str, str]]
    """Addresses of the targets of each policy, by policy and target name."""


async def run_job(job: Job) -> list[records.Summary]:
    """Run all policies of a job concurrently.

    Args:
        job: Policies, targets and load of the run.

    Returns:
        One summary for each policy.
    """
    engines = max(len(addresses) for addresses in job.targets.values())
    capacity = workload.compute_capacity(job.seed, engines)
    rate = capacity * job.load / 100
    requests = workload.generate_warm_up(job.seed, rate)
    requests += workload.generate(job.seed, rate, job.seconds)
    runs = [
        _PolicyRun(name, addresses, job)
        for name, addresses in job.targets.items()
    ]
    with anyio.move_on_at(
        anyio.current_time() + job.starts_at + job.seconds - time.time()
    ):
        async with anyio.create_task_group() as tasks:
            for run in runs:
                tasks.start_soon(run.run, requests)
    for run in runs:
        run.add_unfinished_waits()
    await anyio.sleep(_REPORT_WAIT_SECONDS)
    summaries = []
    for run in runs:
        summaries.append(await run.summarize())
        await run.close()
    return summaries


class _PolicyRun:
    """A run of one policy on several simulated VMs."""

    def __init__(self, name: str, addresses: dict[str, str], job: Job) -> None:
        self._name = name
        self._job = job
        self._rng = random.Random(job.seed)
        self._addresses = addresses
        self._lateness_seconds: list[float] = []
        self._clock = core.SystemClock()
        self._gateways = [
            gateway.Gateway(self._clock, policy, addresses)
            for policy in self._build_policies()
        ]

    async def run(self, requests: list[workload.Request]) -> None:
        """Send the requests when they are due, and poll until cancelled."""
        async with anyio.create_task_group() as tasks:
            for vm in self._gateways:
                for target in self._addresses:
                    tasks.start_soon(vm.poll, target)
            for request in requests:
                due_at = self._job.starts_at + request.arrives_at
                if request.warm_up:
                    due_at -= WARM_UP_SECONDS
                await self._clock.sleep_until(due_at)
                if not request.warm_up:
                    self._lateness_seconds.append(self._clock.now() - due_at)
                vm = self._rng.choice(self._gateways)
                tasks.start_soon(vm.serve, request)

    def add_unfinished_waits(self) -> None:
        """Add the waits of requests that are still unfinished."""
        now = time.monotonic()
        for vm in self._gateways:
            for record in vm.records:
                record.add_unfinished_wait(now)

    async def summarize(self) -> records.Summary:
        """Return the figures of the policy, warm-up requests excluded."""
        preemptions = await self._gateways[0].count_preemptions()
        return records.summarize(
            self._name,
            self._job.load,
            [
                record
                for vm in self._gateways
                for record in vm.records
                if not record.request.warm_up
            ],
            preemptions,
            self._job.seconds,
            records.compute_percentile(self._lateness_seconds, 95),
        )

    async def close(self) -> None:
        """Close the connections of the simulated VMs."""
        for vm in self._gateways:
            await vm.close()

    def _build_policies(self) -> list[policies.Policy]:
        match self._name:
            case 'round_robin':
                return [
                    policies.RoundRobin(self._rng) for _ in range(VM_COUNT)
                ]
            case 'least_load':
                return [policies.LeastLoad(self._rng) for _ in range(VM_COUNT)]
            case 'prefix':
                return [policies.PrefixAffinity() for _ in range(VM_COUNT)]
            case 'own':
                return list(self._build_own_policies())
            case _:
                raise ValueError(f'unknown policy: {self._name}')

    def _build_own_policies(self) -> list[own_policy.OwnPolicy]:
        own = [
            own_policy.OwnPolicy(
                self._clock,
                self._addresses,
                VM_COUNT,
                random.Random(self._job.seed + number),
            )
            for number in range(VM_COUNT)
        ]
        history = workload.generate(
            self._job.seed + _HISTORY_SEED_OFFSET,
            _HISTORY_REQUESTS_PER_SECOND,
            1.0,
        )
        for policy in own:
            policy.connect(own)
            policy.observe_past_lengths(history)
        return own


def main(job: str) -> None:
    """Run a job given as JSON and print its summaries as JSON."""
    core.configure_logging('error', 'text')
    decoded = core.decode_document(json.loads(job), Job, 'job')
    rows: list[typing.Any] = anyio.run(run_job, decoded)
    print(json.dumps([attrs.asdict(row) for row in rows]), flush=True)


if __name__ == '__main__':
    typer.run(main)
