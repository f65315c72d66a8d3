"""Connections of callers that count what the process holds for them."""

from __future__ import annotations

import asyncio
import fcntl
import json
import struct
import termios
import typing

import anyio
import h11
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import h11_impl

from laburnumstep import core
from laburnumstep.transport import _caller_budget

if typing.TYPE_CHECKING:
    from starlette import types

MAX_REQUEST_READ_BYTES = 16384
"""Most bytes of a request to read at once. They are decoded before other
tasks run, which takes about 30 ms if they are chunks of one byte."""
MAX_UNREAD_BYTES = 16384
"""Bytes of an answer that wait in the process before its source is paused.
Streams that are not read hold several times that."""
CHECK_SECONDS = 1.0
"""Interval of the checks for connections that have stalled, in seconds."""
REFUSAL_SECONDS = 5.0
"""How long a refused caller may take to accept the refusal, in seconds."""
RETRY_AFTER_SECONDS = 1.0
"""When a refused caller may send its request again, in seconds."""
_HOLDER = 'laburnumstep.holder'

_LOGGER = core.get_logger('callers')


class RequestShed(Exception):
    """The request was refused before its body was complete.

    Args:
        status: HTTP status of the refusal.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f'refused with status {status}')
        self.status = status


class CallerGuard:
    """Applies the decisions of a caller budget to connections.

    Args:
        budget: Decides which connections are slowed, refused or closed.
        clock: Source of the current time.
        find_timeouts: Returns the timeouts in force.
    """

    def __init__(
        self,
        budget: _caller_budget.CallerBudget,
        clock: core.Clock,
        find_timeouts: typing.Callable[[], _caller_budget.CallerTimeouts],
    ) -> None:
        self.budget = budget
        self._clock = clock
        self._find_timeouts = find_timeouts
        self._connections: dict[_caller_budget.Holder, GuardedConnection] = {}

    def now(self) -> float:
        """Return the time, in epoch seconds."""
        return self._clock.now()

    def open(
        self, connection: GuardedConnection, descriptor: int
    ) -> _caller_budget.Holder:
        """Add a connection; it may be closed at once."""
        holder, actions = self.budget.open(self.now(), descriptor)
        self._connections[holder] = connection
        self.apply(actions)
        return holder

    def close(self, holder: _caller_budget.Holder) -> None:
        """Remove a connection that was closed."""
        del self._connections[holder]
        self.apply(self.budget.close(holder, self.now()))

    def apply(self, actions: list[_caller_budget.Action]) -> None:
        """Carry out decisions."""
        for action in actions:
            connection = self._connections.get(action.holder)
            if connection is not None:
                _apply_action(action, connection)

    async def run(self) -> None:
        """Check for stalled connections until cancelled."""
        while True:
            await anyio.sleep(CHECK_SECONDS)
            for connection in list(self._connections.values()):
                connection.check()
            self.apply(self.budget.check(self.now(), self._find_timeouts()))

    def wrap(self, app: types.ASGIApp) -> types.ASGIApp:
        """Return an application that refuses requests without room."""

        async def serve(
            scope: types.Scope, receive: types.Receive, send: types.Send
        ) -> None:
            holder = scope.get('state', {}).get(_HOLDER)
            if holder is None:
                await app(scope, receive, send)
                return
            connection = self._connections.get(holder)
            may_run, actions = self.budget.begin_request(holder, self.now())
            self.apply(actions)
            try:
                if not may_run:
                    raise RequestShed(503)
                await app(scope, _Receiver(receive, connection), send)
            except RequestShed as error:
                _LOGGER.info(
                    'caller refused; path=%s status=%d held=%d',
                    scope['path'],
                    error.status,
                    self.budget.held_bytes,
                )
                await _send_refusal(send, error.status)
            finally:
                self.budget.end_request(holder)

        return serve


class _Receiver:
    """Receives a request until it is refused.

    Args:
        receive: Receives a message from the server.
        connection: The connection of the request.
    """

    def __init__(
        self, receive: types.Receive, connection: GuardedConnection | None
    ) -> None:
        self._receive = receive
        self._connection = connection

    async def __call__(self) -> types.Message:
        message = await self._receive()
        connection = self._connection
        if connection is not None and connection.refusal is not None:
            raise RequestShed(connection.refusal)
        return message


class _HeldFlow(flow_control.FlowControl):
    """Flow control that can hold reading whatever the server asks."""

    is_held = False

    def hold(self) -> None:
        """Stop reading until `release` is called."""
        self.is_held = True
        super().pause_reading()

    def release(self) -> None:
        """Read again."""
        self.is_held = False
        super().resume_reading()

    def resume_reading(self) -> None:
        """Read again unless reading is held."""
        if not self.is_held:
            super().resume_reading()


class CallerProtocol(h11_impl.H11Protocol):
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


class GuardedConnection(CallerProtocol):
    """A caller's connection that reports its bytes to a guard.

    A request that was sent ahead begins only when the answer before it has
    been accepted, so that a caller that reads nothing has one answer at most.

    Args:
        guard: Receives the bytes and applies decisions.
        **arguments: Arguments of uvicorn's protocol.
    """

    def __init__(self, guard: CallerGuard, **arguments: typing.Any) -> None:
        super().__init__(**arguments)
        self._guard = guard
        self._received_bytes = 0
        self._refused_at: float | None = None
        self._deferred: h11_impl.RequestResponseCycle | None = None
        self._held_flow: _HeldFlow
        self._holder: _caller_budget.Holder
        self.refusal: int | None = None
        """Status with which the incomplete request is refused, or None."""

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Count the connection."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(MAX_UNREAD_BYTES)
        self.flow = self._held_flow = _HeldFlow(transport)
        self._holder = self._guard.open(self, self._find_descriptor())
        self.app_state = {**self.app_state, _HOLDER: self._holder}

    def connection_lost(self, exc: Exception | None) -> None:
        """Return what the connection held to the budget."""
        super().connection_lost(exc)
        self._guard.close(self._holder)

    def data_received(self, data: bytes) -> None:
        """Count and decode bytes of the caller."""
        if self.refusal is not None:
            return
        self._received_bytes += len(data)
        super().data_received(data)
        if self._is_discarding():
            self._received_bytes = 0
        self._report()

    def on_response_complete(self) -> None:
        """Begin the next request once the peer has accepted the answer."""
        self._received_bytes = len(self.conn.trailing_data[0])
        if self.flow.write_paused and not self.transport.is_closing():
            self._deferred = self.cycle
        else:
            super().on_response_complete()
        self._report()

    def pause_writing(self) -> None:
        """Count the answer that waits for the peer."""
        super().pause_writing()
        self.report_output()

    def resume_writing(self) -> None:
        """Continue with the answer or with the next request."""
        super().resume_writing()
        self.report_output()
        deferred, self._deferred = self._deferred, None
        if deferred is not None and deferred is self.cycle:
            super().on_response_complete()
            self._report()

    def report_output(self) -> None:
        """Report what the peer has not accepted."""
        waiting = self.transport.get_write_buffer_size()
        unaccepted = waiting + self._count_kernel_bytes()
        self._guard.apply(
            self._guard.budget.record_output(
                self._holder, waiting, unaccepted, self._guard.now()
            )
        )

    def check(self) -> None:
        """Report an answer that waits, and end a refusal that waits."""
        if self._holder.output_bytes or self.transport.get_write_buffer_size():
            self.report_output()
        if self._refused_at is not None:
            if self._guard.now() - self._refused_at > REFUSAL_SECONDS:
                self.abort()

    def pause_request(self) -> None:
        """Stop reading the request."""
        self._held_flow.hold()

    def resume_request(self) -> None:
        """Read the request again."""
        self._held_flow.release()

    def refuse(self, status: int) -> None:
        """Refuse the request whose body is incomplete."""
        self.refusal = status
        self._refused_at = self._guard.now()
        self._held_flow.hold()
        if self.cycle is not None:
            self.cycle.body = bytearray()
            self.cycle.message_event.set()

    def abort(self) -> None:
        """Close the connection at once."""
        self.transport.abort()

    def _report(self) -> None:
        budget = self._guard.budget
        self._guard.apply(
            budget.record(
                self._holder,
                self._find_phase(),
                self._received_bytes,
                self._holder.output_bytes,
                self._guard.now(),
            )
        )

    def _is_discarding(self) -> bool:
        """Return whether the rest of an answered request is dropped."""
        is_answered = self.cycle is not None and self.cycle.response_complete
        return is_answered and self.conn.their_state is h11.SEND_BODY

    def _find_phase(self) -> _caller_budget.Phase:
        cycle = self.cycle
        if self._is_discarding():
            return _caller_budget.Phase.BODY
        if cycle is None or cycle.response_complete:
            if self._received_bytes:
                return _caller_budget.Phase.HEAD
            return _caller_budget.Phase.IDLE
        if cycle.more_body:
            return _caller_budget.Phase.BODY
        return _caller_budget.Phase.RUNNING

    def _find_descriptor(self) -> int:
        sock = self.transport.get_extra_info('socket')
        return sock.fileno() if sock is not None else 0

    def _count_kernel_bytes(self) -> int:
        """Return the bytes that the kernel holds for the peer."""
        try:
            packed = fcntl.ioctl(
                self._find_descriptor(), termios.TIOCOUTQ, bytes(4)
            )
        except (OSError, ValueError):
            return 0
        return int(struct.unpack('i', packed)[0])


def _apply_action(
    action: _caller_budget.Action, connection: GuardedConnection
) -> None:
    match action:
        case _caller_budget.PauseReading():
            connection.pause_request()
        case _caller_budget.ResumeReading():
            connection.resume_request()
        case _caller_budget.Refuse(status=status):
            connection.refuse(status)
        case _caller_budget.Close(reason=reason):
            _LOGGER.info(
                'caller closed; reason="%s" peer=%s', reason, connection.client
            )
            connection.abort()
        case _:
            typing.assert_never(action)


async def _send_refusal(send: types.Send, status: int) -> None:
    headers = [
        (b'content-type', b'application/json'),
        (b'connection', b'close'),
    ]
    if status == 503:
        headers.append((b'retry-after', b'%.3f' % RETRY_AFTER_SECONDS))
    body = json.dumps({'error': {'code': 'overloaded'}}).encode()
    headers.append((b'content-length', b'%d' % len(body)))
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': body})
