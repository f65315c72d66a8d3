"""Reads the events of one run and watches for its silence."""

from __future__ import annotations

import typing

import anyio
import anyio.abc
import attrs

from laburnumstep.targets.relay import _ports
from laburnumstep.targets.relay import _silence

if typing.TYPE_CHECKING:
    from laburnumstep import core
    from laburnumstep.targets.relay import _run_lists


@attrs.frozen
class Events:
    """Events have arrived."""

    events: list[_ports.StreamEvent]
    """The events, in the order of their arrival."""


@attrs.frozen
class Ended:
    """The stream has ended with its end marker."""


@attrs.frozen
class Interrupted:
    """The read was interrupted; no event was lost."""


ReadResult = (
    Events
    | Ended
    | Interrupted
    | _silence.ContinueElsewhere
    | _silence.StopFirst
)


@attrs.frozen
class Options:
    """How a run could go on without its engine."""

    can_continue: bool
    """Whether another engine holds a copy or may start the run anew."""
    may_move: bool
    """Whether its memory may be moved to another engine."""


class RunReader:
    """Reads the events of a run at one engine.

    Args:
        source: Source of the events.
        target: The engine.
        request: The request that runs.
        lists: Asks the engine for its runs.
        tasks: Runs the questions to the engine.
        get_options: Returns how the run could go on without its engine.
        clock: Clock for deadlines.
        is_continued: Whether the run began from a copy.
    """

    def __init__(
        self,
        source: _ports.EventSource,
        target: core.Target,
        request: _ports.RelayRequest,
        lists: _run_lists.RunLists,
        tasks: anyio.abc.TaskGroup,
        get_options: typing.Callable[[], Options],
        clock: core.Clock,
        is_continued: bool,
    ) -> None:
        self._source = source
        self._target = target
        self._request = request
        self._lists = lists
        self._tasks = tasks
        self._get_options = get_options
        self._clock = clock
        self._is_continued = is_continued
        self._patience = _silence.compute_patience(request.route)
        self._last_event_at = clock.now()
        self._begun = False
        self._answer: _silence.EngineAnswer = _silence.NotAsked()
        self._move_from = 0.0
        self._is_asking = False
        self._may_be_stopped = False
        self._scope: anyio.CancelScope | None = None

    @property
    def disconnects_at(self) -> float:
        """When the caller disconnects without an event, in epoch seconds."""
        return self._last_event_at + self._patience

    @property
    def has_begun(self) -> bool:
        """Whether a new event has arrived."""
        return self._begun

    def record_progress(self) -> None:
        """Record that a new event has arrived.

        Repeated events and comments are none: an engine in trouble may send
        them without end.
        """
        self._last_event_at = self._clock.now()
        self._begun = True
        self._answer = _silence.NotAsked()

    def delay_move(self, seconds: float) -> None:
        """Move the run no earlier than after some seconds."""
        self._move_from = self._clock.now() + seconds

    def record_unknown_stop(self) -> None:
        """Record that the engine may have stopped the run.

        An end of the stream is then not taken for the end of the answer.
        """
        self._may_be_stopped = True

    def record_no_stop(self) -> None:
        """Record that the engine was not made to stop the run after all."""
        self._may_be_stopped = False

    def interrupt(self) -> None:
        """Interrupt the read in progress, if any."""
        if self._scope is not None:
            self._scope.cancel()

    def close(self) -> None:
        """Cancel the run if it has not ended."""
        self._source.close()

    async def read(self) -> ReadResult:
        """Return the next events, or what to do about their absence.

        Raises:
            StreamBroken: The stream ended before its end marker or was given
                up.
        """
        while True:
            decision = self._decide()
            match decision:
                case _silence.KeepWaiting(until=until, ask=ask):
                    if ask:
                        self._ask()
                    result = await self._read_until(until)
                    if result is not None:
                        return result
                case _silence.GiveUp(reason=reason):
                    raise _ports.StreamBroken(reason)
                case _silence.ContinueElsewhere() | _silence.StopFirst():
                    return decision
                case _:
                    typing.assert_never(decision)

    def _decide(self) -> _silence.SilenceDecision:
        now = self._clock.now()
        if now >= self._request.deadline:
            return _silence.GiveUp('the deadline has passed')
        first_ask = self._last_event_at + _silence.FIRST_ASK_SECONDS
        if now < first_ask:
            return _silence.KeepWaiting(first_ask, ask=False)
        options = self._get_options()
        return _silence.decide(
            _silence.SilentRun(
                now,
                self._last_event_at,
                self._begun,
                self._patience,
                self._answer,
                options.can_continue,
                options.may_move,
                self._move_from,
                self._is_continued,
            )
        )

    async def _read_until(self, until: float) -> ReadResult | None:
        """Read until a time; return None to decide again."""
        deadline = min(self._request.deadline, until)
        events: list[_ports.StreamEvent] | None = None
        with anyio.CancelScope() as scope:
            self._scope = scope
            try:
                events = await self._source.read(deadline)
            except _ports.EventsDelayed:
                return None
            finally:
                self._scope = None
        if scope.cancelled_caught:
            return Interrupted()
        if events is not None:
            return Events(events)
        if self._may_be_stopped:
            raise _ports.StreamBroken('the engine may have stopped the run')
        return Ended()

    def _ask(self) -> None:
        if not self._is_asking:
            self._is_asking = True
            self._tasks.start_soon(self._record_answer)

    async def _record_answer(self) -> None:
        """Ask the engine, and interrupt the read if the answer matters."""
        since = self._last_event_at
        try:
            answer = await self._lists.ask(
                self._target, self._request.key, self._answer
            )
        finally:
            self._is_asking = False
        if self._last_event_at != since:
            return
        self._answer = answer
        if not isinstance(self._decide(), _silence.KeepWaiting):
            self.interrupt()
