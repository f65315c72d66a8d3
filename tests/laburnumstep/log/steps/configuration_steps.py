"""Steps for the configuration features."""

from __future__ import annotations

import contextlib
import json
import typing

import anyio
import attrs
import behave

from laburnumstep import core
from laburnumstep import log
from laburnumstep import transport
from laburnumstep_standins import log as log_standin
from support import clocks
from support import deployments
from support import hooks

LIMIT_SECONDS = 20.0
RETENTION_SECONDS = 3600.0


@contextlib.asynccontextmanager
async def run_follower(
    follower: log.ConfigurationFollower,
) -> typing.AsyncIterator[None]:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        yield
        tasks.cancel_scope.cancel()


def make_client(context: typing.Any) -> log.LogClient:
    return log.LogClient(context.server.address, context.clock)


def make_state(
    version: int, count: int, through: int
) -> core.VersionedDeployment:
    deployment = deployments.make_deployment(workspaces=count)
    digest = core.digest_deployment(deployment)
    return core.VersionedDeployment(version, digest, through, deployment)


@behave.given('a log')
def step_log(context: typing.Any) -> None:
    context.clock = clocks.ObservedClock()
    context.log = log_standin.LogStandIn(
        context.clock, retention_seconds=RETENTION_SECONDS
    )
    context.server = hooks.enter_context(
        context, transport.serve_app(context.log.app)
    )
    context.followers = {}
    context.republishing = []


@behave.given('a VM "{name}"')
@behave.when('a VM "{name}" starts')
def step_vm(context: typing.Any, name: str) -> None:
    start_vm(context, name, context.clock)


@behave.when('a VM "{name}" starts with the system clock')
def step_vm_real(context: typing.Any, name: str) -> None:
    start_vm(context, name, core.SystemClock())


def start_vm(context: typing.Any, name: str, clock: core.Clock) -> None:
    follower = log.ConfigurationFollower(make_client(context), clock)
    context.followers[name] = follower
    hooks.enter_context(context, run_follower(follower))


@behave.given(
    'a VM "{name}" that adopted version {version:d} with {count:d}'
    ' workspaces through {through:d}'
)
def step_vm_given(
    context: typing.Any, name: str, version: int, count: int, through: int
) -> None:
    follower = log.ConfigurationFollower(make_client(context), context.clock)
    context.followers[name] = follower
    state = make_state(version, count, through)
    assert context.portal.call(follower.adopt, state)
    hooks.enter_context(context, run_follower(follower))


@behave.when(
    '"{name}" adopts version {version:d} with {count:d} workspaces'
    ' through {through:d}'
)
def step_adopt_state(
    context: typing.Any, name: str, version: int, count: int, through: int
) -> None:
    state = make_state(version, count, through)
    assert context.portal.call(context.followers[name].adopt, state)


@behave.given(
    'an operator publishes a deployment with {count:d} workspaces from {old:d}'
)
@behave.when(
    'an operator publishes a deployment with {count:d} workspaces from {old:d}'
)
@behave.then(
    'an operator publishes a deployment with {count:d} workspaces from {old:d}'
)
def step_publish(context: typing.Any, count: int, old: int) -> None:
    context.portal.call(
        context.clock.advance, deployments.APPEND_INTERVAL_SECONDS
    )
    publisher = log.ConfigurationPublisher(make_client(context), context.clock)
    context.result = context.portal.call(
        publisher.publish,
        deployments.make_deployment(workspaces=count),
        old,
        context.clock.now() + LIMIT_SECONDS,
    )


@behave.given('the record {record} is appended')
def step_append(context: typing.Any, record: str) -> None:
    deployments.append_record(context, json.loads(record))


@behave.given('the log has an outage')
def step_outage(context: typing.Any) -> None:
    context.log.set_faults(outage=True)


@behave.given('version {version:d} is in force at "{name}"')
@behave.then('version {version:d} is in force at "{name}"')
def step_in_force(context: typing.Any, version: int, name: str) -> None:
    follower = context.followers[name]
    clocks.run_bounded(context, follower.wait_for_version, version)
    assert follower.current.version == version, follower.current.version
    expected = core.digest_deployment(follower.current.deployment)
    assert follower.current.digest == expected


@behave.then('"{name}" has {count:d} workspaces')
def step_workspaces(context: typing.Any, name: str, count: int) -> None:
    known = context.followers[name].current.deployment.workspaces
    assert len(known) == count, known


@behave.when('"{name}" adopts the configuration of "{other}"')
def step_adopt(context: typing.Any, name: str, other: str) -> None:
    state = context.followers[other].current
    adopted = context.portal.call(context.followers[name].adopt, state)
    assert adopted


@behave.when(
    '"{name}" is offered version {version:d} through {through:d}'
    ' with {kind} digest'
)
def step_offer(
    context: typing.Any, name: str, version: int, through: int, kind: str
) -> None:
    state = make_state(version, 9, through)
    if kind == 'a wrong':
        state = attrs.evolve(state, digest='wrong')
    follower = context.followers[name]
    context.adopted = context.portal.call(follower.adopt, state)


@behave.then('the offer is refused')
def step_refused(context: typing.Any) -> None:
    assert not context.adopted
