"""Steps for operators' features that run entry VMs as processes."""

from __future__ import annotations

import time
import typing

import anyio
import attrs
import behave

from laburnumstep import transport
from laburnumstep_standins import caller
from laburnumstep_standins import settings
from support import cluster
from support import polling


async def _request(
    context: typing.Any,
    name: str,
    method: str,
    path: str,
    body: dict[str, str] | None = None,
    key: str = settings.OPERATORS_KEY,
) -> transport.JsonResponse:
    vm = context.cluster.vms[name]
    client = transport.JsonClient(vm.addresses['operators'])
    headers = {'Authorization': f'Bearer {key}'}
    deadline = time.time() + cluster.DEADLINE_SECONDS
    try:
        return await client.request(method, path, deadline, body, headers)
    finally:
        await client.close()


def _drain(
    context: typing.Any, name: str, body: dict[str, str], key: str
) -> None:
    context.reply = context.portal.call(
        _request, context, name, 'POST', '/v1/drain', body, key
    )


@behave.when('an operator drains target "{target}" through "{name}"')
def step_drain_target(context: typing.Any, target: str, name: str) -> None:
    _drain(context, name, {'target': target}, settings.OPERATORS_KEY)
    assert context.reply.status == 202, context.reply


@behave.when('an operator drains VM "{name}" after token {count:d}')
def step_drain_vm(context: typing.Any, name: str, count: int) -> None:
    answer = context.answer
    context.portal.call(polling.wait_until, lambda: answer.position >= count)
    _drain(context, name, {'vm': name}, settings.OPERATORS_KEY)
    assert context.reply.status == 202, context.reply


@behave.when(
    'a caller without the key drains target "{target}" through "{name}"'
)
def step_drain_without_key(
    context: typing.Any, target: str, name: str
) -> None:
    _drain(context, name, {'target': target}, 'not-the-operators-key')


@behave.then('the order is refused with status {status:d}')
def step_order_refused(context: typing.Any, status: int) -> None:
    assert context.reply.status == status, context.reply


@behave.then('"{name}" explains that "{target}" was chosen')
def step_explains(context: typing.Any, name: str, target: str) -> None:
    path = f'/v1/decisions/{context.key}'
    reply = context.portal.call(_request, context, name, 'GET', path)
    assert reply.status == 200, reply
    assert f"'target': '{target}'" in str(reply.body), reply.body


# Limits of workspaces.


@behave.given('the concurrency limit is {limit:d}')
def step_limit(context: typing.Any, limit: int) -> None:
    _limit_workspace(context, concurrency=limit)


@behave.given('the workspace may send {rate:d} requests a second')
def step_request_rate(context: typing.Any, rate: int) -> None:
    _limit_workspace(context, requests_per_second=rate)


def _limit_workspace(context: typing.Any, **limits: int) -> None:
    """Publish lower limits and wait until they are in force on all VMs."""
    deployment = context.cluster.deployment
    workspace = deployment.workspaces[cluster.WORKSPACE]
    lowered = attrs.evolve(workspace, **limits)
    changed = attrs.evolve(deployment, workspaces={cluster.WORKSPACE: lowered})
    context.portal.call(context.cluster.publish, changed)
    message = f'configuration in force; version={context.cluster.version}'

    for vm in context.cluster.vms.values():
        context.portal.call(
            polling.wait_until, lambda vm=vm: message in vm.read_log()
        )


@behave.when('"{name}" has {count:d} waiting streams')
def step_waiting_streams(context: typing.Any, name: str, count: int) -> None:
    hosts = context.cluster.engines.values()

    def stall() -> None:
        for host in hosts:
            host.stand_in.set_faults(stall=True)

    context.portal.call(stall)
    client = context.cluster.make_caller(name)
    deadline = time.time() + cluster.DEADLINE_SECONDS

    async def generate(number: int) -> None:
        body = {'model': cluster.MODEL, 'prompt': f'Plan {number}.'}

        async def is_admitted() -> bool:
            answer = caller.Answer()
            await client.generate(body, deadline, answer)
            code = answer.error['code'] if answer.error else ''
            return code != 'limit_exceeded'

        await polling.wait_until(is_admitted)

    context.streams = [
        context.portal.start_task_soon(generate, number)
        for number in range(count)
    ]


@behave.then('all {count:d} start on "{name}"')
def step_all_started(context: typing.Any, count: int, name: str) -> None:
    hosts = context.cluster.engines.values()

    context.portal.call(
        polling.wait_until,
        lambda: sum(host.stand_in.started for host in hosts) >= count,
    )


@behave.then('a further generation through "{name}" is refused with "{code}"')
def step_refused_generation(context: typing.Any, name: str, code: str) -> None:
    client = context.cluster.make_caller(name)
    body = {'model': cluster.MODEL, 'prompt': 'Plan one more.'}
    answer = caller.Answer()
    deadline = time.time() + cluster.DEADLINE_SECONDS
    context.portal.call(client.generate, body, deadline, answer)
    assert answer.error is not None
    assert answer.error['code'] == code, answer.error
    for stream in context.streams:
        stream.cancel()


@behave.when('"{name}" starts again under the same name')
def step_same_name(context: typing.Any, name: str) -> None:
    context.first = context.cluster.vms[name]
    context.portal.call(context.cluster.start_vm, name)


@behave.then('the first "{name}" ends with status {status:d}')
def step_first_ends(context: typing.Any, name: str, status: int) -> None:
    async def wait() -> int:
        with anyio.fail_after(cluster.DEADLINE_SECONDS):
            return await context.first.process.wait()

    assert context.portal.call(wait) == status
