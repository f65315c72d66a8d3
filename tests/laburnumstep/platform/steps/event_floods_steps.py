"""Steps for engines that send bytes without events."""

from __future__ import annotations

import typing

import anyio
import anyio.lowlevel
import behave

from laburnumstep import core
from laburnumstep.platform import _events
from laburnumstep.targets import relay
from support import clocks
from support import flooding
from support import hooks
from support import platform_engine
from support import platform_harness


def set_up(context: typing.Any, begin: bytes, repeated: bytes) -> None:
    context.clock = core.ManualClock()
    context.deadline = context.clock.now() + clocks.WAIT_SECONDS
    context.sock = flooding.FloodingSocket(begin, repeated)


@behave.given(
    'an engine that sends "{begin}" and then "{repeated}" faster than it is'
    ' read'
)
def step_flood(context: typing.Any, begin: str, repeated: str) -> None:
    set_up(context, flooding.unescape(begin), flooding.unescape(repeated))


@behave.given(
    'the engine sends the stream "{text}" in chunks of {size:d} bytes'
)
def step_chunks(context: typing.Any, text: str, size: int) -> None:
    content = flooding.unescape(text)
    parts = [
        content[start : start + size] for start in range(0, len(content), size)
    ]
    body = b''.join(b'%x\r\n%s\r\n' % (len(p), p) for p in parts)
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    set_up(context, head + body + b'0\r\n\r\n', b'\n')


async def read_events(context: typing.Any) -> None:
    connection = await flooding.open_flood(
        context.sock, context.clock, context.deadline
    )
    reader = _events.EventReader(connection, lambda: None, 4)
    context.positions = []
    context.broken = None
    try:
        while (events := await reader.read(context.deadline)) is not None:
            context.positions += [event.position for event in events]
    except relay.StreamBroken as error:
        context.broken = error


@behave.when('its events are read before their deadline')
def step_read(context: typing.Any) -> None:
    clocks.run_bounded(context, read_events, context)


@behave.then('the stream breaks before {count:d} bytes have been received')
def step_broken(context: typing.Any, count: int) -> None:
    assert context.broken is not None, context.positions
    assert context.sock.received < count, context.sock.received


@behave.then('the events "{positions}" and the end are read')
def step_events(context: typing.Any, positions: str) -> None:
    assert context.broken is None, context.broken
    assert b';'.join(context.positions).decode() == positions


async def make_harness(repeated: bytes) -> platform_harness.PlatformHarness:
    return platform_harness.PlatformHarness(
        [
            platform_engine.FloodingEngine('e-0', repeated),
            platform_engine.CrashingEngine('e-1', 'none'),
        ]
    )


@behave.given(
    'a VM on the platform whose first engine of 2 sends "{repeated}" without'
    ' end'
)
def step_vm(context: typing.Any, repeated: str) -> None:
    context.harness = context.portal.call(
        make_harness, flooding.unescape(repeated)
    )
    hooks.enter_context(context, context.harness.run())
    context.portal.call(context.harness.write_configuration)
    # Requests that arrive before the configuration are refused.
    clocks.run_bounded(context, wait_for_configuration, context.harness)


async def wait_for_configuration(
    harness: platform_harness.PlatformHarness,
) -> None:
    data = platform_harness.encode_request('/safe/0', Attempt_Id='call-0')
    while (
        await platform_harness.send_raw(harness.address, data)
    ).status != 200:
        await anyio.lowlevel.checkpoint()


async def send_until_flooded(context: typing.Any, count: int) -> None:
    harness = context.harness
    flooding_engine = harness.engines[0]
    context.streams = []
    context.calls = []
    number = 0

    async def call(key: str) -> None:
        data = platform_harness.encode_request('/safe/1', Attempt_Id=key)
        context.calls.append(
            await platform_harness.send_raw(harness.address, data)
        )

    while flooding_engine.floods < count:
        number += 1
        data = platform_harness.encode_request(
            f'/resume/{number}',
            Attempt_Id=f'attempt-{number}',
            Model='m',
            Token_Usage='100,50',
            Prompt_Prefix=f'a:10,own{number}:10',
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call, f'call-{number}')
            answer = await platform_harness.send_raw(harness.address, data)
        if answer.status != 404:
            context.streams.append(answer)


@behave.when(
    'requests that may be resumed are sent until it has flooded {count:d} of'
    ' them'
)
def step_send_until(context: typing.Any, count: int) -> None:
    clocks.run_bounded(context, send_until_flooded, context, count)


@behave.then('each of them got a whole stream')
def step_whole(context: typing.Any) -> None:
    expected = b''.join(
        b'id: %d\ndata: x\n\n' % number
        for number in range(1, platform_engine.EVENTS + 1)
    )
    bodies = {answer.body for answer in context.streams}
    assert bodies == {expected}, context.streams


@behave.then('a request to another service was answered meanwhile')
def step_answered(context: typing.Any) -> None:
    assert context.calls[-1].status == 200, context.calls[-1]
