"""Steps for the recovery of the configuration."""

from __future__ import annotations

import json
import typing

import anyio
import anyio.to_thread
import behave

from laburnumstep import core
from laburnumstep import log
from support import clocks
from support import deployments

LIMIT_SECONDS = 20.0
RETENTION_SECONDS = 3600.0


def encode_current(context: typing.Any, name: str) -> typing.Any:
    return log.encode_snapshot(context.followers[name].current)


@behave.given('"{name}" appends a snapshot of its configuration')
@behave.when('"{name}" appends a snapshot of its configuration')
@behave.then('"{name}" appends a snapshot of its configuration')
def step_snapshot(context: typing.Any, name: str) -> None:
    deployments.append_record(context, encode_current(context, name))


@behave.given('a snapshot of "{name}" is delayed')
def step_delayed(context: typing.Any, name: str) -> None:
    context.delayed_snapshot = encode_current(context, name)


@behave.given('a snapshot of "{name}" with {kind} digest is delayed')
def step_delayed_with_digest(
    context: typing.Any, name: str, kind: str
) -> None:
    context.delayed_snapshot = encode_current(context, name)
    if kind == 'a wrong':
        context.delayed_snapshot['digest'] = 'wrong'


@behave.given('the delayed snapshot is appended')
def step_append_delayed(context: typing.Any) -> None:
    deployments.append_record(context, context.delayed_snapshot)


@behave.given('the log drops the first {count:d} records')
def step_drop(context: typing.Any, count: int) -> None:
    stream = deployments.get_stream(context)
    last = stream.read(stream.first, count)[-1]
    drop_at = (
        last.appended_at
        + RETENTION_SECONDS
        + deployments.APPEND_INTERVAL_SECONDS / 2
    )
    context.portal.call(context.clock.advance, drop_at - context.clock.now())
    assert stream.first == last.offset + 1


@behave.given('"{name}" reads the log to its end')
@behave.then('"{name}" reads the log to its end')
def step_read_to_end(context: typing.Any, name: str) -> None:
    follower = context.followers[name]
    end = deployments.get_stream(context).end
    clocks.run_bounded(
        context,
        follower.wait_for_view,
        lambda view: view.position >= end,
    )


@behave.then('no configuration is in force at "{name}"')
def step_none(context: typing.Any, name: str) -> None:
    assert context.followers[name].current is None


@behave.when(
    'an operator with the configuration of "{name}" publishes {count:d}'
    ' workspaces from {old:d}'
)
def step_publish_at(
    context: typing.Any, name: str, count: int, old: int
) -> None:
    known = context.followers[name].current.deployment
    new = deployments.make_deployment(workspaces=count)
    publication = log.Publication(
        new.name, old + 1, old, 'nonce', log.diff_deployments(known, new)
    )
    deployments.append_record(context, log.encode_publication(publication))


@behave.given('the log has an outage and a read of "{name}" has failed')
def step_outage_and_failed_read(context: typing.Any, name: str) -> None:
    sleeps = context.clock.sleeps
    context.log.set_faults(outage=True)
    # A record ends the read that is in progress.
    deployments.append_record(context, 'outage')
    clocks.run_bounded(context, context.clock.wait_for_sleeps, sleeps + 1)


@behave.when('the outage ends')
def step_outage_ends(context: typing.Any) -> None:
    context.log.set_faults(outage=False)


@behave.given('the clock advances by {seconds:d} seconds')
@behave.when('the clock advances by {seconds:d} seconds')
def step_pass(context: typing.Any, seconds: int) -> None:
    context.portal.call(context.clock.advance, float(seconds))


@behave.given('the next {count:d} replies to appends are lost')
def step_lost(context: typing.Any, count: int) -> None:
    context.log.set_faults(lost_replies=count)


async def publish_in_steps(
    context: typing.Any, made_from: int, counts: list[int]
) -> list[log.PublishResult]:
    """Publish concurrently, advancing the clock when a publisher waits."""
    clock = context.clock
    results: list[log.PublishResult] = []
    done = anyio.Event()

    async def publish(count: int) -> None:
        client = log.LogClient(context.server.address, clock)
        publisher = log.ConfigurationPublisher(client, clock)
        deployment = deployments.make_deployment(workspaces=count)
        deadline = clock.now() + LIMIT_SECONDS
        results.append(
            await publisher.publish(deployment, made_from, deadline)
        )
        if len(results) == len(counts):
            done.set()

    async def pass_time(tasks: typing.Any) -> None:
        sleeps = clock.sleeps
        while True:
            await clock.wait_for_sleeps(sleeps + 1)
            sleeps = clock.sleeps
            clock.advance(0.5)

    async with anyio.create_task_group() as tasks:
        for count in counts:
            tasks.start_soon(publish, count)
        tasks.start_soon(pass_time, tasks)
        await done.wait()
        tasks.cancel_scope.cancel()
    return results


@behave.when('an operator publishes while time advances in steps')
def step_publish_in_steps(context: typing.Any) -> None:
    context.results = clocks.run_bounded(
        context, publish_in_steps, context, 0, [1]
    )


@behave.then('the publication is in force as version {version:d}')
def step_published(context: typing.Any, version: int) -> None:
    assert context.results == [log.Published(version)], context.results


@behave.then('the log holds {count:d} records')
def step_records(context: typing.Any, count: int) -> None:
    assert deployments.get_stream(context).end == count


@behave.given('reads of the log lag behind')
def step_lag(context: typing.Any) -> None:
    context.sleeps = context.clock.sleeps
    context.log.set_faults(hold_reads=True)


