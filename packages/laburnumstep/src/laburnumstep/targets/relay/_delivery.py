"""Passes the events of a stream on to its caller."""

from __future__ import annotations

import typing

from laburnumstep.targets.relay import _positions

if typing.TYPE_CHECKING:
    from laburnumstep import core
    from laburnumstep.targets.relay import _ports


class Delivery:
    """The part of a stream that its caller has received.

    Args:
        request: The request.
        sink: Receives the response.
        clock: Clock for measurements.
    """

    def __init__(
        self,
        request: _ports.RelayRequest,
        sink: _ports.AnswerSink,
        clock: core.Clock,
    ) -> None:
        self._sink = sink
        self._clock = clock
        self._position = request.position
        self._first_reply: _ports.Streaming | None = None
        self._begun = False
        self._tokens = 0
        self._delivered_at = request.arrived_at
        self._first_event_seconds = 0.0
        self._longest_pause = 0.0

    @property
    def position(self) -> bytes | None:
        """Position of the last event, or None."""
        return self._position

    @property
    def tokens(self) -> int:
        """Number of tokens in the events passed on."""
        return self._tokens

    @property
    def begun(self) -> bool:
        """Whether the response has begun."""
        return self._begun

    @property
    def first_event_seconds(self) -> float:
        """Time to the first event, in seconds."""
        return self._first_event_seconds

    @property
    def longest_pause(self) -> float:
        """Longest pause between two events, in seconds."""
        return self._longest_pause

    def record_reply(self, reply: _ports.Streaming) -> None:
        """Use the head of a reply for the response, if it is the first."""
        self._first_reply = self._first_reply or reply

    async def answer(self, answer: _ports.Answered) -> None:
        """Pass on a response that is no stream."""
        await self._sink.answer(answer)

    async def send(
        self, events: list[_ports.StreamEvent]
    ) -> tuple[list[_ports.StreamEvent], bool]:
        """Pass on the events that come after those delivered.

        Args:
            events: Events in the order of their arrival.

        Returns:
            The events that were passed on, and whether they are progress.
            Only events with a new position are, unless the stream has none.
        """
        events = _positions.select_new(events, self._position)
        if not events:
            return [], False
        self._record_pause()
        await self._begin()
        await self._sink.send(b''.join(event.data for event in events))
        has_progress = False
        has_positions = self._position is not None
        for event in events:
            self._tokens += event.tokens
            self._position = event.position or self._position
            if event.position is not None or not has_positions:
                has_progress = True
        return events, has_progress

    async def finish(self) -> None:
        """End the complete stream."""
        await self._begin()
        await self._sink.finish()

    async def _begin(self) -> None:
        if not self._begun and self._first_reply is not None:
            self._begun = True
            await self._sink.begin(
                self._first_reply.status, self._first_reply.headers
            )

    def _record_pause(self) -> None:
        now = self._clock.now()
        pause = now - self._delivered_at
        self._delivered_at = now
        if self._begun:
            self._longest_pause = max(self._longest_pause, pause)
        else:
            self._first_event_seconds = pause
