"""Steps for snapshots in the log."""

from __future__ import annotations

import contextlib
import json
import random
import typing

import anyio
import attrs
import behave

from laburnumstep import core
from laburnumstep import log
from support import clocks
from support import deployments
from support import hooks

RETENTION_SECONDS = 3600.0
NOW = 1_000_000.0
DAY_SECONDS = 86400
MAX_SECONDS = 600.0
STEP_SECONDS = 0.1


@behave.given('the newest snapshot covers the log since {age} seconds')
def step_age(context: typing.Any, age: str) -> None:
    context.covered_since = None if age == 'none' else NOW - float(age)


def make_state(version: str) -> core.VersionedDeployment | None:
    if version == 'none':
        return None
    deployment = core.Deployment('cuadrilla')
    return core.VersionedDeployment(int(version), 'd', 7, deployment)


@behave.given(
    'this VM {step} with version {held} in force and version {replayed}'
    ' in the log'
)
def step_view(
    context: typing.Any, step: str, held: str, replayed: str
) -> None:
    context.view = log.FollowerView(
        make_state(replayed),
        make_state(held),
        8,
        step == 'is in step',
        context.covered_since,
    )


@behave.then(
    'with a retention of {seconds:d} seconds the decision is "{expected}"'
)
def step_decision(context: typing.Any, seconds: int, expected: str) -> None:
    match log.decide_snapshot(context.view, NOW, float(seconds)):
        case log.AppendSnapshot(state=state):
            assert expected == f'snapshot through {state.through}', state
        case log.NoSnapshot():
            assert expected == 'none'


@contextlib.asynccontextmanager
async def run_republishers(
    republishers: list[log.SnapshotRepublisher],
) -> typing.AsyncIterator[None]:
    async with anyio.create_task_group() as tasks:
        for republisher in republishers:
            tasks.start_soon(republisher.run)
        yield
        tasks.cancel_scope.cancel()


def start_republishers(
    context: typing.Any, names: list[str], listed: list[str], seed: int = 0
) -> None:
    republishers = [
        log.SnapshotRepublisher(
            log.LogClient(context.server.address, context.clock),
            context.clock,
            context.followers[name],
            name,
            lambda: listed,
            RETENTION_SECONDS,
            random_source=random.Random(seed + number),
        )
        for number, name in enumerate(names)
    ]
    context.republishing += names
    sleeps = context.clock.sleeps
    hooks.enter_context(context, run_republishers(republishers))
    clocks.run_bounded(
        context,
        context.clock.wait_for_sleeps,
        sleeps + len(names),
    )


@behave.given('"{names}" republish snapshots')
@behave.given('"{names}" republishes snapshots')
def step_republish(context: typing.Any, names: str) -> None:
    live = names.split(', ')
    start_republishers(context, live, live)


@behave.given(
    '"{name}" republishes snapshots while "{dead}" are listed but dead'
)
def step_listed_dead(context: typing.Any, name: str, dead: str) -> None:
    start_republishers(context, [name], [name, *dead.split(', ')])


@behave.given('"{name}" republishes snapshots while another VM is chosen')
def step_not_chosen(context: typing.Any, name: str) -> None:
    # The choice depends on the time, and the clock starts at the same time
    # in every run.
    others = [f'sibling-{number}' for number in range(50)]
    start_republishers(context, [name], [name, *others])


@behave.given('"{names}" each choose themselves for snapshots')
def step_each_chosen(context: typing.Any, names: str) -> None:
    for number, name in enumerate(names.split(', ')):
        start_republishers(context, [name], [name], number)


async def pass_time(
    context: typing.Any, seconds: float, until_append: bool
) -> None:
    """Advance the clock in steps, each of which all VMs complete."""
    stream = deployments.get_stream(context)
    start = stream.end
    end = context.clock.now() + seconds
    while context.clock.now() < end:
        await context.clock.advance_and_settle(STEP_SECONDS)
        for name in context.republishing:
            await context.followers[name].wait_for_view(
                lambda view: view.position >= stream.end
            )
        if until_append and stream.end > start:
            return
    assert not until_append, 'no snapshot was appended'


@behave.when('the due snapshot is appended')
def step_append_due_snapshot(context: typing.Any) -> None:
    clocks.run_bounded(context, pass_time, context, MAX_SECONDS, True)


@behave.when('{seconds:d} seconds pass in steps')
@behave.then('{seconds:d} seconds pass in steps')
def step_pass(context: typing.Any, seconds: int) -> None:
    clocks.run_bounded(context, pass_time, context, float(seconds), False)


def find_snapshots(context: typing.Any) -> list[typing.Any]:
    stream = deployments.get_stream(context)
    return [
        record.data
        for record in stream.read(0, 1000)
        if isinstance(record.data, dict) and record.data['type'] == 'snapshot'
    ]


@behave.then('the log holds {count:d} snapshots')
def step_any(context: typing.Any, count: int) -> None:
    assert len(find_snapshots(context)) == count


@behave.then('the log holds {count:d} snapshots of version {version:d}')
def step_count(context: typing.Any, count: int, version: int) -> None:
    snapshots = find_snapshots(context)
    assert len(snapshots) == count, len(snapshots)
    assert all(item['version'] == version for item in snapshots)


@behave.given('a deployment with {count:d} workspaces')
def step_large(context: typing.Any, count: int) -> None:
    context.deployment = deployments.make_deployment(workspaces=count)


@behave.when('one target is drained and one workspace is changed')
def step_change(context: typing.Any) -> None:
    old = context.deployment
    target = attrs.evolve(old.targets['gang-1'], leaving=True)
    workspace = attrs.evolve(old.workspaces['workspace-77'], concurrency=21)
    changed = [
        attrs.evolve(old, targets={**old.targets, 'gang-1': target}),
        attrs.evolve(
            old, workspaces={**old.workspaces, 'workspace-77': workspace}
        ),
    ]
    context.sizes = [
        len(
            json.dumps(
                log.encode_publication(
                    log.Publication(
                        old.name,
                        4801,
                        4800,
                        '0123456789abcdef',
                        log.diff_deployments(old, new),
                    )
                )
            )
        )
        for new in changed
    ]


@behave.then('each publication is smaller than {limit:d} bytes')
def step_size(context: typing.Any, limit: int) -> None:
    assert max(context.sizes) < limit, context.sizes


@behave.then(
    '{count:d} publications a day are less than {limit:d} bytes a second'
)
def step_rate(context: typing.Any, count: int, limit: int) -> None:
    rate = count * max(context.sizes) / DAY_SECONDS
    assert rate < limit, rate
