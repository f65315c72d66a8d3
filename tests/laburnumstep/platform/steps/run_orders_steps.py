"""Steps for orders about runs and for streams that pause."""

from __future__ import annotations

import contextlib
import typing

import anyio
import anyio.abc
import attrs
import behave

from laburnumstep import core
from laburnumstep.platform import _events
from laburnumstep.platform import _servers
from laburnumstep.targets import relay
from laburnumstep import transport
from support import clocks
from support import hooks
from support import listening
from support import permits
from support import relay_fakes

Serve = typing.Callable[
    [anyio.abc.SocketStream], typing.Coroutine[typing.Any, typing.Any, None]
]


@contextlib.asynccontextmanager
async def run_engine(
    context: typing.Any, serve: Serve
) -> typing.AsyncIterator[None]:
    listener, context.address = await listening.listen()
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        yield
        tasks.cancel_scope.cancel()


@behave.given('an engine that answers "{status}" with {body}')
def step_engine(context: typing.Any, status: str, body: str) -> None:
    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            data = b''
            while not is_complete(data):
                data += await stream.receive()
            head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
            await stream.send((head + body).encode())

    hooks.enter_context(context, run_engine(context, serve))


def is_complete(data: bytes) -> bool:
    """Return whether a request is complete; orders are JSON objects."""
    if data.startswith(b'GET '):
        return data.endswith(b'\r\n\r\n')
    return data.endswith(b'}')


@behave.given('an engine that does not listen')
def step_no_engine(context: typing.Any) -> None:
    async def serve(stream: anyio.abc.SocketStream) -> None:
        raise AssertionError('nothing connects')

    async def close() -> None:
        async with run_engine(context, serve):
            pass

    context.portal.call(close)


async def use_client(
    context: typing.Any,
    use: typing.Callable[
        [_servers.ServerClient, core.EngineTarget, float],
        typing.Awaitable[typing.Any],
    ],
) -> None:
    clock = core.SystemClock()
    client = _servers.ServerClient(
        clock, lambda service: 1, permits.make_limits(clock)
    )
    target = attrs.evolve(
        relay_fakes.make_target('a'), address=context.address
    )
    deadline = clock.now() + clocks.WAIT_SECONDS
    context.result = await use(client, target, deadline)
    client.close_removed([])


@behave.when('it is ordered to stop a run and to move it')
def step_move(context: typing.Any) -> None:
    async def move(
        client: _servers.ServerClient,
        target: core.EngineTarget,
        deadline: float,
    ) -> relay.MoveResult:
        request = relay_fakes.make_request(
            core.StreamKind(resumable=False), 0.0
        )
        destination = relay_fakes.make_target('b')
        return await client.move_run(request, target, destination, deadline)

    clocks.run_bounded(context, use_client, context, move)


@behave.when('it is asked for its runs')
def step_list(context: typing.Any) -> None:
    async def list_runs(
        client: _servers.ServerClient,
        target: core.EngineTarget,
        deadline: float,
    ) -> relay.RunListResult:
        return await client.list_runs(target, deadline)

    clocks.run_bounded(context, use_client, context, list_runs)


@behave.then('the result is {result}')
def step_result(context: typing.Any, result: str) -> None:
    words = [type(context.result).__name__]
    match context.result:
        case relay.Moved(copy=copy) | relay.Stopped(copy=copy):
            address, _, handle = copy.partition('/')
            assert address == context.address, copy
            words.append(handle)
        case relay.RunList(runs=runs):
            words += [run.key for run in runs]
        case relay.NoRunList(refused=refused, answered=answered):
            words += ['refused'] * refused + ['answered'] * answered
    assert words == result.split(), context.result


@behave.given('a stream that stops in the middle of its second event')
def step_stream(context: typing.Any) -> None:
    context.go_on = context.portal.call(make_event)

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(b'HTTP/1.1 200 OK\r\n\r\nid: 1\n\nid: ')
            await context.go_on.wait()
            await stream.send(b'2\n\n')

    hooks.enter_context(context, run_engine(context, serve))


async def make_event() -> anyio.Event:
    return anyio.Event()


async def read_stream(context: typing.Any) -> None:
    clock = core.SystemClock()
    deadline = clock.now() + clocks.WAIT_SECONDS
    connection = await transport.HttpConnection.open(
        context.address, clock, deadline
    )
    head = transport.RequestHead(b'GET', b'/', [(b'Host', b'a')])
    await connection.send(head, b'', deadline)
    await connection.read_head(deadline)
    reader = _events.EventReader(connection, lambda: None, 1)
    context.positions = []
    context.delayed = 0
    read_until = deadline
    while True:
        try:
            events = await reader.read(read_until)
        except relay.EventsDelayed:
            context.delayed += 1
            context.go_on.set()
            read_until = deadline
            continue
        if events is None:
            break
        context.positions += [event.position for event in events]
        if not context.delayed:
            # This deadline passes while the rest of the event is held back.
            read_until = clock.now()
    connection.close()


@behave.when('it is read with a deadline and goes on after it')
def step_read(context: typing.Any) -> None:
    clocks.run_bounded(context, read_stream, context)


@behave.then('events "{positions}" arrived and one read was delayed')
def step_arrived(context: typing.Any, positions: str) -> None:
    found = b','.join(context.positions).decode()
    assert (found, context.delayed) == (positions, 1), found
