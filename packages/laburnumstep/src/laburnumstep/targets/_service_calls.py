"""Execution of the operations of plain services.

An operation that is not idempotent runs at most once for each request key.
"""

from __future__ import annotations

import typing

import anyio

from laburnumstep import core
from laburnumstep import log
from laburnumstep.targets import _bounds
from laburnumstep.targets import _service_client
from laburnumstep.targets import _traits

if typing.TYPE_CHECKING:
    from laburnumstep.targets import limits

_LOGGER = core.get_logger('targets')
_DIGEST_CHARACTERS = 12
"""Length of the fingerprint in a claim. It is short because every claim is
stored and sent, and it only has to distinguish requests with the same key."""
_QUERY_SECONDS = 2.0
"""Longest wait for an outcome query, in seconds."""
_RESEND_SECONDS = 1.0
"""Time until a caller should resend a call with an unknown outcome, in
seconds."""


class RetryAllowance(typing.Protocol):
    """Limits the load that retries may add."""

    def try_spend(self, now: float) -> bool:
        """Count one retry if the budget allows it; return whether it does."""
        ...


class ClaimStore(typing.Protocol):
    """Records claims of request keys, such as `log.ClaimStore`."""

    async def claim(
        self,
        key: core.RequestKey,
        workspace: str,
        until: float,
        request: str = '',
    ) -> log.ClaimAnswer:
        """Claim a key.

        Args:
            key: The request key.
            workspace: Name of the workspace.
            until: When to give up, in epoch seconds.
            request: Fingerprint that distinguishes requests with this key.

        Raises:
            CodedError: The claim could not be recorded.
        """
        ...

    def release(self, claim: log.Granted) -> None:
        """Release a key whose operation cannot have run."""
        ...

    def settle(
        self, claim: log.Granted | log.Held, result: core.CallResult
    ) -> None:
        """Record the settlement of a key: the answer of its operation."""
        ...


