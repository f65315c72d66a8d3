"""An HTTP server in this process, based on uvicorn."""

from __future__ import annotations

import contextlib
import socket
import typing

import anyio
import uvicorn
from uvicorn.protocols.http import h11_impl

from laburnumstep.transport import _framing

if typing.TYPE_CHECKING:
    import asyncio
    import collections.abc

    from starlette import types

_BACKLOG = 2048
"""Size of the queue of connections that are not accepted yet."""
KEEP_ALIVE_SECONDS = 30
"""Default idle timeout of a connection, in seconds."""


MAX_REQUEST_READ_BYTES = 16384
"""Most bytes of a request to read at once. They are decoded before other
tasks run, which takes about 30 ms if they are chunks of one byte."""


class _Protocol(h11_impl.H11Protocol):
    """uvicorn's protocol with shorter reads.

    asyncio reads 256 KiB at once. A caller that sends many small chunks would
    hold the event loop for a second with each read.
    """

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        # The selector event loop has no public setting for the size.
        transport.max_size = MAX_REQUEST_READ_BYTES  # type: ignore
        super().connection_made(transport)


class _UvicornServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Iterator[None]:
        yield


class HttpServer:
    """Serves one ASGI application on one address.

    Args:
        app: The application.
        address: IP address and port; port 0 lets the system choose.
        certificate: TLS certificate file, or None for plain HTTP.
        private_key: TLS private key file, or None for plain HTTP.
        keep_alive_seconds: Idle timeout of a connection, in seconds.
    """

    def __init__(
        self,
        app: types.ASGIApp,
        address: str,
        certificate: str | None = None,
        private_key: str | None = None,
        keep_alive_seconds: int = KEEP_ALIVE_SECONDS,
    ) -> None:
        host, _, port = address.rpartition(':')
        host = host.strip('[]')
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        self._socket = socket.create_server(
            (host, int(port)), family=family, backlog=_BACKLOG
        )
        # asyncio sets TCP_NODELAY only on sockets that were created with an
        # explicit protocol number. Without it, each response on a reused
        # connection waits 40 ms for the acknowledgement of its headers.
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._host = host
        config = uvicorn.Config(
            typing.cast(typing.Any, _framing.FramingGuard(app)),
            http=_Protocol,
            interface='asgi3',
            ws='none',
            lifespan='off',
            loop='none',
            log_config=None,
            access_log=False,
            timeout_keep_alive=keep_alive_seconds,
            ssl_certfile=certificate,
            ssl_keyfile=private_key,
        )
        self._server = _UvicornServer(config)

    @property
    def address(self) -> str:
        """IP address and port on which the server listens."""
        return f'{self._host}:{self._socket.getsockname()[1]}'

    async def run(self) -> None:
        """Serve until `stop` is called and all responses are complete."""
        await self._server.serve(sockets=[self._socket])

    def stop(self) -> None:
        """Accept no new connections; `run` returns after the last response."""
        self._server.should_exit = True

    def abort(self) -> None:
        """Close all connections immediately and end `run`."""
        self._server.should_exit = True
        self._server.force_exit = True


@contextlib.asynccontextmanager
async def serve_app(
    app: types.ASGIApp, address: str = '127.0.0.1:0'
) -> collections.abc.AsyncIterator[HttpServer]:
    """Serve an application while the context is open."""
    server = HttpServer(app, address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        try:
            yield server
        finally:
            server.abort()
            tasks.cancel_scope.cancel()
