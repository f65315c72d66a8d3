"""Splits a target's event stream into complete events."""

from __future__ import annotations

import typing

from laburnumstep.targets import relay
from laburnumstep import transport

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
MAX_EVENT_BYTES = 256 * 1024
"""Size limit of one event, in bytes."""
MAX_BYTES_BETWEEN_EVENTS = 2 * MAX_EVENT_BYTES
"""Limit on what is received from one event to the next, in bytes. It includes
blank lines and the framing of the body."""


class EventReader:
    """Reads the events of one response; implements `relay.EventSource`.

    Args:
        connection: A connection whose response head has been read.
        release: Called at the end of the stream, when the connection can
            serve another request.
        tokens_per_event: Number of tokens in one event.
    """

    def __init__(
        self,
        connection: transport.HttpConnection,
        release: typing.Callable[[], None],
        tokens_per_event: int,
    ) -> None:
        self._connection = connection
        self._release = release
        self._tokens_per_event = tokens_per_event
        self._incomplete = bytearray()
        self._bytes_at_last_event = connection.received_bytes
        self._ended = False

    async def read(self, deadline: float) -> list[relay.StreamEvent] | None:
        """Return the next events, or None at the end of the stream.

        Raises:
            EventsDelayed: No complete event arrived before the deadline.
            StreamBroken: The connection failed, too many bytes arrived
                without an event, or an event was cut off by the end of the
                stream.
        """
        while True:
            try:
                chunk = await self._connection.read_chunk(deadline)
            except transport.ExchangeTimedOut as error:
                raise relay.EventsDelayed from error
            except transport.ExchangeFailed as error:
                raise relay.StreamBroken(str(error), error.closed) from error
            if chunk is None:
                self._finish()
                return None
            events = self._split_events(chunk)
            received = self._connection.received_bytes
            if events:
                self._bytes_at_last_event = received
                return events
            if received - self._bytes_at_last_event > MAX_BYTES_BETWEEN_EVENTS:
                raise relay.StreamBroken('too many bytes without an event')

    def close(self) -> None:
        """Close the connection unless the stream has ended.

        The target stops the run when its connection is closed.
        """
        if not self._ended:
            self._ended = True
            self._connection.close()

    def _finish(self) -> None:
        if self._incomplete:
            raise relay.StreamBroken(
                'the stream ended in the middle of an event', closed=True
            )
        self._ended = True
        self._release()

    def _split_events(self, chunk: bytes) -> list[relay.StreamEvent]:
        # Only the last byte can begin an end that the chunk completes.
        # Searching all bytes for each chunk would take quadratic time.
        searched = max(0, len(self._incomplete) - 1)
        self._incomplete += chunk
        end = self._incomplete.rfind(_EVENT_END, searched)
        if end >= 0:
            end += len(_EVENT_END)
            complete = bytes(self._incomplete[:end])
            del self._incomplete[:end]
        else:
            complete = b''
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise relay.StreamBroken('an event exceeds the size limit')
        return [
            relay.StreamEvent(
                event + _EVENT_END, _find_id(event), self._tokens_per_event
            )
            for event in complete.split(_EVENT_END)
            if event.strip()
        ]


def _find_id(event: bytes) -> bytes | None:
    for line in event.split(b'\n'):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip()
    return None
