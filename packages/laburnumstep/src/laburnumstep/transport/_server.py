"""An HTTP server inside the process, on uvicorn."""

from __future__ import annotations

import contextlib
import socket
import typing

import anyio
import uvicorn

from laburnumstep.transport import _framing

if typing.TYPE_CHECKING:
    import collections.abc

    from starlette import types

_BACKLOG = 2048
"""Connections that may wait to be accepted."""
KEEP_ALIVE_SECONDS = 30
"""How long an idle connection is kept, in seconds."""


class _Server(uvicorn.Server):
    """A server that leaves signals to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Iterator[None]:
        yield


class HttpServer:
    """Serves one ASGI application on one address.

    Args:
        app: The application.
        address: IP number and port; port 0 lets the system choose.
        certificate: TLS certificate file, or None for plain HTTP.
        private_key: TLS private key file, or None for plain HTTP.
        keep_alive_seconds: How long an idle connection is kept, in seconds.
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
        # asyncio sets this only on sockets made with an explicit protocol
        # number. Without it, each response on a kept connection waited
        # 40 ms for the acknowledgement of its headers.
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._host = host
        config = uvicorn.Config(
            typing.cast(typing.Any, _framing.FramingGuard(app)),
            http='h11',
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
        self._server = _Server(config)

    @property
    def address(self) -> str:
        """IP number and port on which the server listens."""
        return f'{self._host}:{self._socket.getsockname()[1]}'

    async def run(self) -> None:
        """Serve until `stop` is called and every response is complete."""
        await self._server.serve(sockets=[self._socket])

    def stop(self) -> None:
        """Accept no more connections and end when responses are complete."""
        self._server.should_exit = True

    def abort(self) -> None:
        """End at once and cut the connections."""
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
