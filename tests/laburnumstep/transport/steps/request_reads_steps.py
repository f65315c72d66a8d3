"""Steps for requests that arrive faster than they are read."""

from __future__ import annotations

import contextlib
import socket
import typing

import anyio
import behave

from laburnumstep import transport
from support import clocks
from support import hooks

_HEAD = b'POST / HTTP/1.1\r\nHost: vm\r\nContent-Length: %d\r\n\r\n'


async def receive_body(context: typing.Any, receive: typing.Any) -> None:
    """Receive a body whose rest the caller sends meanwhile."""
    message = await receive()
    # The event loop does not run while the caller sends, so that the server
    # finds all of it at its next read.
    context.caller.sendall(context.rest)
    while message.get('more_body'):
        message = await receive()
        context.sizes.append(len(message.get('body', b'')))
    context.received.set()


@behave.given('a server that notes how much of a body arrives at once')
def step_server(context: typing.Any) -> None:
    context.sizes = []
    context.received = context.portal.call(anyio.Event)

    async def app(
        scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        await receive_body(context, receive)
        await send({'type': 'http.response.start', 'status': 204})
        await send({'type': 'http.response.body'})

    context.server = hooks.enter_context(context, transport.serve_app(app))


@behave.when(
    'a caller sends {size:d} bytes of a body before the server reads them'
)
def step_send(context: typing.Any, size: int) -> None:
    host, _, port = context.server.address.rpartition(':')
    context.caller = context.stack.enter_context(
        contextlib.closing(socket.create_connection((host, int(port))))
    )
    context.rest = b'y' * size
    context.caller.sendall(_HEAD % (size + 1) + b'y')
    clocks.run_bounded(context, context.received.wait)
    context.size = size


@behave.then('no more than {limit:d} bytes arrived at once')
def step_sizes(context: typing.Any, limit: int) -> None:
    assert sum(context.sizes) == context.size, context.sizes
    assert max(context.sizes) <= limit, context.sizes
