"""A requester of an engine's stand-in that runs on a manual clock."""

from __future__ import annotations

import contextlib
import json
import typing

import anyio
import anyio.lowlevel
import httpcore

if typing.TYPE_CHECKING:
    import collections.abc

    from laburnumstep import core

_PATIENCE_SECONDS = 10.0
"""Bound on real time, so that a lost event fails instead of hanging."""
_CHECKPOINTS = 20
"""Turns of the loop that let streams act between two steps."""


class StreamReader:
    """Reads one event stream and keeps a short form of its events.

    The short form of a token is its position, of other events their kind
    and code.
    """

    def __init__(self) -> None:
        self.status = 0
        self.events: list[str] = []
        self.tokens: dict[int, str] = {}
        self.started = anyio.Event()
        self.ended = anyio.Event()
        self.ended_at = 0.0

    async def read(
        self, clock: core.Clock, method: str, url: str, body: typing.Any
    ) -> None:
        """Read until the stream ends or breaks."""
        content = None if body is None else json.dumps(body).encode()
        try:
            async with (
                httpcore.AsyncConnectionPool() as pool,
                pool.stream(method, url, content=content) as response,
            ):
                self.status = response.status
                self.started.set()
                rest = b''
                async for chunk in response.aiter_stream():
                    *blocks, rest = (rest + chunk).split(b'\n\n')
                    for block in blocks:
                        self._add(block.decode())
        except (httpcore.NetworkError, httpcore.ProtocolError):
            self.events.append('cut')
        self.ended_at = clock.now()
        self.started.set()
        self.ended.set()

    def _add(self, block: str) -> None:
        fields = dict(line.split(': ', 1) for line in block.split('\n'))
        data = json.loads(fields['data'])
        if 'id' in fields:
            position = fields['id'].rpartition(':')[2]
            self.events.append(position)
            self.tokens[int(position)] = data
        else:
            code = data.get('code')
            self.events.append(fields['event'] + (f':{code}' if code else ''))


@contextlib.asynccontextmanager
async def reading(
    clock: core.Clock, method: str, url: str, body: typing.Any = None
) -> collections.abc.AsyncIterator[StreamReader]:
    """Read a stream while the context is open."""
    reader = StreamReader()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reader.read, clock, method, url, body)
        with anyio.fail_after(_PATIENCE_SECONDS):
            await reader.started.wait()
        yield reader
        tasks.cancel_scope.cancel()


async def pump(
    clock: core.ManualClock, step_seconds: float, until: anyio.Event
) -> None:
    """Move the clock step by step until an event happens."""
    with anyio.fail_after(_PATIENCE_SECONDS):
        while not until.is_set():
            clock.advance(step_seconds)
            for _ in range(_CHECKPOINTS):
                await anyio.lowlevel.checkpoint()


async def pass_time(
    clock: core.ManualClock, step_seconds: float, seconds: float
) -> None:
    """Move the clock step by step for a time."""
    for _ in range(round(seconds / step_seconds)):
        clock.advance(step_seconds)
        for _ in range(_CHECKPOINTS):
            await anyio.lowlevel.checkpoint()


async def exchange(
    method: str, url: str, body: typing.Any = None
) -> tuple[int, typing.Any]:
    """Make one request and return status and decoded body."""
    content = None if body is None else json.dumps(body).encode()
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(method, url, content=content)
    return response.status, json.loads(response.content)
