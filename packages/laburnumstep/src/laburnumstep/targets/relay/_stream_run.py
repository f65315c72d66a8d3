"""One caller's stream, carried on when its engine leaves or fails."""

from __future__ import annotations

import typing

import anyio

from laburnumstep import core
from laburnumstep.targets import _bounds
from laburnumstep.targets import _retry_decisions
from laburnumstep.targets.relay import _calls
from laburnumstep.targets.relay import _copies
from laburnumstep.targets.relay import _places
from laburnumstep.targets.relay import _ports
from laburnumstep.targets.relay import _running

STALL_SECONDS = 1.0
"""Silence after which a stream goes on elsewhere, where it can. Engines make
an event every few tens of milliseconds."""
SILENT_SECONDS = 10.0
"""Silence after which a stream is given up that cannot go on elsewhere. A
preempted run may be quiet for seconds; callers leave before this."""
FIRST_EVENT_SECONDS = 6.0
"""Longest wait for the first event where another engine may take over."""
SHORT_ANSWER_TOKENS = 96
"""Answers up to this length end before a leaving engine is gone and are
not worth a copy."""
MAX_RUNS = 8
"""Engines on which one stream may go on."""

_LOGGER = core.get_logger('relay')


class StreamRun:
    """One caller's stream over the engines that it runs on."""

    def __init__(
        self,
        request: _ports.RelayRequest,
        sink: _ports.AnswerSink,
        placer: _places.RelayPlacer,
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
        self._head: _ports.Streaming | None = None
        self._place: _places.RelayPlace | None = None
        self._source: _ports.EventSource | None = None
        self._backup: core.EngineTarget | None = None
        self._reading: anyio.CancelScope | None = None
        self._leaving = False
        self._copying = False
        self._prepared: _copies.PreparedCopy | None = None
        self._stopping = False
        self._begun = False
        self._may_have_run = False
        self._runs = 0
        self._delivered_at = request.arrived_at
        self._first_seconds = 0.0
        self._longest_pause = 0.0
        self._excluded: frozenset[str] = frozenset()

    def move_away(self) -> None:
        """Leave the engine as soon as the stream can go on elsewhere."""
        if is_short(self._request):
            return
        self._leaving = True
        self._wake()

    def _wake(self) -> None:
        if self._begun and self._reading is not None:
            self._reading.cancel()

    def close(self, complete: bool = False) -> None:
        """End the run on its engine and give the room back."""
        if self._source is not None:
            self._source.close()
            self._source = None
        if self._place is not None:
            self._running.remove(self._place.target.name, self)
            self._place.release(complete)
            self._place = None
        if self._prepared is not None:
            self._prepared.place.release(complete=False)
            self._prepared = None
            self._stopping = False

    async def run(self) -> None:
        """Relay the stream.

        Raises:
            CodedError: The stream is not whole.
        """
        error: core.CodedError | None = None
        async with anyio.create_task_group() as self._tasks:
            try:
                if await self._start():
                    await self._relay()
            except core.CodedError as raised:
                error = raised
            self._tasks.cancel_scope.cancel()
        _LOGGER.info(
            'stream ended; request=%s runs=%d position=%s first_ms=%d'
            ' longest_pause_ms=%d',
            self._request.key,
            self._runs,
            (self._position or b'-').decode('latin-1'),
            self._first_seconds * 1000,
            self._longest_pause * 1000,
        )
        if error is not None:
            raise _calls.correct_outcome(error, self._may_have_run)

    async def _relay(self) -> None:
        while True:
            try:
                events = await self._read()
            except _ports.StreamBroken as error:
                await self._recover(str(error))
                continue
            if events is None:
                await self._begin()
                await self._sink.finish()
                self.close(complete=True)
                return
            await self._deliver(events)
            if self._leaving and self._begun:
                self._leaving = False
                await self._move()
            if self._prepared is not None and not self._stopping:
                await self._finish_copy(self._prepared)

    async def _start(self) -> bool:
        """Open the stream; return False when its answer was no stream."""
        sends = 0
        while True:
            place = await self._placer.place(self._request, self._excluded)
            reply = await self._open(place, self._find_start())
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
            self._retry(place, reply, sends >= _calls.MAX_SENDS)

    def _find_start(self) -> _ports.Start:
        if self._position is None:
            return _ports.Fresh()
        return _ports.Resumed(self._position)

    async def _open(
        self, place: _places.RelayPlace, start: _ports.Start
    ) -> _ports.Reply:
        """Send the request to a target and take its stream if it runs."""
        request = self._request
        backup = self._choose_backup(place.target, start)
        now = self._clock.now()
        until = request.deadline
        if _calls.is_repeatable(request.route.kind):
            until = _bounds.bound_attempt(now, request.deadline, 1)
        attempt = _ports.Attempt(request, place.target, start, until, backup)
        self._runs += 1
        reply: _ports.Reply = _ports.Lost('cancelled')
        try:
            reply = await self._port.send(attempt)
        finally:
            if not isinstance(reply, _ports.Streaming):
                place.release(complete=False)
        now = self._clock.now()
        _calls.log_reply(request, place, reply, self._runs, now)
        if _calls.find_outcome(reply) is not core.Outcome.NOT_RUN:
            self._may_have_run = True
        if isinstance(reply, _ports.Streaming):
            # The run before ends only now, so that it goes on where it is
            # when the next engine refuses.
            self.close()
            self._place = place
            self._source = reply.source
            self._backup = backup
            self._head = self._head or reply
            self._running.add(place.target.name, self)
            self._leaving = not self._placer.is_usable(place.target.name)
        elif isinstance(reply, _ports.NotReached):
            place.record_loss(crashed=False)
        return reply

    def _choose_backup(
        self, target: core.Target, start: _ports.Start
    ) -> core.EngineTarget | None:
        if is_short(self._request) or isinstance(start, _ports.Continued):
            # A new copy of a run that has just moved would delay the moves
            # of others to the same engine.
            return None
        return self._placer.choose_backup(self._request, target)

    async def _read(self) -> list[_ports.StreamEvent] | None:
        assert self._source is not None
        deadline = min(
            self._request.deadline, self._clock.now() + self._find_patience()
        )
        events: list[_ports.StreamEvent] | None = []
        with anyio.CancelScope() as self._reading:
            events = await self._source.read(deadline)
        self._reading = None
        return events

    def _find_patience(self) -> float:
        """Return how long the engine may be silent, in seconds."""
        repeatable = _calls.is_repeatable(self._request.route.kind)
        if self._backup is None and not repeatable:
            return SILENT_SECONDS
        return STALL_SECONDS if self._begun else FIRST_EVENT_SECONDS

    async def _deliver(self, events: list[_ports.StreamEvent]) -> None:
        events = [event for event in events if self._is_new(event)]
        if not events:
            return
        self._measure_pause()
        await self._begin()
        data = b''.join(event.data for event in events)
        await self._sink.send(data)
        for event in events:
            self._position = event.position or self._position
        if self._place is not None:
            tokens = sum(event.tokens for event in events)
            self._place.record_tokens(tokens, len(data))

    def _is_new(self, event: _ports.StreamEvent) -> bool:
        """Tell whether an event follows the last one delivered.

        An engine that takes a run over may repeat what the one before has
        sent.
        """
        last, position = self._position, event.position
        if last is None or position is None:
            return True
        if not (last.isdigit() and position.isdigit()):
            return position != last
        return int(position) > int(last)

    def _measure_pause(self) -> None:
        now = self._clock.now()
        pause = now - self._delivered_at
        self._delivered_at = now
        if self._begun:
            self._longest_pause = max(self._longest_pause, pause)
        else:
            self._first_seconds = pause

    async def _begin(self) -> None:
        if not self._begun and self._head is not None:
            self._begun = True
            await self._sink.begin(self._head.status, self._head.headers)

    async def _move(self) -> None:
        """Carry the stream on elsewhere while its engine still runs."""
        leaving, backup = self._place, self._backup
        if leaving is None or self._position is None:
            return
        if backup is not None and self._placer.is_usable(backup.name):
            reference = self._port.refer_backup(self._request, backup)
            place = self._placer.place_on(self._request, backup.name)
            if await self._continue(place, reference, 'leaving'):
                return
            # The engine still runs the request, so a copy can be made.
            self._backup = None
        if not self._copying:
            self._copying = True
            self._tasks.start_soon(self._prepare_copy, leaving)

    async def _prepare_copy(self, place: _places.RelayPlace) -> None:
        try:
            prepared = await self._copier.prepare(
                place, lambda: self._place is place
            )
        finally:
            self._copying = False
        if prepared is None:
            return
        if self._place is place:
            self._prepared = prepared
            self._wake()
        else:
            prepared.place.release(complete=False)

    async def _finish_copy(self, prepared: _copies.PreparedCopy) -> None:
        """Stop the run, copy the rest and let it go on at the copy."""
        place = self._place
        if place is None:
            return
        self._stopping = True
        result = await self._copier.stop(place, prepared)
        match result:
            case _ports.Copied(copy=reference):
                if not await self._continue_prepared(reference, 'copied'):
                    self.close()
                    await self._resume('the copy was not accepted')
            case _ports.CopyFailed(copy=None):
                # The first copy stays for the case that the engine fails.
                pass
            case _ports.CopyFailed(copy=reference):
                again = self._placer.place_on(self._request, place.target.name)
                if not await self._continue(again, reference or '', 'stopped'):
                    self.close()
                    await self._resume('the stopped run did not go on')
            case _:
                typing.assert_never(result)

    async def _continue_prepared(self, reference: str, reason: str) -> bool:
        """Let the run go on at the place that is reserved for its copy."""
        prepared, self._prepared = self._prepared, None
        self._stopping = False
        if prepared is None:
            return False
        return await self._continue(prepared.place, reference, reason)

    async def _recover(self, reason: str) -> None:
        """Carry the stream on after its engine failed."""
        place, backup = self._place, self._backup
        if place is not None:
            now = self._clock.now()
            _LOGGER.info(
                'stream broke; request=%s target=%s position=%s left_ms=%d'
                ' reason=%s',
                self._request.key,
                place.target.name,
                (self._position or b'-').decode('latin-1'),
                (self._request.deadline - now) * 1000,
                reason,
            )
            place.record_loss(crashed=True)
            self._excluded |= {place.target.name}
        prepared, self._prepared = self._prepared, None
        self.close()
        self._prepared = prepared
        if self._clock.now() >= self._request.deadline:
            raise core.CodedError(
                core.ErrorCode.DEADLINE_EXCEEDED,
                'the deadline has passed',
                core.Outcome.RAN,
            )
        if prepared is not None:
            if await self._continue_prepared(prepared.reference, reason):
                return
        if backup is not None and self._position is not None:
            reference = self._port.refer_backup(self._request, backup)
            place = self._placer.place_on(self._request, backup.name)
            if await self._continue(place, reference, reason):
                return
        await self._resume(reason)

    async def _continue(
        self, place: _places.RelayPlace | None, copy: str, reason: str
    ) -> bool:
        """Let the run go on from a copy; return False when it does not."""
        if place is None:
            return False
        if self._runs >= MAX_RUNS or self._position is None:
            place.release(complete=False)
            return False
        self._placer.record_resend(self._request)
        _LOGGER.info(
            'continue; request=%s target=%s position=%s reason=%s',
            self._request.key,
            place.target.name,
            self._position.decode('latin-1'),
            reason,
        )
        start = _ports.Continued(self._position, copy)
        reply = await self._open(place, start)
        if isinstance(reply, _ports.Streaming):
            return True
        if isinstance(reply, _ports.Lost):
            place.record_loss(crashed=False)
        return False

    async def _resume(self, reason: str) -> None:
        """Let another run go on after the last event, where that is allowed.

        Raises:
            CodedError: The stream cannot go on.
        """
        reply: _ports.Reply = _ports.Lost(reason)
        place = None
        while True:
            self._retry(place, reply, self._runs >= MAX_RUNS)
            place = await self._placer.place(self._request, self._excluded)
            reply = await self._open(place, self._find_start())
            if isinstance(reply, _ports.Streaming):
                return

    def _retry(
        self,
        place: _places.RelayPlace | None,
        reply: _ports.Reply,
        last: bool,
    ) -> None:
        """Exclude a target that failed, or raise when there is no retry."""
        failed = _places.FailedSend(
            place.target.name if place is not None else '',
            self._excluded,
            _calls.find_outcome(reply),
        )
        decision = self._placer.decide_retry(self._request, failed)
        if last and isinstance(decision, _retry_decisions.Retry):
            decision = _calls.give_up(reply)
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
    """Tell whether a stream ends before a copy of its run would help."""
    prompt = request.prompt
    return prompt is None or prompt.max_tokens <= SHORT_ANSWER_TOKENS
