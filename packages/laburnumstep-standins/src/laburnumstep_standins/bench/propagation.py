"""Measures how fast configurations and leaving targets reach all VMs."""

from __future__ import annotations

import contextlib
import json
import time
import typing

import anyio
import attrs

from laburnumstep import core
from laburnumstep_standins.bench import figures
from laburnumstep_standins.bench import fleet
from laburnumstep_standins.bench import workload

if typing.TYPE_CHECKING:
    import collections.abc

OBSERVATION_SECONDS = 3.3
"""How long starts on leaving engines are observed, in seconds. They must end
within 3 s."""
REQUESTS_PER_SECOND = 60.0
"""Rate of short generations, which keeps all engines in use."""
_PAUSE_SECONDS = 0.2
_SPREAD_TIMEOUT_SECONDS = 10.0
_IN_FORCE_MESSAGE = 'configuration in force; version='


@attrs.frozen
class SpreadRow:
    """Time from a publication until the VMs have the version in force."""

    publications: int
    """Number of published configurations."""
    vms: int
    """Number of VMs."""
    p50: float
    """Median over VMs and publications, in seconds."""
    p100: float
    """Maximum, in seconds."""


@attrs.frozen
class LeavingRow:
    """Generations started on an engine around its announced leaving."""

    source: str
    """Source of the announcement."""
    before: int
    """Starts before the announcement."""
    after: int
    """Starts after the announcement."""
    last: float
    """Time from the announcement to the last start, in seconds."""


async def measure(
    vms: fleet.Fleet, publications: int
) -> tuple[SpreadRow, list[LeavingRow]]:
    """Run both measurements on one fleet and print tables.

    Afterwards the first three engines are leaving and get no new work.

    Args:
        vms: Fleet to measure.
        publications: Number of configurations to publish.
    """
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_send_generations, vms)
        spread = await _measure_spread(vms, publications)
        leaving = await _measure_leaving(vms)
        tasks.cancel_scope.cancel()
    figures.print_table('Configuration spread, seconds', [spread])
    figures.print_table('Starts on leaving engines, seconds', leaving)
    return spread, leaving


async def _measure_spread(vms: fleet.Fleet, publications: int) -> SpreadRow:
    published: dict[int, float] = {}
    for number in range(publications):
        workspaces = dict(vms.deployment.workspaces)
        workspaces['other'] = core.Workspace('other', '', 1.0 + number, 1, 1.0)
        published_at = time.time()
        changed = attrs.evolve(vms.deployment, workspaces=workspaces)
        await vms.publish(changed)
        published[vms.version] = published_at
        await anyio.sleep(_PAUSE_SECONDS)
    with anyio.move_on_after(_SPREAD_TIMEOUT_SECONDS):
        while any(vms.version not in _read_versions(vm) for vm in vms.vms):
            await anyio.sleep(_PAUSE_SECONDS)
    delays = []
    for vm in vms.vms:
        in_force = _read_versions(vm)
        for version, published_at in published.items():
            # A VM that lags behind may skip a version; the next one that it
            # has in force includes the skipped one.
            reached = [t for v, t in in_force.items() if v >= version]
            delays.append(min(reached, default=float('inf')) - published_at)
    delays.sort()
    return SpreadRow(
        publications, len(vms.vms), delays[len(delays) // 2], delays[-1]
    )


async def _measure_leaving(vms: fleet.Fleet) -> list[LeavingRow]:
    announcements = {
        'configuration': ('engine-0', await _publish_leaving(vms, 'engine-0')),
        'reclaim': ('engine-1', await _announce_reclaim(vms, 'engine-1')),
        'vmlist': ('engine-2', await _list_as_leaving(vms, 'engine-2')),
    }
    await anyio.sleep(OBSERVATION_SECONDS)
    rows = []
    for source, (name, announced_at) in announcements.items():
        starts = [start['at'] for start in await vms.fetch(name, '/starts')]
        after = [
            start - announced_at for start in starts if start > announced_at
        ]
        before = len(starts) - len(after)
        last = max(after, default=0.0)
        rows.append(LeavingRow(source, before, len(after), last))
    return rows


async def _publish_leaving(vms: fleet.Fleet, name: str) -> float:
    announced_at = time.time()
    target = vms.deployment.targets[name]
    targets = {**vms.deployment.targets}
    targets[name] = attrs.evolve(target, leaving=True)
    await vms.publish(attrs.evolve(vms.deployment, targets=targets))
    return announced_at


async def _announce_reclaim(vms: fleet.Fleet, name: str) -> float:
    announced_at = time.time()
    await vms.control(name, reclaim_at=announced_at + 60.0)
    return announced_at


async def _list_as_leaving(vms: fleet.Fleet, name: str) -> float:
    announced_at = time.time()
    target = vms.deployment.targets[name]
    entry = {
        'name': name,
        'kind': 'target',
        'address': target.address,
        'data_centre': target.data_centre,
        'state': 'leaving',
    }
    await vms.control('vmlist', vms=[entry])
    return announced_at


async def _send_generations(vms: fleet.Fleet) -> None:
    callers = vms.open_caller()
    async with _closing(callers.close), anyio.create_task_group() as tasks:
        number = 0
        while True:
            body = {
                'model': workload.MODEL,
                'prompt': f'Question {number}',
                'max_tokens': 8,
            }
            tasks.start_soon(callers.generate, body, time.time() + 5.0)
            number += 1
            await anyio.sleep(1 / REQUESTS_PER_SECOND)


@contextlib.asynccontextmanager
async def _closing(
    close: typing.Callable[[], typing.Awaitable[None]],
) -> collections.abc.AsyncIterator[None]:
    """Call `close` when the context ends, also after a cancellation."""
    try:
        yield
    finally:
        with anyio.CancelScope(shield=True):
            await close()


def _read_versions(vm: typing.Any) -> dict[int, float]:
    """Return the times at which versions came into force, from a VM's log."""
    in_force = {}
    for line in vm.read_log().splitlines():
        _, separator, rest = line.partition(_IN_FORCE_MESSAGE)
        if separator:
            in_force[int(rest.split(' ')[0])] = json.loads(line)['time']
    return in_force
