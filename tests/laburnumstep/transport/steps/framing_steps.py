"""Steps for the body lengths of requests."""

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

RESPONSE_TIMEOUT_SECONDS = 5.0
"""Longest wait for two responses or for the end of the connection."""
SECOND_REQUEST = (
    b'POST /second HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'
)


class CountingApp:
    """An application that counts the requests that reach it."""

    def __init__(self) -> None:
        self.started = 0
        self.app = applications.Starlette(
            routes=[routing.Route('/{path}', self._serve, methods=['POST'])]
        )

    async def _serve(self, request: requests.Request) -> responses.Response:
        self.started += 1
        await request.body()
        return responses.Response(b'')


async def send_and_receive(context: typing.Any, sent: bytes) -> None:
    """Send bytes; record the responses and whether the server closed."""
    async with transport.serve_app(context.counting_app.app) as server:
        host, _, port = server.address.rpartition(':')
        stream = await anyio.connect_tcp(host, int(port))
        async with stream:
            await stream.send(sent)
            context.responses = b''
            context.closed = False
            with anyio.move_on_after(RESPONSE_TIMEOUT_SECONDS):
                while context.responses.count(b'HTTP/1.1 ') < 2:
                    try:
                        context.responses += await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        context.closed = True
                        break


@behave.given('a server that counts its requests')
def step_server(context: typing.Any) -> None:
    context.counting_app = CountingApp()


@behave.when(
    'a request with {headers} and the body {body} is sent before another one'
)
def step_send(context: typing.Any, headers: str, body: str) -> None:
    def decode(text: str) -> bytes:
        return text.encode().decode('unicode_escape').encode('latin-1')

    first = b'POST /first HTTP/1.1\r\nHost: a\r\n' + decode(headers)
    sent = first + b'\r\n\r\n' + decode(body) + SECOND_REQUEST
    clocks.run_bounded(context, send_and_receive, context, sent)


@behave.then('the server has started {count:d} requests')
def step_started(context: typing.Any, count: int) -> None:
    assert context.counting_app.started == count, context.responses


@behave.then(
    'the first response has status {status:d} and the connection is {state}'
)
def step_status(context: typing.Any, status: int, state: str) -> None:
    assert context.responses.startswith(b'HTTP/1.1 %d ' % status), (
        context.responses
    )
    assert context.closed == (state == 'closed'), context.responses
