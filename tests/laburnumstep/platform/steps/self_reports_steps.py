"""Steps for what servers on the platform say about themselves."""

from __future__ import annotations

import json
import typing

import behave

from support import clocks
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
