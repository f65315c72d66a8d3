"""Relays requests that have one answer."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep.targets import _bounds
from laburnumstep.targets import _retry_decisions
from laburnumstep.targets.relay import _places
from laburnumstep.targets.relay import _ports

MAX_SENDS = 3
"""Sends of one request, those included that no target ran."""
RESEND_SECONDS = 0.25
"""When a caller may come back after targets without room, in seconds."""
_FIRST_FAILURE_STATUS = 500

_LOGGER = core.get_logger('relay')


@attrs.define
class _CallRun:
    """What became of a request so far."""

    sends: int = 0
    """Targets to which it was sent."""
    ran: int = 0
    """Targets that may have run it."""
    answer: _ports.Answered | None = None
    """Last answer of a target; it is given where no better one comes."""

    def record(self, reply: _ports.Reply) -> None:
        """Count a send with its reply."""
        self.sends += 1
        if find_outcome(reply) is not core.Outcome.NOT_RUN:
            self.ran += 1
        if isinstance(reply, _ports.Answered):
            self.answer = reply


class CallRelay:
    """Sends a request to targets until one answers.

    Args:
        placer: Finds targets.
        port: Sends to targets.
        clock: Compared with callers' deadlines.
    """

    def __init__(
        self,
        placer: _places.RelayPlacer,
        port: _ports.TargetPort,
        clock: core.Clock,
    ) -> None:
        self._placer = placer
        self._port = port
        self._clock = clock

    async def run(
        self,
        request: _ports.RelayRequest,
        sink: _ports.AnswerSink,
    ) -> None:
        """Relay a request and hand over its answer.

        Raises:
            CodedError: No target answered.
        """
        run = _CallRun()
        try:
            await self._try_targets(request, sink, run)
        except core.CodedError as error:
            if run.answer is None:
                raise correct_outcome(error, run.ran > 0) from error
            await sink.answer(run.answer)

    async def _try_targets(
        self,
        request: _ports.RelayRequest,
        sink: _ports.AnswerSink,
        run: _CallRun,
    ) -> None:
        idempotent = is_repeatable(request.route.kind)
        excluded: frozenset[str] = frozenset()
        while True:
            place = await self._placer.place(request, excluded)
            more = idempotent and run.ran + 1 < request.route.attempts
            reply = await self._send(request, place, more)
            run.record(reply)
            log_reply(request, place, reply, run.sends, self._clock.now())
            if isinstance(reply, _ports.Answered):
                failed = reply.status >= _FIRST_FAILURE_STATUS
                if not (failed and more):
                    await sink.answer(reply)
                    return
            decision = self._decide(request, place, excluded, reply, run)
            match decision:
                case _retry_decisions.Retry():
                    excluded = decision.excluded
                case _retry_decisions.GiveUp():
                    raise make_error(
                        reply, decision, request.deadline, self._clock.now()
                    )
                case _:
                    typing.assert_never(decision)

    async def _send(
        self,
        request: _ports.RelayRequest,
        place: _places.RelayPlace,
        more: bool,
    ) -> _ports.Reply:
        now = self._clock.now()
        until = _bounds.bound_attempt(now, request.deadline, int(more))
        attempt = _ports.Attempt(request, place.target, _ports.Fresh(), until)
        complete = False
        try:
            reply = await self._port.send(attempt)
            complete = isinstance(reply, _ports.Answered)
            if isinstance(reply, _ports.NotReached):
                place.record_loss(crashed=False)
        finally:
            place.release(complete)
        return reply

    def _decide(
        self,
        request: _ports.RelayRequest,
        place: _places.RelayPlace,
        excluded: frozenset[str],
        reply: _ports.Reply,
        run: _CallRun,
    ) -> _retry_decisions.RetryDecision:
        if run.sends >= MAX_SENDS or run.ran >= request.route.attempts:
            return give_up(reply)
        failed = _places.FailedSend(
            place.target.name, excluded, find_outcome(reply)
        )
        return self._placer.decide_retry(request, failed)


def is_repeatable(kind: core.RouteKind) -> bool:
    """Tell whether a request may run more than once."""
    match kind:
        case core.CallKind(idempotent=idempotent):
            return idempotent
        case core.StreamKind(resumable=resumable):
            return resumable
        case _:
            typing.assert_never(kind)


def find_outcome(reply: _ports.Reply) -> core.Outcome:
    """Return whether the target ran the request."""
    match reply:
        case _ports.NotRun() | _ports.NotReached():
            return core.Outcome.NOT_RUN
        case _ports.Lost():
            return core.Outcome.UNKNOWN
        case _ports.Answered() | _ports.Streaming():
            return core.Outcome.RAN
        case _:
            typing.assert_never(reply)


def make_error(
    reply: _ports.Reply,
    decision: _retry_decisions.GiveUp,
    deadline: float,
    now: float,
) -> core.CodedError:
    """Return what a caller is told of a request that no target answered."""
    reason = getattr(reply, 'reason', 'the target failed')
    if decision.outcome is core.Outcome.NOT_RUN:
        return core.CodedError(
            core.ErrorCode.OVERLOADED,
            reason,
            resend=True,
            resend_at=now + RESEND_SECONDS,
        )
    code = decision.code
    if now >= deadline:
        code = core.ErrorCode.DEADLINE_EXCEEDED
    return core.CodedError(code, reason, decision.outcome, decision.resend)


def correct_outcome(
    error: core.CodedError, may_have_run: bool
) -> core.CodedError:
    """Return an error that does not deny an earlier send that may have run.

    Args:
        error: What the last step gave.
        may_have_run: Whether a target may have run the request before.
    """
    if not may_have_run or error.outcome is not core.Outcome.NOT_RUN:
        return error
    return error.with_outcome(core.Outcome.UNKNOWN)


def log_reply(
    request: _ports.RelayRequest,
    place: _places.RelayPlace,
    reply: _ports.Reply,
    sends: int,
    now: float,
) -> None:
    """Write the line of one send."""
    _LOGGER.info(
        'sent request=%s route=%s target=%s send=%d outcome=%s detail=%s'
        ' after_ms=%d left_ms=%d',
        request.key,
        request.route.name,
        place.target.name,
        sends,
        type(reply).__name__,
        getattr(reply, 'reason', None) or getattr(reply, 'status', '-'),
        (now - request.arrived_at) * 1000,
        (request.deadline - now) * 1000,
    )


def give_up(reply: _ports.Reply) -> _retry_decisions.GiveUp:
    """Return the end of a request that was sent too often."""
    outcome = find_outcome(reply)
    return _retry_decisions.GiveUp(
        core.ErrorCode.TARGET_FAILED, outcome, outcome is core.Outcome.NOT_RUN
    )
