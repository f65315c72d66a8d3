"""Sends the attempts of one stream and counts them."""

from __future__ import annotations

import typing

import anyio

from laburnumstep import core
from laburnumstep.targets import _bounds
from laburnumstep.targets import _retry_decisions
from laburnumstep.targets.relay import _calls
from laburnumstep.targets.relay import _handover
from laburnumstep.targets.relay import _placements
from laburnumstep.targets.relay import _ports

CONTINUE_TIMEOUT_SECONDS = 2.0
"""Timeout of the answer of an engine that continues a run which no engine
works on, in seconds. It is admitted first and computes few tokens; callers
disconnect after longer pauses."""
MAX_ATTEMPTS = 8
"""Maximum number of attempts of one stream, at the same engine or others."""


class StreamAttempts:
    """Sends attempts of one stream.

    Args:
        request: The request.
        placer: Decides on retries.
        port: Sends requests to targets.
        handover: Sends requests while another engine works on the run.
        clock: Clock for deadlines.
    """

    def __init__(
        self,
        request: _ports.RelayRequest,
        placer: _placements.RelayPlacer,
        port: _ports.TargetPort,
        handover: _handover.Handover,
        clock: core.Clock,
    ) -> None:
        self._request = request
        self._placer = placer
        self._port = port
        self._handover = handover
        self._clock = clock
        self._count = 0
        self._possible_runs = 0
        self._may_have_run = False
        self._excluded: frozenset[str] = frozenset()

    @property
    def excluded(self) -> frozenset[str]:
        """Targets on which the request failed."""
        return self._excluded

    @property
    def count(self) -> int:
        """Number of attempts."""
        return self._count

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return self._may_have_run

    @property
    def may_continue(self) -> bool:
        """Whether a further attempt may continue the run from a copy."""
        return self._count < MAX_ATTEMPTS

    @property
    def may_start(self) -> bool:
        """Whether a further attempt may start a run.

        A run that continues from a copy is none: it is the same run.
        """
        allowed = self._request.route.attempts
        return self._possible_runs < allowed and self.may_continue

    async def send(
        self,
        placement: _placements.RelayPlacement,
        start: _ports.Start,
        backup: core.EngineTarget | None,
        earlier: _handover.EarlierRun | None,
    ) -> _ports.Reply:
        """Send the request to one target.

        Args:
            placement: Placement on the target; released unless it streams.
            start: Where in the answer the attempt starts.
            backup: Engine that holds a growing copy of the run, if any.
            earlier: The run at the engine before, which may still work on it;
                None if there is none.
        """
        request = self._request
        deadline = request.deadline
        if _calls.is_repeatable(request.route.kind):
            deadline = _bounds.bound_attempt(
                self._clock.now(), request.deadline, 1
            )
        attempt = _ports.Attempt(
            request, placement.target, start, deadline, backup
        )
        reply: _ports.Reply = _ports.Lost('cancelled')
        try:
            if earlier is None:
                reply = await self._send_bounded(attempt)
            else:
                reply = await self._handover.send(
                    attempt,
                    earlier,
                    lambda late: self._record_late(placement, start, late),
                )
            _calls.record_failure(placement, reply)
        finally:
            if not _ports.is_running(reply):
                placement.release(complete=False)
        now = self._clock.now()
        if isinstance(reply, _ports.Held):
            _calls.log_held(request, placement, reply, now)
            return reply
        if isinstance(reply, _ports.Barred):
            _calls.log_barred(request, placement, reply)
            return reply
        self._record(start, reply)
        _calls.log_reply(request, placement, reply, self._count, now)
        return reply

    def exclude(self, target: str) -> None:
        """Start no further run on a target."""
        self._excluded |= {target}

    async def exclude_failed(
        self,
        placement: _placements.RelayPlacement | None,
        reply: _ports.Reply,
        last: bool = False,
    ) -> None:
        """Exclude a failed target, if there is another attempt.

        Args:
            placement: Placement on the target, or None.
            reply: How the attempt ended.
            last: Whether there is no further attempt.

        Raises:
            CodedError: The request is not tried again.
        """
        failed = _placements.FailedSend(
            placement.target.name if placement is not None else '',
            self._excluded,
            _calls.get_outcome(reply),
        )
        decision = await self._placer.decide_retry(self._request, failed)
        is_retry = isinstance(decision, _retry_decisions.Retry)
        if is_retry and (last or not self.may_start):
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

    def _record(self, start: _ports.Start, reply: _ports.Reply) -> None:
        self._count += 1
        if _calls.get_outcome(reply) is not core.Outcome.NOT_RUN:
            self._may_have_run = True
            if not isinstance(start, _ports.ContinuedRun):
                self._possible_runs += 1

    def _record_late(
        self,
        placement: _placements.RelayPlacement,
        start: _ports.Start,
        reply: _ports.Reply,
    ) -> None:
        """Record the reply to an attempt that counts as a possible run."""
        if _calls.get_outcome(reply) is core.Outcome.NOT_RUN:
            if not isinstance(start, _ports.ContinuedRun):
                self._possible_runs -= 1
        now = self._clock.now()
        _calls.log_reply(self._request, placement, reply, self._count, now)

    async def _send_bounded(self, attempt: _ports.Attempt) -> _ports.Reply:
        """Send an attempt; give up one that continues a run after a while.

        An engine that has crashed may never answer.
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
