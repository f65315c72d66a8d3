"""Splits a server's event stream into whole events."""

from __future__ import annotations

import typing

from laburnumstep.targets import relay
from laburnumstep import transport

_END = b'\n\n'
_ID = b'id:'
MAX_EVENT_BYTES = 256 * 1024
"""Longest accepted event, in bytes."""


class EventReader:
    """Events of one response, as `relay.EventSource`.

    Args:
        connection: The connection, after the head of the response.
        release: Called with the connection when the stream is complete.
        tokens_per_event: Tokens that one event carries.
    """

    def __init__(
        self,
        connection: transport.HttpConnection,
        release: typing.Callable[[], None],
        tokens_per_event: int,
    ) -> None:
        self._connection = connection
        self._release = release
        self._tokens = tokens_per_event
        self._rest = b''
        self._ended = False

    async def read(self, deadline: float) -> list[relay.StreamEvent] | None:
        """Return the next events, or None at the end of the stream.

        Raises:
            StreamBroken: No whole event came before the deadline, or the
                connection ended.
        """
        while True:
            try:
                chunk = await self._connection.read_chunk(deadline)
            except transport.ExchangeFailed as error:
                raise relay.StreamBroken(str(error)) from error
            if chunk is None:
                self._finish()
                return None
            events = self._split(chunk)
            if events:
                return events

    def close(self) -> None:
        """End the run if it still goes on."""
        if not self._ended:
            self._ended = True
            self._connection.close()

    def _finish(self) -> None:
        if self._rest:
            raise relay.StreamBroken('the stream ended inside an event')
        self._ended = True
        self._release()

    def _split(self, chunk: bytes) -> list[relay.StreamEvent]:
        data = self._rest + chunk
        *whole, self._rest = data.split(_END)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise relay.StreamBroken('an event is too long')
        return [
            relay.StreamEvent(event + _END, _find_id(event), self._tokens)
            for event in whole
        ]


def _find_id(event: bytes) -> bytes | None:
    for line in event.split(b'\n'):
        if line.startswith(_ID):
            return line[len(_ID) :].strip()
    return None
