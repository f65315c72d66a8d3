"""Relays one stream and continues it when its engine leaves or fails."""

from __future__ import annotations

import typing

import anyio

from laburnumstep import core
from laburnumstep.targets import _bounds
from laburnumstep.targets import _retry_decisions
from laburnumstep.targets.relay import _calls
from laburnumstep.targets.relay import _copies
from laburnumstep.targets.relay import _placements
from laburnumstep.targets.relay import _ports
from laburnumstep.targets.relay import _positions
from laburnumstep.targets.relay import _running

IDLE_TIMEOUT_SECONDS = 1.0
"""Idle timeout of a stream that another engine can continue, in seconds.
Engines produce an event every few tens of milliseconds."""
SOLE_ENGINE_IDLE_TIMEOUT_SECONDS = 10.0
"""Idle timeout of a stream that no other engine can continue, in seconds. A
preempted run may send nothing for seconds; callers disconnect before this."""
FIRST_EVENT_TIMEOUT_SECONDS = 6.0
"""Timeout of the first event of a stream that another engine can continue, in
seconds."""
CONTINUE_TIMEOUT_SECONDS = 2.0
"""Timeout of the answer of an engine that continues a run, in seconds. It is
admitted first and computes few tokens; callers disconnect after longer
pauses."""
SHORT_ANSWER_TOKENS = 96
"""Length, in tokens, up to which an answer ends before a leaving engine stops.
Runs of such answers are not copied."""
MAX_ATTEMPTS = 8
"""Maximum number of attempts of one stream, at the same engine or others."""

_LOGGER = core.get_logger('relay')


