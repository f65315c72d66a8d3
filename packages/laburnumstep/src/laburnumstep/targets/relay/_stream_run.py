"""Relays one stream and continues it when its engine leaves or fails."""

from __future__ import annotations

import typing

import anyio

from laburnumstep import core
from laburnumstep.targets.relay import _attempts
from laburnumstep.targets.relay import _calls
from laburnumstep.targets.relay import _continuation
from laburnumstep.targets.relay import _copies
from laburnumstep.targets.relay import _delivery
from laburnumstep.targets.relay import _handover
from laburnumstep.targets.relay import _migration
from laburnumstep.targets.relay import _moves
from laburnumstep.targets.relay import _placements
from laburnumstep.targets.relay import _ports
from laburnumstep.targets.relay import _reading
from laburnumstep.targets.relay import _run_lists
from laburnumstep.targets.relay import _running
from laburnumstep.targets.relay import _saved_memory
from laburnumstep.targets.relay import _silence

SHORT_ANSWER_TOKENS = 96
"""Length, in tokens, up to which an answer ends before a leaving engine stops.
Runs of such answers are not copied."""
RETRY_SECONDS = 0.5
"""Time until a silent run is moved or continued again, in seconds, if all
engines refused it."""

RESUME_SECONDS = 0.5
"""Time before its engine stops at which a run that no engine has taken is
started anew, in seconds. Its prompt is prefilled again within about 0.3 s."""

_LOGGER = core.get_logger('relay')


