"""Client for an engine stand-in that runs on a manual clock."""

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

_TIMEOUT_SECONDS = 10.0
"""Limit in real time; a missing event fails the test and does not block it."""
_CHECKPOINTS_PER_STEP = 20
"""Turns of the event loop between two steps of the clock, in which streams
handle the step.
"""


class StreamReader:
    """Reads one event stream and records its events in a short form.

    The short form of a token is its position; that of another event is its
    kind, with its error code if it has one. A broken stream adds `cut`.
    """

    def __init__(self) -> None:
        self.status = 0
        """Status of the response; 0 before the response."""
        self.events: list[str] = []
        """Short forms of the events, in the order of their arrival."""
        self.tokens: dict[int, str] = {}
        """Data of the token events, by position."""
        self.started = anyio.Event()
        """Set when the response headers have arrived or the request failed."""
        self.ended = anyio.Event()
        """Set when the stream has ended."""
        self.ended_at = 0.0
        """Time of the end, in seconds of the clock."""

    async def read(
        self, clock: core.Clock, method: str, url: str, body: typing.Any
    ) -> None:
        """Send the request and read until the stream ends or breaks."""
        content = None if body is None else json.dumps(body).encode()
        try:
            async with (
                httpcore.AsyncConnectionPool() as pool,
                pool.stream(method, url, content=content) as response,
            ):
                self.status = response.status
                self.started.set()
                incomplete = b''
                async for chunk in response.aiter_stream():
                    *blocks, incomplete = (incomplete + chunk).split(b'\n\n')
                    for block in blocks:
                        self._record_event(block.decode())
        except (httpcore.NetworkError, httpcore.ProtocolError):
            self.events.append('cut')
        self.ended_at = clock.now()
        self.started.set()
        self.ended.set()

    def _record_event(self, block: str) -> None:
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
async def read_stream(
    clock: core.Clock, method: str, url: str, body: typing.Any = None
) -> collections.abc.AsyncIterator[StreamReader]:
    """Read a stream in a task while the context is open.

    The context opens when the response headers have arrived.
    """
    reader = StreamReader()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reader.read, clock, method, url, body)
        with anyio.fail_after(_TIMEOUT_SECONDS):
            await reader.started.wait()
        yield reader
        tasks.cancel_scope.cancel()


async def advance_until(
    clock: core.ManualClock, step_seconds: float, until: anyio.Event
) -> None:
    """Advance the clock in steps until an event is set.

    Raises:
        TimeoutError: If it is not set within `_TIMEOUT_SECONDS`.
    """
    with anyio.fail_after(_TIMEOUT_SECONDS):
        while not until.is_set():
            clock.advance(step_seconds)
            for _ in range(_CHECKPOINTS_PER_STEP):
                await anyio.lowlevel.checkpoint()


async def advance_for(
    clock: core.ManualClock, step_seconds: float, seconds: float
) -> None:
    """Advance the clock in steps by `seconds` in total."""
    for _ in range(round(seconds / step_seconds)):
        clock.advance(step_seconds)
        for _ in range(_CHECKPOINTS_PER_STEP):
            await anyio.lowlevel.checkpoint()


async def send_request(
    method: str, url: str, body: typing.Any = None
) -> tuple[int, typing.Any]:
    """Send one request and return the status and the decoded JSON body."""
    content = None if body is None else json.dumps(body).encode()
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(method, url, content=content)
    return response.status, json.loads(response.content)