async def publish_concurrently(
    context: typing.Any, made_from: int
) -> typing.Any:
    """Publish twice, with reads delayed until both publishers wait."""
    stream = deployments.get_stream(context)
    sleeps = context.clock.sleeps

    async def release() -> None:
        await stream.wait_beyond(stream.end + 1, LIMIT_SECONDS)
        await context.clock.wait_for_sleeps(sleeps + 2)
        context.log.set_faults(hold_reads=False)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(release)
        return await publish_in_steps(context, made_from, [2, 3])


@behave.when('two operators publish from {made_from:d} at once')
def step_publish_concurrently(context: typing.Any, made_from: int) -> None:
    context.results = clocks.run_bounded(
        context, publish_concurrently, context, made_from
    )


@behave.then('one publication is in force with version {version:d}')
def step_one_in_force(context: typing.Any, version: int) -> None:
    assert context.results.count(log.Published(version)) == 1


@behave.then('the other operator receives a conflict with version {version:d}')
def step_other_conflicts(context: typing.Any, version: int) -> None:
    expected = log.Conflict(version - 1, version)
    assert context.results.count(expected) == 1, context.results
    assert deployments.get_stream(context).end == 3


@behave.given('the log loses the records from {end:d} on')
def step_truncate(context: typing.Any, end: int) -> None:
    context.last_in_force = context.followers['vm-1'].current
    context.portal.call(deployments.get_stream(context).truncate, end)
    for follower in context.followers.values():
        clocks.run_bounded(
            context,
            follower.wait_for_view,
            lambda view: view.position == end and view.is_current,
        )


@behave.when('"{name}" reads the lagging log again')
def step_read_again(context: typing.Any, name: str) -> None:
    # Each VM waits before the next read when a read returned nothing.
    sleeps = context.sleeps + len(context.followers)
    clocks.run_bounded(context, context.clock.wait_for_sleeps, sleeps)
    clocks.run_bounded(context, context.clock.advance_and_settle, 1.0)


@behave.then('version {version:d} is in force at "{name}" through {through:d}')
def step_through(
    context: typing.Any, version: int, name: str, through: int
) -> None:
    current = context.followers[name].current
    assert (current.version, current.through) == (version, through), current


@behave.when(
    'an operator starts a new history at version {version:d}'
    ' with {count:d} workspaces'
)
def step_start_history(context: typing.Any, version: int, count: int) -> None:
    client = log.LogClient(context.server.address, context.clock)
    publisher = log.ConfigurationPublisher(client, context.clock)
    context.results = [
        context.portal.call(
            publisher.start_new_history,
            deployments.make_deployment(workspaces=count),
            version - 1,
            context.clock.now() + LIMIT_SECONDS,
        )
    ]


@behave.then('the operator receives a conflict with version {version:d}')
def step_receives(context: typing.Any, version: int) -> None:
    assert context.results[0].in_force == version, context.results


@behave.given('the next {count:d} reads are never answered')
def step_unanswered_reads(context: typing.Any, count: int) -> None:
    clocks.run_bounded(
        context,
        context.followers['vm-1'].wait_for_version,
        1,
    )
    context.log.set_faults(stalled_reads=count)


@behave.given('the log has an outage after the next append')
def step_outage_after(context: typing.Any) -> None:
    stream = deployments.get_stream(context)
    sleeps = context.clock.sleeps

    async def fail_for_a_while() -> None:
        await stream.wait_beyond(stream.end, LIMIT_SECONDS)
        context.log.set_faults(outage=True)
        # The VM and the publisher each wait after a failed request.
        await context.clock.wait_for_sleeps(sleeps + 3)
        context.log.set_faults(outage=False)

    context.portal.start_task_soon(fail_for_a_while)


@behave.then('another configuration is in force at "{name}"')
def step_changed(context: typing.Any, name: str) -> None:
    follower = context.followers[name]
    clocks.run_bounded(
        context, follower.wait_for_change, context.last_in_force
    )


@behave.given('"{name}" adopts version 3 through 2 while it reads version 2')
def step_adopt_during_read(context: typing.Any, name: str) -> None:
    follower = context.followers[name]
    old = follower.current
    new = deployments.make_deployment(workspaces=800)
    changes = log.diff_deployments(old.deployment, new)
    publication = log.Publication(new.name, 2, 1, 'nonce', changes)
    state = core.VersionedDeployment(3, core.digest_deployment(new), 2, new)
    read_in_thread = anyio.to_thread.run_sync
    adopted = anyio.Event()

    async def adopt_meanwhile(*call: typing.Any) -> typing.Any:
        anyio.to_thread.run_sync = read_in_thread
        items = await read_in_thread(*call)
        assert follower.adopt(state)
        adopted.set()
        return items

    anyio.to_thread.run_sync = adopt_meanwhile
    context.stack.callback(
        setattr, anyio.to_thread, 'run_sync', read_in_thread
    )
    deployments.append_record(context, log.encode_publication(publication))
    clocks.run_bounded(context, adopted.wait)
    assert follower.current.version == 3


@behave.when(
    'the log comes back with {count:d} records and the record {record} is'
    ' appended at once'
)
def step_restored(context: typing.Any, count: int, record: str) -> None:
    context.last_in_force = context.followers['vm-1'].current

    def restore() -> None:
        context.log.restore({log.CONFIGURATION_STREAM: count})
        deployments.get_stream(context).append([json.loads(record)])

    context.portal.call(restore)