class StreamRun:
    """One caller's stream, across the engines that run it in turn.

    Args:
        request: The request.
        sink: Receives the response.
        placer: Places the request on targets.
        port: Sends requests to targets.
        copier: Copies the run to another engine.
        running: Registry of the streams in progress.
        clock: Clock for deadlines and measurements.
    """

    def __init__(
        self,
        request: _ports.RelayRequest,
        sink: _ports.AnswerSink,
        placer: _placements.RelayPlacer,
        port: _ports.TargetPort,
        copier: _copies.RunCopier,
        running: _running.RunningStreams,
        clock: core.Clock,
    ) -> None:
        self._request = request
        self._sink = sink
        self._placer = placer
        self._port = port
        self._copier = copier
        self._running = running
        self._clock = clock
        self._position = request.position
        self._first_reply: _ports.Streaming | None = None
        self._placement: _placements.RelayPlacement | None = None
        self._source: _ports.EventSource | None = None
        self._backup: core.EngineTarget | None = None
        self._read_scope: anyio.CancelScope | None = None
        self._migration_requested = False
        self._is_copying = False
        self._prepared_copy: _copies.PreparedCopy | None = None
        self._refused_copies: frozenset[str] = frozenset()
        self._response_begun = False
        self._may_have_run = False
        self._attempts = 0
        self._delivered_at = request.arrived_at
        self._idle_deadline: float | None = None
        self._first_event_seconds = 0.0
        self._longest_pause = 0.0
        self._excluded: frozenset[str] = frozenset()

    def request_migration(self) -> None:
        """Migrate the stream as soon as another engine can continue it."""
        if is_short(self._request):
            return
        self._migration_requested = True
        self._interrupt_read()

    def _interrupt_read(self) -> None:
        if self._response_begun and self._read_scope is not None:
            self._read_scope.cancel()

    def close(self, complete: bool = False) -> None:
        """End the run on its engine and release all reserved capacity.

        Args:
            complete: Whether the answer is complete.
        """
        if self._source is not None:
            self._source.close()
            self._source = None
        if self._placement is not None:
            self._running.remove(self._placement.target.name, self)
            self._placement.release(complete)
            self._placement = None
        if self._prepared_copy is not None:
            self._prepared_copy.placement.release(complete=False)
            self._prepared_copy = None

    async def run(self) -> None:
        """Relay the stream.

        Raises:
            CodedError: The stream is incomplete.
        """
        error: core.CodedError | None = None
        async with anyio.create_task_group() as self._tasks:
            try:
                if await self._open():
                    await self._relay_events()
            except core.CodedError as raised:
                error = raised
            self._tasks.cancel_scope.cancel()
        _LOGGER.info(
            'stream ended; request=%s runs=%d position=%s first_ms=%d'
            ' longest_pause_ms=%d',
            self._request.key,
            self._attempts,
            (self._position or b'-').decode('latin-1'),
            self._first_event_seconds * 1000,
            self._longest_pause * 1000,
        )
        if error is not None:
            raise _calls.correct_outcome(error, self._may_have_run)

    async def _relay_events(self) -> None:
        while True:
            try:
                events = await self._read_events()
            except _ports.StreamBroken as error:
                await self._recover(error)
                continue
            if events is None:
                await self._begin_response()
                await self._sink.finish()
                self.close(complete=True)
                return
            await self._deliver(events)
            if self._migration_requested and self._response_begun:
                self._migration_requested = False
                await self._migrate()
                self._idle_deadline = None
            if self._prepared_copy is not None:
                await self._hand_over(self._prepared_copy)
                self._idle_deadline = None

    async def _open(self) -> bool:
        """Open the stream.

        Returns:
            Whether a target streams; otherwise its response was passed on.
        """
        sends = 0
        self._placer.record_request(self._request)
        while True:
            placement, reply = await self._place_and_dispatch()
            sends += 1
            match reply:
                case _ports.Streaming():
                    return True
                case _ports.Answered():
                    repeatable = _calls.is_repeatable(self._request.route.kind)
                    last = sends >= self._request.route.attempts
                    if reply.status < 500 or last or not repeatable:
                        await self._sink.answer(reply)
                        return False
            await self._exclude_failed(
                placement, reply, sends >= _calls.MAX_SENDS
            )

    async def _place_and_dispatch(
        self,
    ) -> tuple[_placements.RelayPlacement, _ports.Reply]:
        """Send the request to the first target that takes it now."""
        while True:
            placement = await self._placer.place(self._request, self._excluded)
            reply = await self._dispatch(placement, self._choose_start())
            if not isinstance(reply, _ports.Held):
                return placement, reply

    def _choose_start(self) -> _ports.Start:
        if self._position is None:
            return _ports.NewRun()
        return _ports.ResumedRun(self._position)

    async def _dispatch(
        self, placement: _placements.RelayPlacement, start: _ports.Start
    ) -> _ports.Reply:
        """Send the request to one target and switch to its stream, if any.

        Args:
            placement: Placement on the target; released unless it streams.
            start: Where in the answer the attempt starts.
        """
        request = self._request
        backup = self._choose_backup(placement.target, start)
        now = self._clock.now()
        deadline = request.deadline
        if _calls.is_repeatable(request.route.kind):
            deadline = _bounds.bound_attempt(now, request.deadline, 1)
        attempt = _ports.Attempt(
            request, placement.target, start, deadline, backup
        )
        self._attempts += 1
        reply: _ports.Reply = _ports.Lost('cancelled')
        try:
            reply = await self._send(attempt)
            _calls.record_failure(placement, reply)
        finally:
            if not isinstance(reply, _ports.Streaming):
                placement.release(complete=False)
        now = self._clock.now()
        if isinstance(reply, _ports.Held):
            self._attempts -= 1
            _calls.log_held(request, placement, reply, now)
            return reply
        _calls.log_reply(request, placement, reply, self._attempts, now)
        if _calls.get_outcome(reply) is not core.Outcome.NOT_RUN:
            self._may_have_run = True
        if isinstance(reply, _ports.Streaming):
            # Only now is the previous run ended: it would have continued if
            # the new engine had refused.
            self.close()
            self._placement = placement
            self._source = reply.source
            self._backup = backup
            self._first_reply = self._first_reply or reply
            self._idle_deadline = None
            self._running.add(placement.target.name, self)
            self._migration_requested = not self._placer.is_usable(
                placement.target.name
            )
        return reply

    async def _send(self, attempt: _ports.Attempt) -> _ports.Reply:
        """Send an attempt; give up one that continues a run after a while.

        Events of the leaving engine are not read meanwhile, and an engine
        that has crashed may never answer.
        """
        if not isinstance(attempt.start, _ports.ContinuedRun):
            return await self._port.send(attempt)
        until = self._clock.now() + CONTINUE_TIMEOUT_SECONDS
        reply: _ports.Reply = _ports.Lost('the engine did not continue it')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                core.cancel_at, self._clock, until, tasks.cancel_scope
            )
            reply = await self._port.send(attempt)
            tasks.cancel_scope.cancel()
        return reply

    def _choose_backup(
        self, target: core.Target, start: _ports.Start
    ) -> core.EngineTarget | None:
        if is_short(self._request) or isinstance(start, _ports.ContinuedRun):
            # Copying a run that has just migrated would delay the migration
            # of others to the same engine.
            return None
        return self._placer.choose_backup(self._request, target)

    async def _read_events(self) -> list[_ports.StreamEvent] | None:
        assert self._source is not None
        if self._idle_deadline is None:
            self._idle_deadline = self._clock.now() + self._get_idle_timeout()
        deadline = min(self._request.deadline, self._idle_deadline)
        events: list[_ports.StreamEvent] | None = []
        read_at = self._clock.now()
        with anyio.CancelScope() as self._read_scope:
            events = await self._source.read(deadline)
        self._read_scope = None
        if events and self._placement is not None:
            # Measured before the events are passed on, because the caller
            # may accept them slowly.
            self._placement.record_arrival(
                read_at, self._clock.now(), [item.tokens for item in events]
            )
        return events

    def _get_idle_timeout(self) -> float:
        """Return the idle timeout of the next read, in seconds."""
        repeatable = _calls.is_repeatable(self._request.route.kind)
        if self._backup is None and not repeatable:
            return SOLE_ENGINE_IDLE_TIMEOUT_SECONDS
        return (
            IDLE_TIMEOUT_SECONDS
            if self._response_begun
            else FIRST_EVENT_TIMEOUT_SECONDS
        )

    async def _deliver(self, events: list[_ports.StreamEvent]) -> None:
        events = _positions.select_new(events, self._position)
        if not events:
            return
        self._record_pause()
        await self._begin_response()
        data = b''.join(event.data for event in events)
        await self._sink.send(data)
        # Only events with a new position extend the idle timeout. An engine
        # that repeats an event, or sends comments, may do so without end.
        has_positions = self._position is not None
        for event in events:
            self._position = event.position or self._position
            if event.position is not None or not has_positions:
                self._idle_deadline = None
        if self._placement is not None:
            tokens = sum(event.tokens for event in events)
            self._placement.record_tokens(tokens, len(data))

    def _record_pause(self) -> None:
        now = self._clock.now()
        pause = now - self._delivered_at
        self._delivered_at = now
        if self._response_begun:
            self._longest_pause = max(self._longest_pause, pause)
        else:
            self._first_event_seconds = pause

    async def _begin_response(self) -> None:
        if not self._response_begun and self._first_reply is not None:
            self._response_begun = True
            await self._sink.begin(
                self._first_reply.status, self._first_reply.headers
            )

    async def _migrate(self) -> None:
        """Migrate the run from a leaving engine, which still runs it."""
        leaving, backup = self._placement, self._backup
        if leaving is None or self._position is None:
            return
        if backup is not None and self._placer.is_usable(backup.name):
            reference = self._port.get_backup_reference(self._request, backup)
            placement = self._placer.place_on(self._request, backup.name)
            if await self._continue_from(placement, reference, 'leaving'):
                return
            # The leaving engine still runs the request, so its memory can
            # be copied to another engine.
            self._backup = None
        if not self._is_copying:
            self._is_copying = True
            self._tasks.start_soon(self._copy, leaving)

    async def _copy(self, placement: _placements.RelayPlacement) -> None:
        try:
            prepared = await self._copier.copy(
                placement,
                self._refused_copies,
                lambda: self._placement is placement,
            )
        finally:
            self._is_copying = False
        if prepared is None:
            return
        if self._placement is placement:
            self._prepared_copy = prepared
            self._interrupt_read()
        else:
            prepared.placement.release(complete=False)

    async def _hand_over(self, prepared: _copies.PreparedCopy) -> None:
        """Continue the run from its copy.

        The run on the leaving engine is ended once the other engine streams.
        If that one refuses, the run is copied to another engine.
        """
        destination = prepared.placement.target.name
        if not await self._continue_from_prepared(
            prepared.reference, 'copied'
        ):
            self._refused_copies |= {destination}
            self._migration_requested = True

    async def _continue_from_prepared(
        self, reference: str, reason: str
    ) -> bool:
        """Continue the run with the capacity reserved for its copy."""
        prepared, self._prepared_copy = self._prepared_copy, None
        if prepared is None:
            return False
        return await self._continue_from(prepared.placement, reference, reason)

    async def _recover(self, error: _ports.StreamBroken) -> None:
        """Continue the stream on another engine after its engine failed.

        Args:
            error: How the stream ended.

        Raises:
            CodedError: The stream cannot be continued.
        """
        placement, backup = self._placement, self._backup
        reason = str(error)
        if placement is not None:
            now = self._clock.now()
            _LOGGER.info(
                'stream broke; request=%s target=%s position=%s left_ms=%d'
                ' reason=%s',
                self._request.key,
                placement.target.name,
                (self._position or b'-').decode('latin-1'),
                (self._request.deadline - now) * 1000,
                reason,
            )
            placement.record_failure(crashed=True)
            if error.closed:
                placement.record_break()
            self._excluded |= {placement.target.name}
        prepared, self._prepared_copy = self._prepared_copy, None
        self.close()
        self._prepared_copy = prepared
        if self._clock.now() >= self._request.deadline:
            raise core.CodedError(
                core.ErrorCode.DEADLINE_EXCEEDED,
                'the deadline has passed',
                core.Outcome.RAN,
            )
        if prepared is not None:
            if await self._continue_from_prepared(prepared.reference, reason):
                return
        if backup is not None and self._position is not None:
            reference = self._port.get_backup_reference(self._request, backup)
            placement = self._placer.place_on(self._request, backup.name)
            if await self._continue_from(placement, reference, reason):
                return
        await self._resume(reason)

    async def _continue_from(
        self,
        placement: _placements.RelayPlacement | None,
        copy: str,
        reason: str,
    ) -> bool:
        """Continue the run from a copy.

        Returns:
            Whether the run continues. If not, the placement is released.
        """
        if placement is None:
            return False
        if self._attempts >= MAX_ATTEMPTS or self._position is None:
            placement.release(complete=False)
            return False
        self._placer.record_resend(self._request)
        _LOGGER.info(
            'continuing run from a copy; request=%s target=%s position=%s'
            ' reason=%s',
            self._request.key,
            placement.target.name,
            self._position.decode('latin-1'),
            reason,
        )
        start = _ports.ContinuedRun(self._position, copy)
        reply = await self._dispatch(placement, start)
        if isinstance(reply, _ports.Streaming):
            return True
        if isinstance(reply, _ports.Lost):
            placement.record_failure(crashed=False)
        return False

    async def _resume(self, reason: str) -> None:
        """Start a new run after the last event, if the route allows it.

        Raises:
            CodedError: The stream cannot be continued.
        """
        reply: _ports.Reply = _ports.Lost(reason)
        placement = None
        while True:
            await self._exclude_failed(
                placement, reply, self._attempts >= MAX_ATTEMPTS
            )
            placement, reply = await self._place_and_dispatch()
            if isinstance(reply, _ports.Streaming):
                return

    async def _exclude_failed(
        self,
        placement: _placements.RelayPlacement | None,
        reply: _ports.Reply,
        last: bool,
    ) -> None:
        """Exclude a failed target from the next attempt.

        Raises:
            CodedError: The request is not tried again.
        """
        failed = _placements.FailedSend(
            placement.target.name if placement is not None else '',
            self._excluded,
            _calls.get_outcome(reply),
        )
        decision = await self._placer.decide_retry(self._request, failed)
        if last and isinstance(decision, _retry_decisions.Retry):
            decision = _calls.make_give_up(reply)
        match decision:
            case _retry_decisions.Retry():
                self._excluded = decision.excluded
            case _retry_decisions.GiveUp():
                raise _calls.make_error(
                    reply,
                    decision,
                    self._request.deadline,
                    self._clock.now(),
                )
            case _:
                typing.assert_never(decision)


def is_short(request: _ports.RelayRequest) -> bool:
    """Return whether a stream is too short for a copy of its run to help."""
    prompt = request.prompt
    return prompt is None or prompt.max_tokens <= SHORT_ANSWER_TOKENS
