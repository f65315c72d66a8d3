"""HTTP/1.1 client connection that carries one exchange after another.

It uses h11 rather than httpcore, because a relay needs two facts that
httpcore hides: whether bytes follow a complete response, and whether any
byte of a request was written.
"""

from __future__ import annotations

import typing

import anyio
import attrs
import h11

from laburnumstep.transport import _body_budget
from laburnumstep.transport import _client
from laburnumstep.transport import _sockets
from laburnumstep.transport import _turns

if typing.TYPE_CHECKING:
    from laburnumstep import core

MAX_INFORMATIONAL_RESPONSES = 16
"""Most responses with status 1xx before the final one. A peer in trouble may
send them without end."""

MAX_JOINED_BYTES = 65536
"""Bytes up to which a body is sent in one piece with its head."""

Headers = list[tuple[bytes, bytes]]


@attrs.frozen
class RequestHead:
    """Request line and headers of a request."""

    method: bytes
    """HTTP method."""
    target: bytes
    """Path and query, as sent."""
    headers: Headers
    """Headers without `Content-Length`, which `HttpConnection.send` adds."""


@attrs.frozen
class ResponseHead:
    """Status and headers of a response."""

    status: int
    """HTTP status."""
    headers: Headers
    """Headers with names in lower case."""

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None.

        Args:
            name: Name of the header in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None


