"""An HTTP server in this process, based on uvicorn."""

from __future__ import annotations

import contextlib
import functools
import socket
import typing

import anyio
import uvicorn

from laburnumstep.transport import _caller_connections
from laburnumstep.transport import _framing

if typing.TYPE_CHECKING:
    import collections.abc

    from starlette import types

_BACKLOG = 2048
"""Size of the queue of connections that are not accepted yet."""
KEEP_ALIVE_SECONDS = 30
"""Default idle timeout of a connection, in seconds."""

ACCEPT_BATCH = 64
"""Connections that are accepted before other tasks run. asyncio would accept
as many as the queue holds, and none could be closed meanwhile."""


class _UvicornServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    async def startup(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Listen, with a queue that is longer than a batch."""
        await super().startup(sockets)
        for sock in sockets or ():
            sock.listen(_BACKLOG)

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
        guard: Bounds what is held for callers; None for no bound.
    """

    def __init__(
        self,
        app: types.ASGIApp,
        address: str,
        certificate: str | None = None,
        private_key: str | None = None,
        keep_alive_seconds: int = KEEP_ALIVE_SECONDS,
        guard: _caller_connections.CallerGuard | None = None,
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
        self._guard = guard
        app = _framing.FramingGuard(app)
        protocol: typing.Any = _caller_connections.CallerProtocol
        if guard is not None:
            app = guard.wrap(app)
            protocol = functools.partial(
                _caller_connections.GuardedConnection, guard
            )
        config = uvicorn.Config(
            typing.cast(typing.Any, app),
            http=protocol,
            backlog=ACCEPT_BATCH,
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
        async with anyio.create_task_group() as tasks:
            if self._guard is not None:
                tasks.start_soon(self._guard.run)
            await self._server.serve(sockets=[self._socket])
            tasks.cancel_scope.cancel()

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
