"""An attempt whose reply is awaited in a task of its own."""

from __future__ import annotations

import typing

import anyio
import attrs

from laburnumstep import core
from laburnumstep.targets.relay import _ports

RecordReply = typing.Callable[[_ports.Reply], None]
"""Called with the reply to a request that its target had already taken."""


class PendingReply:
    """Sends one attempt and keeps its reply until it is used.

    Once its target has taken the request, this is the source of the events
    of the run, which begin after the head of the response.

    Args:
        port: Sends the request.
        attempt: The attempt.
        record_late: Called with a reply that arrives after `take`.
        clock: Clock for deadlines.
    """

    def __init__(
        self,
        port: _ports.TargetPort,
        attempt: _ports.Attempt,
        record_late: RecordReply,
        clock: core.Clock,
    ) -> None:
        self._port = port
        self._attempt = attrs.evolve(attempt, on_sent=self._record_sent)
        self._record_late = record_late
        self._clock = clock
        self._scope = anyio.CancelScope()
        self._progress = anyio.Event()
        self._done = anyio.Event()
        self._sent_at: float | None = None
        self._reply: _ports.Reply = _ports.Lost('cancelled')
        self._is_taken = False

    @property
    def reply(self) -> _ports.Reply | None:
        """The reply, or None as long as none has arrived."""
        return self._reply if self._done.is_set() else None

    async def run(self) -> None:
        """Send the request and await the reply."""
        try:
            with self._scope:
                self._reply = await self._port.send(self._attempt)
        finally:
            self._progress.set()
            self._done.set()
        if self._is_taken and not self._scope.cancelled_caught:
            self._record_late(self._reply)

    async def wait_sent(self, until: float) -> float | None:
        """Wait until the request is sent, replied to, or a time has come.

        Returns:
            When the target may first have received it, in epoch seconds;
            None if it was not sent.
        """
        await core.wait_until(self._clock, self._progress, until)
        return self._sent_at

    async def wait_reply(self, until: float) -> _ports.Reply | None:
        """Return the reply, or None if none has arrived by a time."""
        await core.wait_until(self._clock, self._done, until)
        return self.reply

    def take(self) -> _ports.Underway:
        """Make the attempt the run of its stream before its reply is there."""
        self._is_taken = True
        return _ports.Underway(self)

    async def read(self, deadline: float) -> list[_ports.StreamEvent] | None:
        """Return the next events, or None at the end of the stream.

        Raises:
            EventsDelayed: No complete event arrived before the deadline.
            StreamBroken: The target does not stream, or no longer.
        """
        reply = self.reply
        if reply is None:
            reply = await self.wait_reply(deadline)
        match reply:
            case None:
                raise _ports.EventsDelayed
            case (
                _ports.Streaming(source=source)
                | _ports.Underway(source=source)
            ):
                return await source.read(deadline)
            case _ports.Lost(reason=reason, closed=closed):
                raise _ports.StreamBroken(reason, closed)
            case _ports.Answered(status=status):
                raise _ports.StreamBroken(f'the target answered {status}')
            case (
                _ports.NotRun(reason=reason)
                | _ports.Held(reason=reason)
                | _ports.Barred(reason=reason)
                | _ports.NotReached(reason=reason)
            ):
                raise _ports.StreamRefused(reason)
            case _:
                typing.assert_never(reply)

    def close(self) -> None:
        """Cancel the request, or its run."""
        self._scope.cancel()
        if isinstance(self._reply, _ports.Streaming):
            self._reply.source.close()

    def _record_sent(self) -> None:
        if self._sent_at is None:
            self._sent_at = self._clock.now()
        self._progress.set()
