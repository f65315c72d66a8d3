"""Listening sockets of stand-ins that speak bytes themselves."""

from __future__ import annotations

import anyio
import anyio.abc


async def listen() -> tuple[anyio.abc.Listener[anyio.abc.SocketStream], str]:
    """Listen on a free port; return the listener and its address."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    host, port = listener.extra(anyio.abc.SocketAttribute.local_address)
    return listener, f'{host}:{port}'