class CallRunner:
    """Runs the operations of plain services.

    Args:
        clients: Clients of the services' servers.
        claims: Records of claimed request keys.
        budget: Limits the retries.
        gate: Lets operations on servers with a limit pass.
        hold: Called with a server that takes no more, and until when.
        clock: Clock for deadlines.
        metrics: Counts the results.
    """

    def __init__(
        self,
        clients: _service_client.ServiceClients,
        claims: ClaimStore,
        budget: RetryAllowance,
        gate: limits.PermitGate,
        hold: typing.Callable[[str, float], None],
        clock: core.Clock,
        metrics: core.Metrics,
    ) -> None:
        self._clients = clients
        self._claims = claims
        self._budget = budget
        self._gate = gate
        self._hold = hold
        self._clock = clock
        self._metrics = metrics

    async def run(
        self,
        call: core.ServiceCall,
        operation: core.Operation,
        targets: list[core.ServiceTarget],
        available_at: float | None = None,
    ) -> core.CallResult:
        """Run one operation and return its result.

        Args:
            call: The operation with its key, payload and deadline.
            operation: Properties of the operation in the configuration.
            targets: Servers to try, best first.
            available_at: When a server can take the operation if none can
                now, in epoch seconds; None if that is not known.

        Raises:
            CodedError: The operation failed; the error has the outcome as
                far as it is known.
        """
        if not targets:
            raise core.CodedError(
                core.ErrorCode.NO_TARGET,
                f'no live target serves {call.service}',
                # The key was not checked, so another VM may have run the
                # operation.
                core.Outcome.UNKNOWN,
                resend=True,
                resend_at=available_at,
            )
        if operation.idempotent:
            answer = await self._send(call, targets, repeatable=True)
            return self._get_result(call, answer)
        return await self._run_once(call, operation, targets)

    async def _run_once(
        self,
        call: core.ServiceCall,
        operation: core.Operation,
        targets: list[core.ServiceTarget],
    ) -> core.CallResult:
        request = _traits.fingerprint_call(call)[:_DIGEST_CHARACTERS]
        answer = await self._claims.claim(
            call.key, call.workspace, call.deadline, request
        )
        self._metrics.count(f'claims.{type(answer).__name__.lower()}')
        match answer:
            case log.Granted():
                # If the caller disconnects, the claim must still be settled
                # or released, so the rest is shielded from cancellation. It
                # is limited by the deadline of the call.
                with anyio.CancelScope(shield=True):
                    result = await self._send_claimed(
                        answer, call, operation, targets
                    )
                return result
            case log.Held():
                return await self._query_outcome(
                    answer, call, operation, targets
                )
            case log.Settled():
                return _replay_answer(answer)
            case _:
                raise _make_claim_error(answer)

    async def _send_claimed(
        self,
        claim: log.Granted,
        call: core.ServiceCall,
        operation: core.Operation,
        targets: list[core.ServiceTarget],
    ) -> core.CallResult:
        answer = await self._send(call, targets, repeatable=False)
        match answer:
            case _service_client.Answered():
                self._claims.settle(claim, answer.result)
            case _service_client.ReplyLost():
                return await self._query_outcome(
                    claim, call, operation, targets
                )
            case (
                _service_client.NotStarted()
                | _service_client.NotReached()
                | _service_client.Held()
            ):
                self._claims.release(claim)
            case _:
                typing.assert_never(answer)
        return self._get_result(call, answer)

    async def _query_outcome(
        self,
        claim: log.Granted | log.Held,
        call: core.ServiceCall,
        operation: core.Operation,
        targets: list[core.ServiceTarget],
    ) -> core.CallResult:
        """Query the outcome of a claimed operation, and settle its key.

        Raises:
            CodedError: The outcome is unknown.
        """
        now = self._clock.now()
        if operation.outcome_query:
            until = now + _QUERY_SECONDS
            for target in targets:
                client = self._clients.find(target)
                result = await client.query_outcome(call.key, until)
                if result is not None:
                    self._claims.settle(claim, result)
                    return result
        self._metrics.count('calls.unknown')
        _LOGGER.warning(
            'call %s workspace=%s: the outcome is unknown',
            call.key,
            call.workspace,
        )
        raise core.CodedError(
            core.ErrorCode.OUTCOME_UNKNOWN,
            'the operation was claimed and its outcome is not known',
            core.Outcome.UNKNOWN,
            resend=True,
            resend_at=now + _RESEND_SECONDS,
        )

    async def _send(
        self,
        call: core.ServiceCall,
        targets: list[core.ServiceTarget],
        repeatable: bool,
    ) -> _service_client.ServiceAnswer:
        """Try the targets in order until one answers.

        An operation that is not repeatable is tried on the next target only
        if the previous one cannot have started it.
        """
        lost: _service_client.ReplyLost | None = None
        answer: _service_client.ServiceAnswer = _service_client.NotReached(
            'the deadline passed before the operation was sent'
        )
        sends = 0
        for index, target in enumerate(targets):
            withheld = await self._gate.acquire(target.name)
            now = self._clock.now()
            if now >= call.deadline:
                break
            if withheld is not None:
                self._hold(target.name, withheld.until)
                if not sends:
                    answer = _service_client.Held(withheld.until)
                _log_answer(call, target, answer, targets[index + 1 :])
                continue
            if sends > 0 and not self._budget.try_spend(now):
                break
            sends += 1
            targets_left = len(targets) - index - 1
            targets_left = targets_left if repeatable else 0
            until = _bounds.bound_attempt(now, call.deadline, targets_left)
            client = self._clients.find(target)
            answer = await client.call(call, until)
            _log_answer(call, target, answer, targets[index + 1 :])
            match answer:
                case _service_client.Answered():
                    return answer
                case _service_client.ReplyLost():
                    lost = answer
                    if not repeatable:
                        return answer
        return lost or answer

    def _get_result(
        self, call: core.ServiceCall, answer: _service_client.ServiceAnswer
    ) -> core.CallResult:
        """Return the result of an answer.

        Raises:
            CodedError: The operation has no result.
        """
        self._metrics.count(f'calls.{type(answer).__name__.lower()}')
        expired = self._clock.now() >= call.deadline
        resend_at = None
        match answer:
            case _service_client.Answered():
                return answer.result
            case _service_client.ReplyLost():
                code = core.ErrorCode.TARGET_FAILED
                outcome = core.Outcome.UNKNOWN
            case _service_client.NotStarted():
                code = core.ErrorCode.OVERLOADED
                outcome = core.Outcome.NOT_RUN
            case _service_client.Held():
                code = core.ErrorCode.OVERLOADED
                outcome = core.Outcome.NOT_RUN
                resend_at = answer.until
            case _service_client.NotReached():
                code = core.ErrorCode.NO_TARGET
                outcome = core.Outcome.NOT_RUN
            case _:
                typing.assert_never(answer)
        if expired:
            code = core.ErrorCode.DEADLINE_EXCEEDED
        raise core.CodedError(
            code, answer.reason, outcome, not expired, resend_at
        )


def _replay_answer(settled: log.Settled) -> core.CallResult:
    if settled.result is not None:
        return settled.result
    raise core.CodedError(
        core.ErrorCode.KEY_IN_USE,
        'the operation ran; its answer was too large to be recorded',
        core.Outcome.RAN,
    )


def _make_claim_error(
    answer: log.Taken | log.Expired | log.NotValidYet,
) -> core.CodedError:
    match answer:
        case log.Taken():
            return core.CodedError(
                core.ErrorCode.KEY_IN_USE,
                'the key belongs to another request',
            )
        case log.Expired():
            # Expired keys are no longer recorded, so it is not known
            # whether the operation ran.
            return core.CodedError(
                core.ErrorCode.KEY_EXPIRED,
                'the key was issued too long ago to be claimed',
                core.Outcome.UNKNOWN,
            )
        case log.NotValidYet():
            return core.CodedError(
                core.ErrorCode.KEY_NOT_VALID_YET,
                'the time of issue of the key lies in the future',
                resend=True,
                resend_at=answer.valid_at,
            )
        case _:
            typing.assert_never(answer)


def _log_answer(
    call: core.ServiceCall,
    target: core.ServiceTarget,
    answer: _service_client.ServiceAnswer,
    others: list[core.ServiceTarget],
) -> None:
    reason = getattr(answer, 'reason', 'answered')
    _LOGGER.info(
        'call %s workspace=%s target=%s answer=%s (%s) runners-up=%s',
        call.key,
        call.workspace,
        target.name,
        type(answer).__name__,
        reason,
        ','.join(other.name for other in others) or '-',
    )
