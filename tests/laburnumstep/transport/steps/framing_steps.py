"""Steps for the framing of requests."""

from __future__ import annotations

import typing

import anyio
import behave
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumstep import transport
from support import clocks

CLOSING_SECONDS = 5.0
"""Longest wait for answers and for the end of the connection."""
SECOND = b'POST /second HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'


class Counter:
    """Counts the requests that reach the application."""

    def __init__(self) -> None:
        self.begun = 0
        self.app = applications.Starlette(
            routes=[routing.Route('/{path}', self._serve, methods=['POST'])]
        )

    async def _serve(self, request: requests.Request) -> responses.Response:
        self.begun += 1
        await request.body()
        return responses.Response(b'')


async def exchange(context: typing.Any, sent: bytes) -> None:
    """Send bytes; keep the answers and whether the connection ended."""
    async with transport.serve_app(context.counter.app) as server:
        host, _, port = server.address.rpartition(':')
        stream = await anyio.connect_tcp(host, int(port))
        async with stream:
            await stream.send(sent)
            context.answers = b''
            context.closed = False
            with anyio.move_on_after(CLOSING_SECONDS):
                while context.answers.count(b'HTTP/1.1 ') < 2:
                    try:
                        context.answers += await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        context.closed = True
                        break


@behave.given('a server that counts its requests')
def step_server(context: typing.Any) -> None:
    context.counter = Counter()


@behave.when(
    'a request with {headers} and the body {body} is sent before another one'
)
def step_send(context: typing.Any, headers: str, body: str) -> None:
    def decode(text: str) -> bytes:
        return text.encode().decode('unicode_escape').encode('latin-1')

    first = b'POST /first HTTP/1.1\r\nHost: a\r\n' + decode(headers)
    sent = first + b'\r\n\r\n' + decode(body) + SECOND
    clocks.wait(context, exchange, context, sent)


@behave.then('the server has begun {count:d} requests')
def step_begun(context: typing.Any, count: int) -> None:
    assert context.counter.begun == count, context.answers


@behave.then(
    'the first answer has status {status:d} and the connection is {state}'
)
def step_status(context: typing.Any, status: int, state: str) -> None:
    assert context.answers.startswith(b'HTTP/1.1 %d ' % status), (
        context.answers
    )
    assert context.closed == (state == 'closed'), context.answers
