"""Steps for requests that may run in some places only."""

from __future__ import annotations

import typing

import behave

from support import clocks
from support import hooks
from support import places_harness
from support import platform_harness

_STREAM_HEADERS = {
    'Model': 'm',
    'Token_Usage': '100,50',
    'Prompt_Prefix': 'own:100',
}


@behave.given('targets {members}')
def step_targets(context: typing.Any, members: str) -> None:
    placed = dict(item.split('@') for item in members.split(', '))

    async def make() -> places_harness.PlacesHarness:
        return places_harness.PlacesHarness(placed)

    context.harness = context.portal.call(make)
    hooks.enter_context(context, context.harness.run())
    context.sent = 0


@behave.given('the route allows "{route}" and the workspace "{workspace}"')
@behave.given('the route allows "{route}" and the workspace ""')
@behave.given('the route allows "" and the workspace "{workspace}"')
@behave.given('the route allows "" and the workspace ""')
def step_regions(
    context: typing.Any, route: str = '', workspace: str = ''
) -> None:
    document = places_harness.make_configuration(
        1, route.split(), workspace.split()
    )
    append(context, 'config', document)


def append(
    context: typing.Any, key: str, value: platform_harness.Document | None
) -> None:
    context.portal.call(
        context.harness.store.append_record, 'keyed.op', key, value
    )


@behave.given('{name} does not run its requests')
def step_not_run(context: typing.Any, name: str) -> None:
    server = context.harness.servers[name]
    server.status = 503
    server.headers = {'Not-Executed': '1'}


@behave.when('the VM starts')
def step_start(context: typing.Any) -> None:
    clocks.run_bounded(context, context.harness.start_vm)


@behave.when('{count:d} {kind} are sent')
def step_send(context: typing.Any, count: int, kind: str) -> None:
    context.answers = []
    for _ in range(count):
        context.sent += 1
        context.answers.append(
            clocks.run_bounded(context, send, context.harness, kind)
        )


async def send(
    harness: places_harness.PlacesHarness, kind: str
) -> platform_harness.CallerResponse:
    data = platform_harness.encode_request('/safe/1')
    if kind == 'streams':
        data = platform_harness.encode_request('/plan/1', **_STREAM_HEADERS)
    return await platform_harness.send_raw(harness.address, data)


@behave.then('all have status {status:d}')
def step_statuses(context: typing.Any, status: int) -> None:
    statuses = {answer.status for answer in context.answers}
    assert statuses == {status}, context.answers


@behave.then('all have status {status:d} and a time to come back')
def step_refusals(context: typing.Any, status: int) -> None:
    step_statuses(context, status)
    for answer in context.answers:
        assert 'retry-after' in answer.headers, answer


@behave.then('requests reached only "{names}"')
@behave.then('requests reached only ""')
def step_receivers(context: typing.Any, names: str = '') -> None:
    receivers = context.harness.list_receivers()
    assert receivers == set(names.split()), receivers
