"""Connections that coalesce the reads of streams under load.

A read costs about the same whether it returns one token or ten. With many
streams on one core, consecutive reads of a stream are therefore separated
by a pause. It grows with the number of streams and stays below the 69 ms
that callers are promised between tokens.
"""

from __future__ import annotations

import time
import typing

import anyio
import httpcore

if typing.TYPE_CHECKING:
    import ssl

MAX_PAUSE_SECONDS = 0.05
"""Longest pause between two reads of one stream, in seconds."""
PAUSE_PER_STREAM_SECONDS = 0.00025
"""Length added to the pause by each stream in progress, in seconds."""

Flush = typing.Callable[[], typing.Awaitable[None]]


class ReadPacer:
    """Computes the pause between two reads from the number of streams."""

    def __init__(self) -> None:
        self._streams = 0

    @property
    def pause(self) -> float:
        """Pause between two reads of one stream, in seconds."""
        return min(MAX_PAUSE_SECONDS, PAUSE_PER_STREAM_SECONDS * self._streams)

    def add_stream(self) -> None:
        """Count a stream that has begun."""
        self._streams += 1

    def remove_stream(self) -> None:
        """Count a stream that has ended."""
        self._streams -= 1


class CoalescingStream(httpcore.AsyncNetworkStream):
    """A connection that calls `flush` before each read of a stream.

    httpcore yields one chunk at a time and does not report whether more
    chunks of the same read are buffered. When it reads from the connection
    again, it has yielded all chunks of the previous read, so the receiver
    can process them together in `flush`.
    """

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, pacer: ReadPacer
    ) -> None:
        self._stream = stream
        self._pacer = pacer
        self._read_after = 0.0
        self.flush: Flush | None = None
        """Called before each read; None unless a stream is being relayed."""

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Read bytes; flush and pause first if a stream is being relayed."""
        if self.flush is None:
            return await self._stream.read(max_bytes, timeout)
        await self.flush()
        pause = self._read_after - time.monotonic()
        if pause > 0:
            await anyio.sleep(pause)
        data = await self._stream.read(max_bytes, timeout)
        self._read_after = time.monotonic() + self._pacer.pause
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the connection upgraded to TLS."""
        tls_stream = await self._stream.start_tls(
            ssl_context, server_hostname, timeout
        )
        return CoalescingStream(tls_stream, self._pacer)

    def get_extra_info(self, info: str) -> typing.Any:
        """Return information about the underlying connection."""
        return self._stream.get_extra_info(info)


class CoalescingBackend(httpcore.AsyncNetworkBackend):
    """Opens connections that coalesce the reads of streams."""

    def __init__(self, pacer: ReadPacer) -> None:
        self._backend = httpcore.AnyIOBackend()
        self._pacer = pacer

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: typing.Iterable[typing.Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection."""
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return CoalescingStream(stream, self._pacer)

    async def sleep(self, seconds: float) -> None:
        """Sleep for a time in seconds."""
        await anyio.sleep(seconds)
