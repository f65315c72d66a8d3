"""Engines of the platform with faults: they crash or send without end."""

from __future__ import annotations

import json
import select
import socket
import typing

import anyio
import anyio.abc
import anyio.to_thread
import h11

from support import listening

EVENTS = 3
"""Number of events in an answer."""
LATE_PART = 'late'
"""Part of a prompt on which every engine crashes after its first event."""

_STREAM_HEADERS = [
    ('Content-Type', 'text/event-stream'),
    ('Response-Stamp', 'mac'),
    ('Transfer-Encoding', 'chunked'),
]
_FLOOD_BYTES = 8 * 1024 * 1024
"""Length of a flood, in bytes. Without an end, a VM that fails the test would
hold the event loop for good."""
REPORT = {
    'queued': 0,
    'running': 0,
    'kvUsed': 0,
    'kvTotal': 30_000,
    'runs': [],
}
"""Load report of an idle engine."""


class CrashingEngine:
    """Streams short answers and crashes on a prompt part.

    A crashed engine has closed all connections and refuses new ones.

    Args:
        name: Name of the engine.
        deadly_part: Part of a prompt on which it crashes.
    """

    def __init__(self, name: str, deadly_part: str) -> None:
        self.name = name
        self.address = ''
        self.crashed = False
        self.answered: list[str] = []
        """Prompts that were answered completely."""
        self._deadly_part = deadly_part
        self._listening = anyio.CancelScope()

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until the engine crashes."""
        listener, self.address = await listening.listen()
        async with anyio.create_task_group() as connections:
            with self._listening:
                async with listener:
                    task_status.started()
                    await listener.serve(self._serve_connection, connections)
            # The connections end last, so that further ones are refused once
            # a caller sees the end of its own.
            connections.cancel_scope.cancel()

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            protocol = h11.Connection(h11.SERVER)
            try:
                while True:
                    request = await _read_request(protocol, stream)
                    if request is None:
                        return
                    await self._answer(protocol, stream, request)
                    protocol.start_next_cycle()
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                return

    async def _answer(
        self,
        protocol: h11.Connection,
        stream: anyio.abc.SocketStream,
        request: h11.Request,
    ) -> None:
        headers = {k.decode(): v.decode() for k, v in request.headers}
        if request.target == b'/v1/report':
            await _send(protocol, stream, _make_report())
            return
        head = [*_STREAM_HEADERS, ('Attempt-Id', headers['attempt-id'])]
        await _send(
            protocol,
            stream,
            [h11.Response(status_code=200, headers=head)],
        )
        await self._stream(protocol, stream, headers['prompt-prefix'])

    async def _stream(
        self,
        protocol: h11.Connection,
        stream: anyio.abc.SocketStream,
        prompt: str,
    ) -> None:
        """Send the body of an answer whose head has been sent."""
        if self._deadly_part in prompt:
            self.crashed = True
            self._listening.cancel()
            await anyio.sleep_forever()
        events = [
            h11.Data(data=b'id: %d\ndata: x\n\n' % number)
            for number in range(1, EVENTS + 1)
        ]
        if LATE_PART in prompt:
            await _send(protocol, stream, events[:1])
            self._listening.cancel()
            await anyio.sleep_forever()
        await _send(protocol, stream, [*events, h11.EndOfMessage()])
        self.answered.append(prompt)


class LeavingEngine(CrashingEngine):
    """Begins one stream, and refuses others as it is leaving.

    Args:
        name: Name of the engine.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name, '')
        self._begun = False
        self.moved = anyio.Event()
        """Set when it was asked to copy a run to another engine."""

    async def _answer(
        self,
        protocol: h11.Connection,
        stream: anyio.abc.SocketStream,
        request: h11.Request,
    ) -> None:
        if request.target == b'/v1/kv-move':
            self.moved.set()
        if request.target.startswith(b'/v1/'):
            await _send(protocol, stream, _make_report())
            return
        headers = {k.decode(): v.decode() for k, v in request.headers}
        head = [*_STREAM_HEADERS, ('Attempt-Id', headers['attempt-id'])]
        if self._begun:
            head += [('Server-Leaving', '1'), ('Not-Executed', '1')]
            refusal = h11.Response(status_code=503, headers=head)
            await _send(protocol, stream, [refusal, h11.EndOfMessage()])
            return
        self._begun = True
        event = h11.Data(data=b'id: 1\ndata: x\n\n')
        response = h11.Response(status_code=200, headers=head)
        await _send(protocol, stream, [response, event])
        await anyio.sleep_forever()


class FloodingEngine(CrashingEngine):
    """Streams bytes without an event until its caller closes.

    It sends from a thread of its own, so that it goes on while the event loop
    of the test is held.

    Args:
        name: Name of the engine.
        repeated: Bytes that it sends again and again.
    """

    def __init__(self, name: str, repeated: bytes) -> None:
        super().__init__(name, '')
        self.floods = 0
        """Number of streams that it has flooded."""
        self._block = repeated * (65536 // len(repeated))

    async def _stream(
        self,
        protocol: h11.Connection,
        stream: anyio.abc.SocketStream,
        prompt: str,
    ) -> None:
        self.floods += 1
        sock = stream.extra(anyio.abc.SocketAttribute.raw_socket).dup()
        await anyio.to_thread.run_sync(self._flood, sock)
        raise anyio.BrokenResourceError

    def _flood(self, sock: socket.socket) -> None:
        sent = 0
        with sock:
            while sent < _FLOOD_BYTES:
                select.select([], [sock], [], 1.0)
                try:
                    sent += sock.send(self._block)
                except BlockingIOError:
                    continue
                except OSError:
                    return


async def _read_request(
    protocol: h11.Connection, stream: anyio.abc.SocketStream
) -> h11.Request | None:
    request = None
    while True:
        match protocol.next_event():
            case h11.Request() as event:
                request = event
            case h11.EndOfMessage():
                return request
            case h11.ConnectionClosed():
                return None
            case h11.Data():
                pass
            case _:
                protocol.receive_data(await stream.receive())


async def _send(
    protocol: h11.Connection,
    stream: anyio.abc.SocketStream,
    events: list[typing.Any],
) -> None:
    for event in events:
        await stream.send(protocol.send(event) or b'')


async def send_head(
    protocol: h11.Connection, stream: anyio.abc.SocketStream, attempt: str
) -> None:
    """Send the head of a stream."""
    headers = [*_STREAM_HEADERS, ('Attempt-Id', attempt)]
    head = h11.Response(status_code=200, headers=headers)
    await _send(protocol, stream, [head])


async def send_event(
    protocol: h11.Connection, stream: anyio.abc.SocketStream, number: int
) -> None:
    """Send one event of a stream."""
    data = b'id: %d\ndata: x\n\n' % number
    await _send(protocol, stream, [h11.Data(data=data)])


async def send_end(
    protocol: h11.Connection, stream: anyio.abc.SocketStream
) -> None:
    """End a stream."""
    await _send(protocol, stream, [h11.EndOfMessage()])


async def send_json(
    protocol: h11.Connection,
    stream: anyio.abc.SocketStream,
    content: dict[str, typing.Any],
) -> None:
    """Send a whole answer in JSON."""
    await _send(protocol, stream, _make_answer(content))


def _make_report() -> list[typing.Any]:
    return _make_answer(REPORT)


def _make_answer(content: dict[str, typing.Any]) -> list[typing.Any]:
    body = json.dumps(content).encode()
    headers = [('Content-Length', str(len(body)))]
    return [
        h11.Response(status_code=200, headers=headers),
        h11.Data(data=body),
        h11.EndOfMessage(),
    ]