class HttpConnection:
    """A connection that carries one request at a time.

    Args:
        stream: The connected socket.
        clock: Measures deadlines.
    """

    def __init__(self, stream: _sockets.TcpStream, clock: core.Clock) -> None:
        self._stream = stream
        self._clock = clock
        self._protocol = h11.Connection(h11.CLIENT)
        self._closed_by_peer = False
        self._requests = 0
        self._received_bytes = 0
        self._turn = _turns.Turn()

    @classmethod
    async def open(
        cls, address: str, clock: core.Clock, deadline: float
    ) -> HttpConnection:
        """Open a connection to a peer.

        Args:
            address: IP address and port.
            clock: Measures deadlines.
            deadline: When to give up, in epoch seconds.

        Raises:
            ConnectFailed: The connection could not be opened.
        """
        try:
            with anyio.fail_after(max(0.0, deadline - clock.now())):
                stream = await _sockets.TcpStream.connect(address)
        except (
            OSError,
            OverflowError,
            TimeoutError,
            ValueError,
        ) as error:
            message = f'{address}: {type(error).__name__}: {error}'
            if isinstance(error, ConnectionRefusedError):
                raise _client.ConnectRefused(message) from error
            raise _client.ConnectFailed(message) from error
        return cls(stream, clock)

    @property
    def was_reused(self) -> bool:
        """Whether the connection has carried more than one request."""
        return self._requests > 1

    @property
    def received_bytes(self) -> int:
        """Bytes received since the last request was sent.

        They include the head and the framing of the body, and a chunk counts
        `CHUNK_OVERHEAD_BYTES` more.
        """
        return self._received_bytes

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request.

        It cannot if bytes follow a complete response, because they belong
        to no request, or if the peer has closed its side.
        """
        idle = (
            self._protocol.our_state is h11.IDLE
            and self._protocol.their_state is h11.IDLE
        )
        return idle and not self._stream.is_readable

    async def send(
        self, head: RequestHead, body: bytes, deadline: float
    ) -> None:
        """Send a request.

        Args:
            head: Request line and headers.
            body: The whole body.
            deadline: When to give up, in epoch seconds.

        Raises:
            ExchangeFailed: The peer may have received the request.
            ValueError: The request is malformed.
        """
        self._requests += 1
        self._received_bytes = 0
        headers = list(head.headers)
        if body or head.method not in (b'GET', b'HEAD', b'DELETE'):
            headers.append((b'Content-Length', b'%d' % len(body)))
        try:
            request = h11.Request(
                method=head.method, target=head.target, headers=headers
            )
            parts = [self._protocol.send(request) or b'']
            if body:
                content = self._protocol.send(h11.Data(body)) or b''
                # A large body is not copied: many at once take much memory.
                if len(body) > MAX_JOINED_BYTES:
                    parts.append(content)
                else:
                    parts[0] += content
            self._protocol.send(h11.EndOfMessage())
            with anyio.fail_after(self._compute_timeout(deadline)):
                for part in parts:
                    await self._stream.send(part)
        except h11.LocalProtocolError as error:
            raise ValueError(f'the request is malformed: {error}') from error
        except (OSError, TimeoutError) as error:
            raise self._wrap_error(
                'the request was not sent completely', error
            ) from error

    async def read_head(self, deadline: float) -> ResponseHead:
        """Return the status and headers of the response.

        Raises:
            ExchangeFailed: No valid response was received.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._read_event(deadline)
            match event:
                case h11.Response():
                    _client.check_status(event.status_code, 'the peer')
                    headers = [(k, v) for k, v in event.headers]
                    return ResponseHead(event.status_code, headers)
                case h11.InformationalResponse():
                    continue
                case _:
                    raise _client.ExchangeFailed('no response was received')
        raise _client.ExchangeFailed(
            f'more than {MAX_INFORMATIONAL_RESPONSES} informational responses'
        )

    async def read_chunk(self, deadline: float) -> bytes | None:
        """Return the next bytes of the body, or None at its end.

        Raises:
            ExchangeFailed: The body is incomplete.
        """
        event = await self._read_event(deadline)
        match event:
            case h11.Data():
                return bytes(event.data)
            case h11.EndOfMessage():
                self._start_next_cycle()
                return None
            case _:
                raise _client.ExchangeFailed('the body is incomplete')

    async def read_body(
        self,
        limit: int,
        deadline: float,
        budget: _body_budget.BodyBudget | None = None,
    ) -> bytes:
        """Return the whole body.

        Args:
            limit: Largest accepted body, in bytes. It bounds the framing too:
                a body of small chunks consists mostly of framing.
            deadline: When to give up, in epoch seconds.
            budget: Bounds this body and others that are read meanwhile; None
                for no bound but the limit.

        Raises:
            ExchangeFailed: The body is incomplete, exceeds the limit, or was
                dropped because the budget was exceeded.
        """
        budget = budget or _body_budget.BodyBudget(limit + 1)
        max_received = self._received_bytes + limit + _sockets.MAX_READ_BYTES
        body = budget.open()
        try:
            while True:
                chunk = await self.read_chunk(deadline)
                if chunk is not None:
                    budget.extend(body, chunk)
                if body.is_dropped:
                    message = 'bodies that are read exceed the memory budget'
                    raise _client.ExchangeFailed(message)
                if chunk is None:
                    return bytes(body.data)
                size = len(body.data)
                if size > limit or self._received_bytes > max_received:
                    message = f'the body is longer than {limit} bytes'
                    raise _client.ExchangeFailed(message)
        finally:
            budget.close(body)

    def close(self) -> None:
        """Close the connection immediately."""
        self._stream.close()

    async def _read_event(self, deadline: float) -> typing.Any:
        try:
            while True:
                # Reading and decoding do not wait while bytes are there. A
                # peer that never stops sending would hold the event loop,
                # and no deadline of any task would take effect.
                if self._turn.is_over:
                    with anyio.fail_after(self._compute_timeout(deadline)):
                        await self._turn.yield_to_others()
                event = self._protocol.next_event()
                if event is not h11.NEED_DATA:
                    self._turn.record_item()
                    self._received_bytes += _turns.CHUNK_OVERHEAD_BYTES
                    return event
                with anyio.fail_after(self._compute_timeout(deadline)):
                    data = await self._stream.receive()
                self._turn.record_bytes(len(data))
                self._received_bytes += len(data)
                self._closed_by_peer = not data
                self._protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise self._wrap_error(
                'the response is malformed', error
            ) from error
        except (OSError, TimeoutError) as error:
            raise self._wrap_error(
                'the response is incomplete', error
            ) from error

    def _wrap_error(
        self, summary: str, error: Exception
    ) -> _client.ExchangeFailed:
        closed = self._closed_by_peer or isinstance(error, ConnectionError)
        if isinstance(error, TimeoutError) and error.errno is None:
            # With an error number it is the end of the connection, whose
            # peer has not acknowledged what was sent.
            return _client.ExchangeTimedOut(f'{summary}: no data in time')
        return _client.ExchangeFailed(
            f'{summary}: {type(error).__name__}: {error}', closed
        )

    def _start_next_cycle(self) -> None:
        trailing_data, closed = self._protocol.trailing_data
        complete = (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )
        if complete and not trailing_data and not closed:
            self._protocol.start_next_cycle()

    def _compute_timeout(self, deadline: float) -> float:
        return max(0.0, deadline - self._clock.now())


async def is_refusing(
    address: str, clock: core.Clock, deadline: float
) -> bool:
    """Return whether a peer refuses connections.

    Args:
        address: IP address and port.
        clock: Measures the deadline.
        deadline: When to give up, in epoch seconds. A peer that does not
            answer until then is not refusing.
    """
    try:
        connection = await HttpConnection.open(address, clock, deadline)
    except _client.ConnectRefused:
        return True
    except _client.ConnectFailed:
        return False
    connection.close()
    return False
