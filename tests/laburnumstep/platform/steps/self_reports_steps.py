"""Steps for what servers on the platform say about themselves."""

from __future__ import annotations

import json
import typing

import anyio
import anyio.lowlevel
import behave

from support import clocks
from support import hooks
from support import platform_engine
from support import platform_harness


@behave.given('the server answers {status:d} with the headers "{headers}"')
@behave.when('the server answers {status:d} with the headers "{headers}"')
def step_answers(context: typing.Any, status: int, headers: str) -> None:
    server = context.harness.server
    server.status = status
    server.headers = dict(item.split(': ') for item in headers.split('; '))


@behave.then('{count:d} requests reached the server')
def step_received(context: typing.Any, count: int) -> None:
    received = len(context.harness.server.received)
    assert received == count, (received, context.answers)


@behave.then('they are refused as not run, for {least:g} to {most:g} seconds')
def step_refused_for(context: typing.Any, least: float, most: float) -> None:
    for answer in context.answers:
        assert answer.status == 503, answer
        assert json.loads(answer.body)['error']['code'] == 'overloaded'
        seconds = float(answer.headers['retry-after'])
        assert least <= seconds <= most, answer


async def write_entries(
    harness: platform_harness.PlatformHarness, entries: str
) -> None:
    """Write entries of the server, and wait until the VM has read them."""
    for text in entries.split('; '):
        state, sequence, *rest = text.split()
        entry = platform_harness.make_entry(
            harness.server_address,
            state=state,
            sequence=int(sequence),
            born=int(rest[1]) if rest else 1,
        )
        harness.store.append_record('keyed.servers', 'i-1', entry)
    # A server of another service, whose first answer shows that the entries
    # before its own are applied.
    entry = platform_harness.make_entry(harness.server_address, service='new')
    harness.store.append_record('keyed.servers', 'i-2', entry)
    document = platform_harness.make_configuration(2)
    route = {**document['routes'][0], 'name': 'new', 'pathPrefix': '/new/'}
    document['routes'].append({**route, 'service': 'new'})
    document['services'].append({'name': 'new', 'healthPath': '/health'})
    harness.store.append_record('keyed.op', 'config', document)
    await platform_harness.wait_for_answer(harness, '/new/1', 200)


@behave.when('the server writes the entries "{entries}"')
def step_write(context: typing.Any, entries: str) -> None:
    clocks.run_bounded(context, write_entries, context.harness, entries)


@behave.then('a request for "{path}" gets status {status:d}')
def step_status(context: typing.Any, path: str, status: int) -> None:
    data = platform_harness.encode_request(path)
    answer = clocks.run_bounded(
        context, platform_harness.send_raw, context.harness.address, data
    )
    assert answer.status == status, answer


async def make_harness() -> platform_harness.PlatformHarness:
    engine = platform_engine.LeavingEngine('e-0')
    return platform_harness.PlatformHarness([engine])


@behave.given(
    'a VM on the platform with an engine that refuses its second stream as it'
    ' leaves'
)
def step_leaving_engine(context: typing.Any) -> None:
    context.harness = context.portal.call(make_harness)
    hooks.enter_context(context, context.harness.run())
    context.portal.call(context.harness.write_configuration)
    clocks.run_bounded(context, wait_until_ready, context.harness)


async def wait_until_ready(harness: platform_harness.PlatformHarness) -> None:
    data = platform_harness.encode_request('/v1/ready', 'GET', b'')
    while (
        await platform_harness.send_raw(harness.ready_address, data)
    ).status != 200:
        await anyio.lowlevel.checkpoint()


def encode_prompt(number: int) -> bytes:
    return platform_harness.encode_request(
        '/plan/1',
        Attempt_Id=f'attempt-{number}',
        Model='m',
        Token_Usage='100,500',
        Prompt_Prefix=f'own{number}:10',
    )


async def wait_for_move(harness: platform_harness.PlatformHarness) -> None:
    engine = typing.cast(platform_engine.LeavingEngine, harness.engines[0])
    host, _, port = harness.address.rpartition(':')
    stream = await anyio.connect_tcp(host, int(port))
    await stream.send(encode_prompt(0))
    received = b''
    while b'id: 1' not in received:
        received += await stream.receive()
    await platform_harness.send_raw(harness.address, encode_prompt(1))
    entry = platform_harness.make_entry(
        '127.0.0.1:9', service='llm', models=[{'name': 'm'}]
    )
    harness.store.append_record('keyed.servers', 'e-1', entry)
    await engine.moved.wait()
    await stream.aclose()


@behave.when('two streams are sent to it and another engine registers')
def step_two_streams(context: typing.Any) -> None:
    clocks.run_bounded(context, wait_for_move, context.harness)


@behave.then('it is asked to copy a run')
def step_moved(context: typing.Any) -> None:
    assert context.harness.engines[0].moved.is_set()
