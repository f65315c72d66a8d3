"""Steps for requests that may run in some places only."""

from __future__ import annotations

import logging
import threading
import typing

import anyio.lowlevel
import behave

from support import clocks
from support import hooks
from support import places_harness
from support import platform_engine
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


@behave.given('{count:d} more engines are registered in {data_centre}')
def step_registered(context: typing.Any, count: int, data_centre: str) -> None:
    for number in range(count):
        entry = platform_harness.make_entry(
            '127.0.0.1:1',
            zone=data_centre,
            service='llm',
            models=[{'name': 'm'}],
        )
        context.portal.call(
            context.harness.store.append_record,
            'keyed.servers',
            f'x{number}',
            entry,
        )


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


@behave.given('the evacuation of {data_centres} is written')
@behave.when('the evacuation of {data_centres} is written')
def step_evacuate(context: typing.Any, data_centres: str) -> None:
    for data_centre in data_centres.split(', '):
        append(context, f'evacuate/{data_centre}', {})


@behave.when('the record "{key}" is written with {value}')
def step_record(context: typing.Any, key: str, value: str) -> None:
    context.portal.call(
        context.harness.store.append_bytes,
        'keyed.op',
        key,
        platform_harness.make_odd_bytes(value),
    )


@behave.when('the evacuation of {data_centre} is taken back')
def step_withdraw(context: typing.Any, data_centre: str) -> None:
    append(context, f'evacuate/{data_centre}', None)


@behave.then('{count:d} evacuations are in force')
def step_in_force(context: typing.Any, count: int) -> None:
    wait_for_metric(context, f'laburnumstep_places_evacuated {count}.0')


def wait_for_metric(context: typing.Any, line: str) -> None:
    async def wait() -> None:
        while line not in (await read_metrics(context.harness)).splitlines():
            await anyio.lowlevel.checkpoint()

    clocks.run_bounded(context, wait)


async def read_metrics(harness: places_harness.PlacesHarness) -> str:
    data = b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n'
    page = await platform_harness.send_raw(harness.metrics_address, data)
    return page.body.decode()


@behave.when('the store is away and the VM has noticed it')
def step_store_away(context: typing.Any) -> None:
    def is_unavailable(record: logging.LogRecord) -> bool:
        if 'topic=configuration' in record.getMessage():
            noticed.set()
        return True

    noticed = threading.Event()
    logger = logging.getLogger('laburnumstep.log')
    logger.addFilter(is_unavailable)
    context.stack.callback(logger.removeFilter, is_unavailable)
    context.harness.store_away = True
    assert noticed.wait(clocks.WAIT_SECONDS)


@behave.when('the store comes back with its first {kept:d} records')
def step_restore(context: typing.Any, kept: int) -> None:
    context.portal.call(context.harness.store.restore, 'keyed.op', kept)


@behave.given('the engines stop after one event of a new run')
def step_stopping(context: typing.Any) -> None:
    for engine in context.harness.engines.values():
        engine.stops = True


@behave.when('a long stream begins')
def step_stream(context: typing.Any) -> None:
    data = platform_harness.encode_request(
        '/plan/1', **{**_STREAM_HEADERS, 'Token_Usage': '100,2000'}
    )
    context.stream = context.portal.start_task_soon(
        platform_harness.send_raw, context.harness.address, data
    )

    async def wait() -> str:
        while True:
            for name, engine in context.harness.engines.items():
                if engine.begun:
                    return name
            await anyio.lowlevel.checkpoint()

    context.first_engine = clocks.run_bounded(context, wait)


@behave.when('the data centre of its engine is evacuated')
def step_evacuate_engine(context: typing.Any) -> None:
    data_centre = context.harness.members[context.first_engine]
    step_evacuate(context, data_centre)


@behave.when('the engine goes on')
def step_go_on(context: typing.Any) -> None:
    engine = context.harness.engines[context.first_engine]
    context.portal.call(engine.go_on.set)


@behave.then('the stream ends')
def step_stream_ends(context: typing.Any) -> None:
    answer = context.stream.result(clocks.WAIT_SECONDS)
    assert answer.status == 200, answer
    assert answer.body.count(b'id: ') == platform_engine.EVENTS, answer


@behave.then('the stream goes on at the other engine and ends')
def step_moved(context: typing.Any) -> None:
    step_stream_ends(context)
    (other,) = set(context.harness.engines) - {context.first_engine}
    assert context.harness.engines[other].continued == 1
