"""Steps for JSON clients of peers that send without end."""

from __future__ import annotations

import contextlib
import socket
import tracemalloc
import typing

import anyio
import behave

from laburnumstep import core
from laburnumstep import transport
from support import clocks


def set_up(context: typing.Any, max_bytes: int) -> transport.JsonClient:
    context.clock = core.SystemClock()
    context.errors = []
    return transport.JsonClient(context.address, max_bytes=max_bytes)


async def send_request(
    context: typing.Any, client: transport.JsonClient, seconds: float
) -> None:
    deadline = context.clock.now() + seconds
    try:
        await client.request('POST', '/', deadline, {})
    except (transport.ConnectFailed, transport.ExchangeFailed) as error:
        context.errors.append(error)


async def send_requests(context: typing.Any, count: int, limit: int) -> None:
    client = set_up(context, limit)
    tracemalloc.start()
    try:
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(
                    send_request, context, client, clocks.WAIT_SECONDS
                )
        context.peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        await client.close()


@behave.when(
    '{count:d} JSON requests are sent to it with a limit of {limit:d} KiB'
)
def step_send_many(context: typing.Any, count: int, limit: int) -> None:
    context.count = count
    clocks.run_bounded(context, send_requests, context, count, limit * 1024)


@behave.then('each of them fails as sent')
def step_all_fail(context: typing.Any) -> None:
    names = [type(error).__name__ for error in context.errors]
    assert names == ['ExchangeFailed'] * context.count, names


@behave.then('the process allocated less than {limit:d} MiB meanwhile')
def step_memory(context: typing.Any, limit: int) -> None:
    assert context.peak_bytes < limit * 2**20, context.peak_bytes


async def send_one(context: typing.Any, seconds: float) -> None:
    client = set_up(context, transport.MAX_BODY_BYTES)
    await send_request(context, client, seconds)
    await client.close()


@behave.when('a JSON request is sent to it with a deadline in {seconds:f} s')
def step_send_one(context: typing.Any, seconds: float) -> None:
    clocks.run_bounded(context, send_one, context, seconds)


@behave.then('it fails as {outcome}')
def step_fails(context: typing.Any, outcome: str) -> None:
    expected = {'sent': 'ExchangeFailed', 'not sent': 'ConnectFailed'}
    names = [type(error).__name__ for error in context.errors]
    assert names == [expected[outcome]], context.errors


@behave.given('a peer whose queue of connections is full')
def step_full(context: typing.Any) -> None:
    listener = socket.socket()
    context.stack.callback(listener.close)
    listener.bind(('127.0.0.1', 0))
    listener.listen(0)
    address = listener.getsockname()
    # Linux accepts one connection more than the size of the queue.
    for _ in range(2):
        sock = socket.socket()
        context.stack.callback(sock.close)
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            sock.connect(address)
    context.address = f'127.0.0.1:{address[1]}'
