"""One HTTP exchange after another on a connection to one peer.

The connection is kept by h11 and not by httpcore, because a relay has to
know two things that httpcore hides: whether bytes follow a complete answer,
and whether any byte of a request was written.
"""

from __future__ import annotations

import typing

import anyio
import attrs
import h11

from laburnumstep.transport import _client
from laburnumstep.transport import _sockets

if typing.TYPE_CHECKING:
    from laburnumstep import core

Headers = list[tuple[bytes, bytes]]


@attrs.frozen
class RequestHead:
    """The first part of a request."""

    method: bytes
    """HTTP method."""
    target: bytes
    """Path with its query, as it is sent."""
    headers: Headers
    """Headers; `Content-Length` is added where there is a body."""


@attrs.frozen
class ResponseHead:
    """The first part of a response."""

    status: int
    """HTTP status."""
    headers: Headers
    """Headers, names in lower case."""

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header, its name in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class HttpConnection:
    """A connection that carries one request at a time.

    Args:
        stream: The open socket.
        clock: Compared with deadlines.
    """

    def __init__(self, stream: _sockets.TcpStream, clock: core.Clock) -> None:
        self._stream = stream
        self._clock = clock
        self._protocol = h11.Connection(h11.CLIENT)

    @classmethod
    async def open(
        cls, address: str, clock: core.Clock, deadline: float
    ) -> HttpConnection:
        """Connect to a peer.

        Args:
            address: IP number and port.
            clock: Compared with deadlines.
            deadline: When to give up, in epoch seconds.

        Raises:
            ConnectFailed: The peer was not reached.
        """
        try:
            with anyio.fail_after(max(0.0, deadline - clock.now())):
                stream = await _sockets.TcpStream.connect(address)
        except (OSError, TimeoutError, ValueError) as error:
            message = f'{address}: {type(error).__name__}: {error}'
            raise _client.ConnectFailed(message) from error
        return cls(stream, clock)

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on it.

        Bytes behind a complete answer belong to no request, and a peer
        that has closed its side answers nothing more.
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

        Raises:
            ExchangeFailed: The peer may have seen the request.
        """
        headers = list(head.headers)
        if body or head.method not in (b'GET', b'HEAD', b'DELETE'):
            headers.append((b'Content-Length', b'%d' % len(body)))
        try:
            request = h11.Request(
                method=head.method, target=head.target, headers=headers
            )
            data = self._protocol.send(request) or b''
            if body:
                data += self._protocol.send(h11.Data(body)) or b''
            data += self._protocol.send(h11.EndOfMessage()) or b''
            with anyio.fail_after(self._get_remaining(deadline)):
                await self._stream.send(data)
        except h11.LocalProtocolError as error:
            raise ValueError(f'the request is malformed: {error}') from error
        except (OSError, TimeoutError) as error:
            raise _fail('the request was not sent', error) from error

    async def read_head(self, deadline: float) -> ResponseHead:
        """Wait for the first part of the response.

        Raises:
            ExchangeFailed: No response came.
        """
        while True:
            event = await self._read_event(deadline)
            match event:
                case h11.Response():
                    headers = [(k, v) for k, v in event.headers]
                    return ResponseHead(event.status_code, headers)
                case h11.InformationalResponse():
                    continue
                case _:
                    raise _client.ExchangeFailed('no response came')

    async def read_chunk(self, deadline: float) -> bytes | None:
        """Return the next bytes of the body, or None at its end.

        Raises:
            ExchangeFailed: The body broke off.
        """
        event = await self._read_event(deadline)
        match event:
            case h11.Data():
                return bytes(event.data)
            case h11.EndOfMessage():
                self._finish()
                return None
            case _:
                raise _client.ExchangeFailed('the body broke off')

    async def read_body(self, limit: int, deadline: float) -> bytes:
        """Return the whole body.

        Raises:
            ExchangeFailed: The body broke off or is longer than the limit.
        """
        body = b''
        while True:
            chunk = await self.read_chunk(deadline)
            if chunk is None:
                return body
            body += chunk
            if len(body) > limit:
                raise _client.ExchangeFailed(
                    f'the body is longer than {limit} bytes'
                )

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.close()

    async def _read_event(self, deadline: float) -> typing.Any:
        try:
            while True:
                event = self._protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
                with anyio.fail_after(self._get_remaining(deadline)):
                    data = await self._stream.receive()
                self._protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise _fail('the response is malformed', error) from error
        except (OSError, TimeoutError) as error:
            raise _fail('the response broke off', error) from error

    def _finish(self) -> None:
        trailing, closed = self._protocol.trailing_data
        done = (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )
        if done and not trailing and not closed:
            self._protocol.start_next_cycle()

    def _get_remaining(self, deadline: float) -> float:
        return max(0.0, deadline - self._clock.now())


def _fail(what: str, error: Exception) -> _client.ExchangeFailed:
    return _client.ExchangeFailed(f'{what}: {type(error).__name__}: {error}')
