"""Steps for a store that comes back from an older copy."""

from __future__ import annotations

import json
import struct
import typing

import anyio
import anyio.lowlevel
import behave

from laburnumstep import core
from laburnumstep import log
from laburnumstep.platform import _store
from support import clocks
from support import platform_harness
from support import scripted_server

_TOPIC = 'keyed.op'
_END_OFFSET = 7


def make_version(version: int) -> platform_harness.Document:
    """Return a configuration whose version shows in the paths of its route."""
    document = platform_harness.make_configuration(version)
    first = document['routes'][0]
    document['routes'] = [{**first, 'pathPrefix': f'/v{version}/'}]
    return document


def write_versions(context: typing.Any, versions: list[int]) -> None:
    for version in versions:
        context.portal.call(
            context.harness.store.append_record,
            _TOPIC,
            'config',
            make_version(version),
        )


async def wait_for_version(
    harness: platform_harness.PlatformHarness, version: int
) -> None:
    data = platform_harness.encode_request(f'/v{version}/1')
    while (
        await platform_harness.send_raw(harness.address, data)
    ).status != 200:
        await anyio.lowlevel.checkpoint()


@behave.given('versions 2, 3 and 4 of the configuration are in force')
def step_versions(context: typing.Any) -> None:
    write_versions(context, [2, 3, 4])
    step_in_force(context, 4)


@behave.when(
    'the store comes back with version 1 and versions 5 and 6 are written up'
    ' to the same offset'
)
def step_restored(context: typing.Any) -> None:
    store = context.harness.store
    end = len(store.records[_TOPIC])
    context.portal.call(store.restore, _TOPIC, 1)
    write_versions(context, [4, 5, 6])
    assert len(store.records[_TOPIC]) == end


@behave.when('the store comes back with version 1 and nothing is written')
def step_restored_only(context: typing.Any) -> None:
    context.portal.call(context.harness.store.restore, _TOPIC, 1)


@behave.then('version {version:d} of the configuration comes into force')
def step_in_force(context: typing.Any, version: int) -> None:
    clocks.run_bounded(context, wait_for_version, context.harness, version)


@behave.then('version {version:d} of the configuration is still in force')
def step_still_in_force(context: typing.Any, version: int) -> None:
    # The VM has met the new epoch once it has read the topic again.
    reads = context.harness.store.newest_reads

    async def wait_for_read() -> None:
        while context.harness.store.newest_reads == reads:
            await anyio.lowlevel.checkpoint()

    clocks.run_bounded(context, wait_for_read)
    step_in_force(context, version)


def encode_answer(answer: str) -> bytes:
    """Return the bytes of an answer from its status, epoch and kind."""
    *status, epoch = answer.split()
    more = epoch.endswith('+')
    header = f'Store-Era: {epoch.rstrip("+")}\r\n'
    if epoch == 'none':
        header = ''
    items = [{'key': 'a', 'value': 'MQ==', 'offset': 6}]
    body = json.dumps(
        {'items': items, 'hasMore': more, 'endOffset': _END_OFFSET}
    ).encode()
    head = (
        f'HTTP/1.1 {status[0] if status else 200} X\r\n{header}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


@behave.given('a store that sends "{answers}"')
def step_scripted_store(context: typing.Any, answers: str) -> None:
    context.answers = answers.split(', ')


async def read_topic(
    context: typing.Any, read: str, server: scripted_server.ScriptedServer
) -> str:
    clock = core.SystemClock()
    client = _store.KeyedTopicClient(
        server.address, 'op', clock, log.EpochTracker()
    )
    deadline = clock.now() + clocks.WAIT_SECONDS
    try:
        match read.split():
            case ['newest', *twice]:
                page = await client.read_newest(deadline)
                if twice:
                    page = await client.read_newest(deadline)
            case _:
                position = log.TopicPosition(1, _END_OFFSET)
                page = await client.read_from(position, deadline, deadline)
    except log.EpochChanged:
        return 'finds another epoch'
    except log.HistoryLost:
        return 'finds its history lost'
    except log.TopicUnavailable:
        return 'fails'
    following = page.next_position
    return f'continues in epoch {following.epoch} at {following.offset}'


@behave.when('the topic is read {read}')
def step_read_topic(context: typing.Any, read: str) -> None:
    scripts = [encode_answer(answer) for answer in context.answers]
    if read.startswith('from') and not context.answers[0].startswith('4'):
        scripts = [make_empty_page(answer) for answer in context.answers]

    async def run() -> str:
        server = scripted_server.ScriptedServer(scripts, 'waits')
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run)
            result = await read_topic(context, read, server)
            tasks.cancel_scope.cancel()
        return result

    context.result = clocks.run_bounded(context, run)


def make_empty_page(answer: str) -> bytes:
    """Return the bytes of an answer without records."""
    head, _, _ = encode_answer(answer).partition(b'Content-Length')
    body = struct.pack('>QQ', _END_OFFSET, 0)
    return head + b'Content-Length: %d\r\n\r\n' % len(body) + body


@behave.then('the read {result}')
def step_read_result(context: typing.Any, result: str) -> None:
    assert context.result == result, context.result
