"""Compares routing policies on the same requests.

All policies run at the same time, each on engines of its own in the same
processes, so that other work on the machine disturbs them alike. The
policies' VMs are in the process of the load tool and speak to the engines
over sockets.
"""

from __future__ import annotations

import contextlib
import random
import signal
import statistics
import time
import typing

import anyio
import attrs

from laburnumstep import core
from laburnumstep_standins.bench import gateway
from laburnumstep_standins.bench import own_policy
from laburnumstep_standins.bench import policies
from laburnumstep_standins.bench import processes
from laburnumstep_standins.bench import records
from laburnumstep_standins.bench import workload

OWN = 'own'
"""Name of the project's policy."""
NAMES = (OWN, 'round_robin', 'least_load', 'prefix')
"""Names of the policies."""
ENGINE_PROCESSES = 4
"""Each holds one engine of every policy."""
VMS = 3
"""VMs of each policy, each with its own view of the targets."""
_REPORT_SECONDS = 1.0
"""Wait for the last load reports, which lag."""


@attrs.frozen
class Steady:
    """All targets stay up."""


@attrs.frozen
class HalfLost:
    """Half of the engine processes are killed."""

    at: float
    """When, as a part of the run."""


@attrs.frozen
class RegionCut:
    """The last engine process does not answer for a while.

    The process is stopped and continued; like engines behind a link that
    is down, its engines have gone on meanwhile.
    """

    start: float
    """As a part of the run."""
    end: float
    """As a part of the run."""


Disturbance = Steady | HalfLost | RegionCut


@attrs.frozen
class Plan:
    """One run."""

    seed: int
    """Seed of the requests and of the policies."""
    load: int
    """Request rate, in percent of the capacity."""
    seconds: float
    """Duration in which requests arrive."""
    disturbance: Disturbance
    """What happens during the run."""


async def compare(plan: Plan) -> list[records.Summary]:
    """Run all policies and return their figures."""
    capacity = workload.find_capacity(plan.seed, ENGINE_PROCESSES)
    rate = capacity * plan.load / 100
    requests = workload.generate(plan.seed, rate, plan.seconds)
    async with contextlib.AsyncExitStack() as stack:
        children = [
            await stack.enter_async_context(
                processes.run_engines(len(NAMES), workload.ENGINE)
            )
            for _ in range(ENGINE_PROCESSES)
        ]
        runs = [
            _PolicyRun(name, _find_addresses(children, index), plan)
            for index, name in enumerate(NAMES)
        ]
        async with anyio.create_task_group() as tasks:
            for run in runs:
                tasks.start_soon(run.run, requests)
            await _disturb(plan, children)
            await anyio.sleep(plan.seconds - _last_event(plan))
            await anyio.sleep(_REPORT_SECONDS)
            tasks.cancel_scope.cancel()
        for run in runs:
            await run.close()
    return [run.summarize() for run in runs]


def take_medians(rows: list[records.Summary]) -> records.Summary:
    """Return the medians of the runs of one policy at one load."""
    changes = {
        field.name: statistics.median(getattr(row, field.name) for row in rows)
        for field in attrs.fields(records.Summary)
        if field.name not in ('policy', 'load')
    }
    return attrs.evolve(rows[0], **changes)


class _PolicyRun:
    """One policy with its VMs."""

    def __init__(
        self, name: str, addresses: dict[str, str], plan: Plan
    ) -> None:
        self._name = name
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._addresses = addresses
        self._clock = core.SystemClock()
        chosen = self._build_policies()
        self._gateways = [
            gateway.Gateway(self._clock, policy, addresses)
            for policy in chosen
        ]

    async def run(self, requests: list[workload.Request]) -> None:
        """Make the requests at their times until cancelled."""
        started = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for vm in self._gateways:
                for target in self._addresses:
                    tasks.start_soon(vm.poll, target)
            for request in requests:
                wait = started + request.arrives_at - time.monotonic()
                await anyio.sleep(max(0.0, wait))
                vm = self._rng.choice(self._gateways)
                tasks.start_soon(vm.serve, request)

    async def close(self) -> None:
        """Close the connections of the VMs."""
        now = time.monotonic()
        for vm in self._gateways:
            for record in vm.records:
                record.close(now)
            await vm.close()

    def summarize(self) -> records.Summary:
        """Return the figures of the policy."""
        return records.summarize(
            self._name,
            self._plan.load,
            [record for vm in self._gateways for record in vm.records],
            self._gateways[0].count_preemptions(),
            self._plan.seconds,
        )

    def _build_policies(self) -> list[policies.Policy]:
        match self._name:
            case 'round_robin':
                return [policies.RoundRobin(self._rng) for _ in range(VMS)]
            case 'least_load':
                return [policies.LeastLoad(self._rng) for _ in range(VMS)]
            case 'prefix':
                return [policies.PrefixAffinity() for _ in range(VMS)]
            case _:
                return list(self._build_own())

    def _build_own(self) -> list[own_policy.OwnPolicy]:
        own = [
            own_policy.OwnPolicy(
                self._clock,
                self._addresses,
                VMS,
                random.Random(self._plan.seed + number),
            )
            for number in range(VMS)
        ]
        for policy in own:
            policy.connect(own)
        return own


def _find_addresses(
    children: list[processes.Engines], index: int
) -> dict[str, str]:
    return {
        f'engine-{number}': child.addresses[index]
        for number, child in enumerate(children)
    }


def _last_event(plan: Plan) -> float:
    match plan.disturbance:
        case Steady():
            return 0.0
        case HalfLost(at=at):
            return at * plan.seconds
        case RegionCut(end=end):
            return end * plan.seconds
        case _ as other:
            typing.assert_never(other)


async def _disturb(plan: Plan, children: list[processes.Engines]) -> None:
    match plan.disturbance:
        case Steady():
            return
        case HalfLost(at=at):
            await anyio.sleep(at * plan.seconds)
            for child in children[: len(children) // 2]:
                child.process.kill()
        case RegionCut(start=start, end=end):
            await anyio.sleep(start * plan.seconds)
            process = children[-1].process
            process.send_signal(signal.SIGSTOP)
            try:
                await anyio.sleep((end - start) * plan.seconds)
            finally:
                process.send_signal(signal.SIGCONT)
        case _ as other:
            typing.assert_never(other)
