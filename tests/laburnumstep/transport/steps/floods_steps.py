"""Steps for peers that send without end."""

from __future__ import annotations

import typing

import anyio
import anyio.lowlevel
import behave

from laburnumstep import core
from laburnumstep import transport
from support import clocks
from support import flooding

_NO_LIMIT = 2**40


@behave.given(
    'a peer that sends "{begin}" and then "{repeated}" faster than it is read'
)
def step_flood(context: typing.Any, begin: str, repeated: str) -> None:
    context.clock = core.ManualClock()
    context.deadline = context.clock.now() + clocks.WAIT_SECONDS
    context.sock = flooding.FloodingSocket(
        flooding.unescape(begin), flooding.unescape(repeated)
    )


async def read_body(context: typing.Any, limit: int) -> None:
    connection = await flooding.open_flood(
        context.sock, context.clock, context.deadline
    )
    context.error = None
    try:
        await connection.read_body(limit, context.deadline)
    except transport.ExchangeFailed as error:
        context.error = error


async def read_beside_clock(context: typing.Any) -> None:
    async def pass_deadline() -> None:
        for _ in range(3):
            await anyio.lowlevel.checkpoint()
        context.clock.advance(2 * clocks.WAIT_SECONDS)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(pass_deadline)
        await read_body(context, _NO_LIMIT)


@behave.when(
    'its body is read while another task advances the clock past the deadline'
)
def step_read_beside_clock(context: typing.Any) -> None:
    context.portal.call(read_beside_clock, context)


@behave.then('the read ends because the deadline has passed')
def step_deadline_passed(context: typing.Any) -> None:
    assert context.error is not None
    assert isinstance(context.error.__cause__, TimeoutError), context.error


async def read_chunks(context: typing.Any, count: int) -> None:
    connection = await flooding.open_flood(
        context.sock, context.clock, context.deadline
    )
    context.chunks = count
    context.turns = 0

    async def count_turns() -> None:
        while True:
            context.turns += 1
            await anyio.lowlevel.checkpoint()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(count_turns)
        for _ in range(count):
            await connection.read_chunk(context.deadline)
        tasks.cancel_scope.cancel()


@behave.when('{count:d} chunks of its body are read beside another task')
def step_read_chunks(context: typing.Any, count: int) -> None:
    context.portal.call(read_chunks, context, count)


@behave.then('the other task ran at least once in {count:d} chunks')
def step_turns(context: typing.Any, count: int) -> None:
    assert context.turns >= context.chunks // count, context.turns


@behave.when('its body is read with a limit of {limit:d} bytes')
def step_read_limited(context: typing.Any, limit: int) -> None:
    context.portal.call(read_body, context, limit)


@behave.then('the read ends before {count:d} bytes have been received')
def step_received(context: typing.Any, count: int) -> None:
    assert context.error is not None
    assert context.sock.received < count, context.sock.received
