"""Steps for engines that send bytes without events."""

from __future__ import annotations

import typing

import behave

from laburnumstep import core
from laburnumstep.platform import _events
from laburnumstep.targets import relay
from support import clocks
from support import flooding


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
