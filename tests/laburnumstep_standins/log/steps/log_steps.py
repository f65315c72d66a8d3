"""Steps for the protocol of the log stand-in."""

from __future__ import annotations

import json
import typing

import anyio
import behave

from laburnumstep import transport
from laburnumstep_standins import log
from support import clocks
from support import hooks

PATH = '/v1/streams/configuration/records'


def request(
    context: typing.Any, method: str, path: str, body: typing.Any = None
) -> transport.JsonResponse:
    deadline = context.clock.now() + clocks.WAIT_SECONDS
    return context.portal.call(
        context.client.request, method, path, deadline, body
    )


@behave.given(
    'a log of {rate:d} appends a second that keeps records for {keep:d}'
    ' seconds'
)
def step_log(context: typing.Any, rate: int, keep: int) -> None:
    context.clock = clocks.ObservedClock()
    context.log = log.LogStandIn(context.clock, rate, keep)
    server = hooks.enter_context(context, transport.serve_app(context.log.app))
    context.client = transport.JsonClient(server.address)


@behave.given('{count:d} records are appended')
def step_append(context: typing.Any, count: int) -> None:
    context.appended_at = context.clock.now()
    body = {'records': [{'n': number} for number in range(count)]}
    assert request(context, 'POST', PATH, body).status == 200


@behave.given('{seconds:d} seconds pass')
def step_pass(context: typing.Any, seconds: int) -> None:
    context.portal.call(context.clock.advance, float(seconds))


@behave.given('the faults {faults}')
def step_faults(context: typing.Any, faults: str) -> None:
    reply = request(context, 'POST', '/control', json.loads(faults))
    assert reply.status == 200


@behave.when(
    'the stream is read from {start:d} with at most {limit:d} records'
)
def step_read(context: typing.Any, start: int, limit: int) -> None:
    path = f'{PATH}?from={start}&limit={limit}'
    context.page = request(context, 'GET', path).body


@behave.then(
    'the offsets are "{offsets}" with next {following:d}, first {first:d},'
    ' end {end:d}'
)
@behave.then(
    'the offsets are "" with next {following:d}, first {first:d}, end {end:d}'
)
def step_page(
    context: typing.Any,
    following: int,
    first: int,
    end: int,
    offsets: str = '',
) -> None:
    page = context.page
    found = ' '.join(str(record['offset']) for record in page['records'])
    assert found == offsets, found
    bounds = (page['next'], page['first'], page['end'])
    assert bounds == (following, first, end), bounds


@behave.when('an append of a record is attempted')
def step_attempt_append(context: typing.Any) -> None:
    try:
        context.reply = request(context, 'POST', PATH, {'records': [{}]})
    except transport.ExchangeFailed:
        context.reply = None


@behave.then('the append returns {status}')
def step_append_returns(context: typing.Any, status: str) -> None:
    returned = str(context.reply.status) if context.reply else 'a cut'
    assert returned == status, returned


@behave.then('a read returns {status:d}')
def step_read_returns(context: typing.Any, status: int) -> None:
    assert request(context, 'GET', PATH).status == status


@behave.then('the stream holds {count:d} records')
def step_stream_length(context: typing.Any, count: int) -> None:
    assert context.log.get_stream('configuration').end == count


@behave.then('the response asks for a delay of {seconds:f} seconds')
def step_delay(context: typing.Any, seconds: float) -> None:
    delay = float(context.reply.headers['retry-after'])
    # A float of epoch seconds has a resolution of about a microsecond.
    assert abs(delay - seconds) < 0.001, delay


@behave.then('all records carry the time of the append')
def step_times(context: typing.Any) -> None:
    times = {item['appended_at'] for item in context.page['records']}
    assert times == {context.appended_at}, times


async def read_and_append(context: typing.Any) -> typing.Any:
    deadline = context.clock.now() + clocks.WAIT_SECONDS
    pages = []
    arrived = anyio.Event()
    get_stream = context.log.get_stream

    def find_and_signal(name: str) -> log.Stream:
        arrived.set()
        return get_stream(name)

    context.log.get_stream = find_and_signal

    async def read() -> None:
        path = f'{PATH}?from=0&wait=20'
        reply = await context.client.request('GET', path, deadline)
        pages.append(reply.body)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        await arrived.wait()
        body = {'records': [{}]}
        await context.client.request('POST', PATH, deadline, body)
    return pages[0]


@behave.when('a read from 0 waits and a record is appended')
def step_wait_read(context: typing.Any) -> None:
    context.page = clocks.run_bounded(context, read_and_append, context)


@behave.then('the waiting read returns {count:d} records')
def step_waiting_read(context: typing.Any, count: int) -> None:
    assert len(context.page['records']) == count


@behave.then('the next append gets offset {offset:d}')
def step_append_offset(context: typing.Any, offset: int) -> None:
    context.portal.call(context.clock.advance, 1.0)
    reply = request(context, 'POST', PATH, {'records': [{}]})
    assert reply.body == {'first_offset': offset}, reply.body
