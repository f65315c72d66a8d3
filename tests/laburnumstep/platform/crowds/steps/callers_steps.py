"""Steps for single callers of a process."""

from __future__ import annotations

import socket
import typing

import anyio
import behave
import crowds_steps
import h11

from support import hooks
from support import platform_harness

END_SECONDS = 15.0
"""Longest wait for all answers or for the end, in seconds."""
PART_SECONDS = 0.1
"""Pause between two parts of a body, in seconds."""
_RECEIVE_BUFFER_BYTES = 65536
"""Less than an answer, so that a part of it waits in the process."""


def make_request(text: str) -> bytes:
    """Return what a caller sends."""
    encode = platform_harness.encode_request
    wait = {'Deadline_Remaining': '15000'}
    match text:
        case 'a body of 4194304 bytes':
            return encode('/safe/x', 'POST', bytes(4_194_304), **wait)
        case '5 requests for 2 MB each':
            return encode('/large/x', 'POST', b'body', **wait) * 5
        case '300 requests for 4 bytes each':
            return encode('/safe/x', 'POST', b'body', **wait) * 300
        case _:
            return crowds_steps.make_message(text)


async def exchange(
    port: int, data: bytes, piece: int, count: int
) -> list[tuple[int, int]]:
    """Send requests and read their answers.

    Args:
        port: Port of the process.
        data: The requests.
        piece: Bytes to read at a time.
        count: Number of answers to read; fewer if the connection ends.

    Returns:
        Status and length of each answer.
    """
    answers: list[tuple[int, int]] = []
    protocol = h11.Connection(h11.CLIENT)
    with anyio.fail_after(END_SECONDS):
        async with (
            await anyio.connect_tcp('127.0.0.1', port) as stream,
            anyio.create_task_group() as tasks,
        ):
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
            tasks.start_soon(send_all, stream, data)
            while len(answers) < count:
                answer = await read_answer(protocol, stream, piece)
                if answer is None:
                    break
                answers.append(answer)
                if protocol.their_state is not h11.IDLE:
                    break
            tasks.cancel_scope.cancel()
    return answers


async def send_all(stream: anyio.abc.SocketStream, data: bytes) -> None:
    try:
        await stream.send(data)
    except anyio.BrokenResourceError:
        return


async def read_answer(
    protocol: h11.Connection, stream: anyio.abc.SocketStream, piece: int
) -> tuple[int, int] | None:
    """Return status and length of the next answer; None at the end."""
    protocol.send(
        h11.Request(method='GET', target='/', headers=[('Host', 'x')])
    )
    protocol.send(h11.EndOfMessage())
    status, size = 0, 0
    while True:
        event = protocol.next_event()
        match event:
            case h11.Response():
                status = event.status_code
            case h11.Data():
                size += len(event.data)
            case h11.EndOfMessage():
                if protocol.their_state is h11.DONE:
                    protocol.start_next_cycle()
                return status, size
            case _:
                try:
                    protocol.receive_data(await stream.receive(piece))
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return None


@behave.given(
    'a process whose configuration allows {milliseconds:d} ms for heads and'
    ' pauses'
)
def step_timeouts(context: typing.Any, milliseconds: int) -> None:
    timeouts = {'headerTimeoutMs': milliseconds, 'idleTimeoutMs': milliseconds}
    context.process = hooks.enter_context(
        context, crowds_steps.run_process(128, 1638, **timeouts)
    )


@behave.when('a caller sends {message} and reads {piece:d} bytes at a time')
def step_read(context: typing.Any, message: str, piece: int) -> None:
    context.request = make_request(message)
    context.piece = piece


@behave.then(
    'it gets {count:d} answers with status 200 and {size:d} bytes each'
)
def step_answers(context: typing.Any, count: int, size: int) -> None:
    answers = context.portal.call(
        exchange, context.process.port, context.request, context.piece, count
    )
    assert answers == [(200, size)] * count, answers


@behave.when('a caller sends {message} and waits for the end')
def step_wait(context: typing.Any, message: str) -> None:
    context.answers = context.portal.call(
        exchange, context.process.port, make_request(message), 65536, 2
    )


async def send_slowly(stream: anyio.abc.SocketStream, data: bytes) -> None:
    """Send for longer than a head may take, without a long pause."""
    part = len(data) // 30 + 1
    for start in range(0, len(data), part):
        await stream.send(data[start : start + part])
        await anyio.sleep(PART_SECONDS)


async def exchange_early(port: int) -> list[int]:
    """Return the statuses of an answer that comes early and the next one."""
    encode = platform_harness.encode_request
    data = encode('/none/x', 'POST', bytes(4_000_000))
    data += encode('/safe/x', 'POST', b'body')
    protocol = h11.Connection(h11.CLIENT)
    statuses = []
    with anyio.fail_after(END_SECONDS):
        async with (
            await anyio.connect_tcp('127.0.0.1', port) as stream,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(send_slowly, stream, data)
            for _ in range(2):
                answer = await read_answer(protocol, stream, 65536)
                statuses.append(answer[0] if answer is not None else 0)
            tasks.cancel_scope.cancel()
    return statuses


@behave.when(
    'a caller sends a body of 4 MB for no route and a request, slowly'
)
def step_early(context: typing.Any) -> None:
    context.statuses = context.portal.call(
        exchange_early, context.process.port
    )


@behave.then('its answers have the statuses 404 and 200')
def step_statuses(context: typing.Any) -> None:
    assert context.statuses == [404, 200], context.statuses


@behave.then('it gets no answer')
def step_none(context: typing.Any) -> None:
    assert context.answers == [], context.answers


@behave.then('it gets status {status:d}')
def step_status(context: typing.Any, status: int) -> None:
    assert [found for found, _ in context.answers] == [status], context.answers
