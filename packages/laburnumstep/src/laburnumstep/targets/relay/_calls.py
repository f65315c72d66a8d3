"""Relays requests that are answered by one complete response."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep.targets import _bounds
from laburnumstep.targets import _retry_decisions
from laburnumstep.targets.relay import _placements
from laburnumstep.targets.relay import _ports

MAX_SENDS = 3
"""Maximum number of dispatches of one request, whether or not a target ran
it."""
RESEND_SECONDS = 0.25
"""Delay before the caller may resend a request that was not run, in
seconds."""
_FIRST_FAILURE_STATUS = 500

_LOGGER = core.get_logger('relay')


@attrs.define
class _CallProgress:
    """Dispatches of one request so far."""

    sends: int = 0
    """Number of dispatches."""
    possible_runs: int = 0
    """Dispatches after which the target may have run the request."""
    last_answer: _ports.Answered | None = None
    """Last answer of a target; returned if no later dispatch succeeds."""

    def record(self, reply: _ports.Reply) -> None:
        """Count a dispatch and remember its reply."""
        self.sends += 1
        if get_outcome(reply) is not core.Outcome.NOT_RUN:
            self.possible_runs += 1
        if isinstance(reply, _ports.Answered):
            self.last_answer = reply


class CallRelay:
    """Sends a request to one target after another until one answers.

    Args:
        placer: Places requests on targets.
        port: Sends requests to targets.
        clock: Clock that callers' deadlines are compared with.
    """

    def __init__(
        self,
        placer: _placements.RelayPlacer,
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
        """Relay a request and pass its answer to a sink.

        Args:
            request: The request.
            sink: Receives the answer.

        Raises:
            CodedError: No target answered.
        """
        progress = _CallProgress()
        self._placer.record_request(request)
        try:
            await self._try_targets(request, sink, progress)
        except core.CodedError as error:
            if progress.last_answer is None:
                raise correct_outcome(
                    error, progress.possible_runs > 0
                ) from error
            await sink.answer(progress.last_answer)

    async def _try_targets(
        self,
        request: _ports.RelayRequest,
        sink: _ports.AnswerSink,
        progress: _CallProgress,
    ) -> None:
        repeatable = is_repeatable(request.route.kind)
        excluded: frozenset[str] = frozenset()
        while True:
            placement = await self._placer.place(request, excluded)
            may_retry = (
                repeatable
                and progress.possible_runs + 1 < request.route.attempts
            )
            reply = await self._send(request, placement, may_retry)
            if isinstance(reply, _ports.Held):
                log_held(request, placement, reply, self._clock.now())
                continue
            if isinstance(reply, _ports.Barred):
                log_barred(request, placement, reply)
                excluded |= {placement.target.name}
                continue
            progress.record(reply)
            log_reply(
                request, placement, reply, progress.sends, self._clock.now()
            )
            if isinstance(reply, _ports.Answered):
                is_failure = reply.status >= _FIRST_FAILURE_STATUS
                if not (is_failure and may_retry):
                    await sink.answer(reply)
                    return
            decision = await self._decide_retry(
                request, placement, excluded, reply, progress
            )
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
        placement: _placements.RelayPlacement,
        may_retry: bool,
    ) -> _ports.Reply:
        """Send a request to one target and release its placement."""
        now = self._clock.now()
        deadline = _bounds.bound_attempt(now, request.deadline, int(may_retry))
        attempt = _ports.Attempt(
            request, placement.target, _ports.NewRun(), deadline
        )
        complete = False
        try:
            reply = await self._port.send(attempt)
            complete = isinstance(reply, _ports.Answered)
            record_failure(placement, reply)
        finally:
            placement.release(complete)
        return reply

    async def _decide_retry(
        self,
        request: _ports.RelayRequest,
        placement: _placements.RelayPlacement,
        excluded: frozenset[str],
        reply: _ports.Reply,
        progress: _CallProgress,
    ) -> _retry_decisions.RetryDecision:
        if (
            progress.sends >= MAX_SENDS
            or progress.possible_runs >= request.route.attempts
        ):
            return make_give_up(reply)
        failed = _placements.FailedSend(
            placement.target.name, excluded, get_outcome(reply)
        )
        return await self._placer.decide_retry(request, failed)


def record_failure(
    placement: _placements.RelayPlacement, reply: _ports.Reply
) -> None:
    """Record what a reply says about the state of its target."""
    match reply:
        case _ports.Held(until=until):
            placement.record_held(until)
        case _ports.NotReached():
            placement.record_failure(crashed=False)
        case _ports.Lost(closed=True):
            placement.record_break()


def is_repeatable(kind: core.RouteKind) -> bool:
    """Return whether requests of a route may run more than once."""
    match kind:
        case core.CallKind(idempotent=idempotent):
            return idempotent
        case core.StreamKind(resumable=resumable):
            return resumable
        case _:
            typing.assert_never(kind)


def get_outcome(reply: _ports.Reply) -> core.Outcome:
    """Return whether the target ran the request, according to its reply."""
    match reply:
        case (
            _ports.NotRun()
            | _ports.Held()
            | _ports.Barred()
            | _ports.NotReached()
        ):
            return core.Outcome.NOT_RUN
        case _ports.Lost() | _ports.Underway():
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
    """Return the error for the caller of a request that was given up.

    Args:
        reply: Reply of the last target.
        decision: Why the request is not sent again.
        deadline: The caller's deadline, in epoch seconds.
        now: The time, in epoch seconds.
    """
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
    """Return an error whose outcome accounts for earlier dispatches.

    An error with the outcome "not run" describes the last step only. If an
    earlier dispatch may have run the request, the outcome becomes unknown.

    Args:
        error: Error of the last step.
        may_have_run: Whether a target may have run the request before.
    """
    if not may_have_run or error.outcome is not core.Outcome.NOT_RUN:
        return error
    return error.with_outcome(core.Outcome.UNKNOWN)


def log_reply(
    request: _ports.RelayRequest,
    placement: _placements.RelayPlacement,
    reply: _ports.Reply,
    sends: int,
    now: float,
) -> None:
    """Log one dispatch of a request and its reply."""
    _LOGGER.info(
        'sent request=%s route=%s target=%s send=%d outcome=%s detail=%s'
        ' after_ms=%d left_ms=%d',
        request.key,
        request.route.name,
        placement.target.name,
        sends,
        type(reply).__name__,
        getattr(reply, 'reason', None) or getattr(reply, 'status', '-'),
        (now - request.arrived_at) * 1000,
        (request.deadline - now) * 1000,
    )


def log_held(
    request: _ports.RelayRequest,
    placement: _placements.RelayPlacement,
    held: _ports.Held,
    now: float,
) -> None:
    """Log that a request is placed anew because its target takes no more."""
    _LOGGER.info(
        'held back request=%s route=%s target=%s for_ms=%d left_ms=%d',
        request.key,
        request.route.name,
        placement.target.name,
        (held.until - now) * 1000,
        (request.deadline - now) * 1000,
    )


def log_barred(
    request: _ports.RelayRequest,
    placement: _placements.RelayPlacement,
    barred: _ports.Barred,
) -> None:
    """Log that a request is placed anew because it may not run there."""
    _LOGGER.info(
        'barred request=%s route=%s target=%s reason="%s"',
        request.key,
        request.route.name,
        placement.target.name,
        barred.reason,
    )


def make_give_up(reply: _ports.Reply) -> _retry_decisions.GiveUp:
    """Return the decision for a request that has used up its dispatches."""
    outcome = get_outcome(reply)
    return _retry_decisions.GiveUp(
        core.ErrorCode.TARGET_FAILED, outcome, outcome is core.Outcome.NOT_RUN
    )