class StreamRun:
    """One caller's stream, across the engines that run it in turn.

    Args:
        request: The request.
        sink: Receives the response.
        placer: Places the request on targets.
        port: Sends requests to targets.
        copier: Copies the run to another engine.
        lists: Asks engines for their runs.
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
        lists: _run_lists.RunLists,
        running: _running.RunningStreams,
        clock: core.Clock,
    ) -> None:
        self._request = request
        self._placer = placer
        self._lists = lists
        self._running = running
        self._clock = clock
        self._delivery = _delivery.Delivery(request, sink, clock)
        self._attempts = _attempts.StreamAttempts(
            request,
            placer,
            port,
            _handover.Handover(port, lists, clock),
            clock,
        )
        self._mover = _moves.RunMover(request, placer, port, clock)
        self._migration = _migration.Migration(copier, self._interrupt_read)
        self._saved = _saved_memory.SavedMemory(self._mover)
        self._continuation = _continuation.Continuation(
            request,
            placer,
            port,
            self._attempts,
            self._delivery,
            self._migration,
            self._saved,
            self._dispatch,
        )
        self._placement: _placements.RelayPlacement | None = None
        self._start: _ports.Start = _ports.NewRun()
        self._reader: _reading.RunReader | None = None
        self._migration_requested = False
        self._continue_from_time = 0.0
        self._resume_from_time = 0.0

    @property
    def _may_move(self) -> bool:
        """Whether the memory of the run may be moved to another engine."""
        return (
            not is_short(self._request)
            and self._delivery.position is not None
            and self._attempts.may_continue
        )

    @property
    def _may_send_again(self) -> bool:
        """Whether the engine may be sent the copy again that it has not used.

        A copy can be used once, so the run cannot begin twice.
        """
        return (
            self._reader is not None
            and not self._reader.has_begun
            and isinstance(self._start, _ports.ContinuedRun)
            and self._attempts.may_continue
        )

    def request_migration(self) -> None:
        """Migrate the stream as soon as another engine can continue it."""
        if is_short(self._request):
            return
        self._migration_requested = True
        self._interrupt_read()

    def _interrupt_read(self) -> None:
        if self._delivery.begun and self._reader is not None:
            self._reader.interrupt()

    def close(self, complete: bool = False) -> None:
        """End the run on its engine and release all reserved capacity.

        Args:
            complete: Whether the answer is complete.
        """
        self._close_run(complete)
        self._migration.release()
        self._saved.release()

    def _close_reader(self) -> None:
        if self._reader is not None:
            self._reader.close()
            self._reader = None

    def _close_run(self, complete: bool = False) -> None:
        self._close_reader()
        if self._placement is not None:
            self._running.remove(self._placement.target.name, self)
            self._placement.release(complete)
            self._placement = None

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
            self._attempts.count,
            (self._delivery.position or b'-').decode('latin-1'),
            self._delivery.first_event_seconds * 1000,
            self._delivery.longest_pause * 1000,
        )
        if error is not None:
            raise _calls.correct_outcome(error, self._attempts.may_have_run)

    async def _relay_events(self) -> None:
        while True:
            try:
                if not await self._relay_next():
                    return
            except _ports.StreamBroken as error:
                await self._recover(error)

    async def _relay_next(self) -> bool:
        """Relay the next events, or act on their absence.

        Returns:
            Whether the stream goes on.

        Raises:
            StreamBroken: The engine no longer runs the request.
        """
        assert self._reader is not None
        read_at = self._clock.now()
        result = await self._reader.read()
        match result:
            case _reading.Events(events=events):
                self._record_arrival(read_at, events)
                await self._deliver(self._reader, events)
            case _reading.Ended():
                await self._delivery.finish()
                self.close(complete=True)
                return False
            case _reading.Interrupted():
                pass
            case _silence.ContinueElsewhere(reason=reason):
                self._record_silent_engine()
                await self._leave_silent(reason)
            case _silence.StopFirst(reason=reason):
                await self._move_silent(self._reader, reason)
            case _:
                typing.assert_never(result)
        if self._migration_requested and self._delivery.begun:
            self._migration_requested = False
            await self._migrate()
        if self._migration.has_copy:
            await self._hand_over()
        elif self._is_stopping():
            await self._resume_before_stop()
        return True

    async def _open(self) -> bool:
        """Open the stream.

        Returns:
            Whether a target streams; otherwise its response was passed on.
        """
        sends = 0
        self._placer.record_request(self._request)
        while True:
            placement, reply = await self._continuation.place_and_dispatch()
            sends += 1
            match reply:
                case _ports.Streaming() | _ports.Underway():
                    return True
                case _ports.Answered():
                    repeatable = _calls.is_repeatable(self._request.route.kind)
                    last = not self._attempts.may_start
                    if reply.status < 500 or last or not repeatable:
                        await self._delivery.answer(reply)
                        return False
            await self._attempts.exclude_failed(
                placement, reply, sends >= _calls.MAX_SENDS
            )

    async def _dispatch(
        self, placement: _placements.RelayPlacement, start: _ports.Start
    ) -> _ports.Reply:
        """Send the request to one target and switch to its stream, if any.

        The run before goes on if the new engine refuses. It ends when the new
        one has taken the run, or after a bounded time.

        Args:
            placement: Placement on the target; released unless it streams.
            start: Where in the answer the attempt starts.
        """
        backup = self._choose_backup(placement.target, start)
        earlier = None
        if self._reader is not None:
            earlier = _handover.EarlierRun(self._tasks, self._order_stop)
        reply = await self._attempts.send(placement, start, backup, earlier)
        if _ports.is_running(reply):
            self._close_run()
            self._migration.release()
            self._placement = placement
            self._start = start
            self._reader = _reading.RunReader(
                reply.source,
                placement.target,
                self._request,
                self._lists,
                self._tasks,
                self._list_options,
                self._clock,
                isinstance(start, _ports.ContinuedRun),
            )
            self._continuation.set_backup(backup)
            if isinstance(reply, _ports.Streaming):
                self._saved.release()
                self._delivery.record_reply(reply)
            self._running.add(placement.target.name, self)
            self._migration_requested = not self._placer.is_usable(
                placement.target.name
            )
        return reply

    def _order_stop(self, next_target: core.Target) -> None:
        """Order the engine to stop the run and to send its memory elsewhere.

        Args:
            next_target: The next engine, which is late with the run.
        """
        if self._reader is None or self._placement is None:
            return
        if not (self._reader.has_begun and self._may_move):
            return
        self._reader.record_unknown_stop()
        self._saved.start(
            self._tasks,
            self._placement.target,
            self._continuation.not_continued | {next_target.name},
            self._delivery.tokens,
            self._reader.record_no_stop,
        )

    def _choose_backup(
        self, target: core.Target, start: _ports.Start
    ) -> core.EngineTarget | None:
        if is_short(self._request) or isinstance(start, _ports.ContinuedRun):
            # Copying a run that has just migrated would delay the migration
            # of others to the same engine.
            return None
        return self._placer.choose_backup(
            self._request, target, self._delivery.tokens
        )

    def _record_arrival(
        self, read_at: float, events: list[_ports.StreamEvent]
    ) -> None:
        """Record when events arrived, to learn the pace of the engine.

        This is measured before the events are passed on, because the caller
        may accept them slowly.
        """
        if self._placement is not None:
            self._placement.record_arrival(
                read_at, self._clock.now(), [item.tokens for item in events]
            )

    async def _deliver(
        self, reader: _reading.RunReader, events: list[_ports.StreamEvent]
    ) -> None:
        new, has_progress = await self._delivery.send(events)
        if has_progress:
            reader.record_progress()
            self._saved.release()
        if self._placement is not None and new:
            self._placement.record_tokens(
                sum(event.tokens for event in new),
                sum(len(event.data) for event in new),
            )

    def _list_options(self) -> _reading.Options:
        """Return how the run could go on without its engine."""
        may_continue = self._clock.now() >= self._continue_from_time
        return _reading.Options(
            may_continue
            and (
                self._continuation.has_copy
                or self._continuation.may_resume
                or self._may_send_again
            ),
            self._may_move,
        )

    async def _migrate(self) -> None:
        """Migrate the run from a leaving engine, which still runs it."""
        leaving = self._placement
        if leaving is None or self._delivery.position is None:
            return
        if not self._attempts.may_continue:
            # In an evacuated data centre a run may go on for long. Further
            # copies of it would be made and never used.
            return
        if await self._continuation.continue_from_backup('leaving'):
            return
        # The leaving engine still runs the request, so its memory can be
        # copied to another engine.
        self._continuation.set_backup(None)
        self._migration.start(
            self._tasks,
            leaving,
            lambda: self._placement is leaving,
            lambda: self._delivery.tokens,
        )

    async def _hand_over(self) -> None:
        """Continue the run from its copy.

        The run on the leaving engine is ended once the other engine streams.
        If that one refuses, the run is copied to another engine.
        """
        if not await self._continuation.continue_from_prepared('copied'):
            self._migration_requested = True

    def _is_stopping(self) -> bool:
        """Return whether to start the run anew before its engine stops."""
        now = self._clock.now()
        if (
            self._placement is None
            or now < self._resume_from_time
            or not self._delivery.begun
            or not self._continuation.may_resume
        ):
            return False
        stops_at = self._placer.find_stop_time(self._placement.target.name)
        return stops_at is not None and now >= stops_at - RESUME_SECONDS

    async def _resume_before_stop(self) -> None:
        """Start the run anew, as no engine has taken a copy of it.

        The engine that stops goes on with it until another one streams.
        """
        self._resume_from_time = self._clock.now() + RESUME_SECONDS
        await self._continuation.try_resume('the engine stops')

    def _record_silent_engine(self) -> None:
        """Eject the engine, which does not answer."""
        if self._placement is not None:
            self._placement.record_failure(crashed=False)

    async def _leave_silent(self, reason: str) -> None:
        """Continue the run elsewhere, as its engine seems to have lost it.

        The stream of the engine is kept until another engine has taken the
        run, in case it is there after all.
        """
        assert self._placement is not None
        self._log_end('stream is silent', self._placement, reason)
        self._attempts.exclude(self._placement.target.name)
        if await self._continuation.continue_from_copies(reason):
            return
        if self._continuation.may_resume:
            if await self._continuation.try_resume(reason):
                return
        if self._may_send_again:
            await self._send_again(self._placement, reason)
        self._continue_from_time = self._clock.now() + RETRY_SECONDS

    async def _send_again(
        self, placement: _placements.RelayPlacement, reason: str
    ) -> None:
        """Send the copy once more to an engine that has not begun the run.

        Raises:
            StreamBroken: The engine does not continue it.
        """
        assert isinstance(self._start, _ports.ContinuedRun)
        assert self._reader is not None
        # The first request ends here, so that the engine has only one.
        self._reader.close()
        again = self._placer.place_on(
            self._request, placement.target.name, self._delivery.tokens
        )
        if not await self._continuation.continue_from(
            again, self._start.copy, reason
        ):
            raise _ports.StreamBroken('the engine does not continue the run')

    async def _move_silent(
        self, reader: _reading.RunReader, reason: str
    ) -> None:
        """Move the run from an engine that answers but sends no events.

        The engine stops the run with the move, so that no two engines work
        on it. If it refuses, its stream is read on.

        Raises:
            StreamBroken: The run was stopped and did not go on elsewhere.
        """
        assert self._placement is not None
        reader.delay_move(RETRY_SECONDS)
        outcome = await self._mover.move(
            self._placement.target,
            self._continuation.not_continued,
            self._delivery.tokens,
            reason,
        )
        match outcome:
            case _moves.Movable(placement=placement, copy=copy):
                self._close_reader()
                if not await self._continuation.continue_from(
                    placement, copy, reason
                ):
                    raise _ports.StreamBroken('the moved run did not go on')
            case _moves.Missing():
                # The stream is kept: an engine might say this of a run that
                # it has preempted.
                await self._leave_silent('the engine does not have the run')
            case _moves.PerhapsStopped():
                reader.record_unknown_stop()
            case _moves.Kept():
                pass
            case _:
                typing.assert_never(outcome)

    async def _recover(self, error: _ports.StreamBroken) -> None:
        """Continue the stream on another engine after its engine failed.

        Args:
            error: How the stream ended.

        Raises:
            CodedError: The stream cannot be continued.
        """
        reason = str(error)
        placement = self._placement
        if placement is not None:
            self._log_end('stream broke', placement, reason)
            if not isinstance(error, _ports.StreamRefused):
                placement.record_failure(crashed=True)
            if error.closed:
                placement.record_break()
            self._attempts.exclude(placement.target.name)
        self._close_run()
        if self._clock.now() >= self._request.deadline:
            raise core.CodedError(
                core.ErrorCode.DEADLINE_EXCEEDED,
                'the deadline has passed',
                core.Outcome.RAN,
            )
        if not await self._continuation.continue_from_copies(reason):
            await self._continuation.resume(reason)

    def _log_end(
        self,
        event: str,
        placement: _placements.RelayPlacement,
        reason: str,
    ) -> None:
        """Log what happened to the run at its engine."""
        _LOGGER.info(
            '%s; request=%s target=%s position=%s left_ms=%d reason=%s',
            event,
            self._request.key,
            placement.target.name,
            (self._delivery.position or b'-').decode('latin-1'),
            (self._request.deadline - self._clock.now()) * 1000,
            reason,
        )


def is_short(request: _ports.RelayRequest) -> bool:
    """Return whether a stream is too short for a copy of its run to help."""
    prompt = request.prompt
    return prompt is None or prompt.max_tokens <= SHORT_ANSWER_TOKENS
