"""Finds engines for generations and keeps the books of their load."""

from __future__ import annotations

import typing

import attrs

from laburnumstep.callers import _admission_queue
from laburnumstep import core
from laburnumstep import operators
from laburnumstep import targets

if typing.TYPE_CHECKING:
    from laburnumstep.callers import _admission
    from laburnumstep.callers import _limits

FAILED_SECONDS = 5.0
"""How long an engine that failed gets no new work, in seconds."""
CHARACTERS_PER_TOKEN = 4
"""Rough length of a token; prompts are not tokenized here."""

_LOGGER = core.get_logger('callers')

FindPrefixes = typing.Callable[[str], list[str]]


@attrs.frozen
class RoutingState:
    """What this VM knows for its routing decisions."""

    clock: core.Clock
    """The time."""
    view: targets.FleetView
    """Targets and their load."""
    lengths: targets.LengthEstimator
    """Expected lengths of answers."""
    budget: targets.RetryBudget
    """Retries that are left."""
    suspects: targets.CrashSuspects
    """Requests that crash targets."""
    limits: _limits.WorkspaceLimits
    """Limits of workspaces."""
    clients: targets.EngineClients
    """Clients of the engines."""
    metrics: core.Metrics
    """Counts decisions and failures."""


class EnginePlacer:
    """Places generations on engines, as `targets.Placer`.

    Args:
        state: What this VM knows.
        admission: Queues generations until an engine has room.
        record: Keeps decisions for operators.
        report_crash: Tells sibling VMs of a crash.
    """

    def __init__(
        self,
        state: RoutingState,
        admission: _admission.Admission,
        record: typing.Callable[[operators.Decision], None],
        report_crash: typing.Callable[[targets.Crash], None],
    ) -> None:
        self._state = state
        self._admission = admission
        self._record = record
        self._report_crash = report_crash

    async def place(
        self, request: core.Generation, excluded: frozenset[str]
    ) -> EnginePlacement:
        """Wait for room on an engine.

        Args:
            request: What to generate.
            excluded: Engines on which it has failed.

        Raises:
            CodedError: The request is shed, or no engine serves it.
        """
        fingerprint = targets.fingerprint_generation(request)
        if self._state.suspects.is_refused(fingerprint):
            self._state.metrics.count('routing.crash_refused')
            raise core.CodedError(
                core.ErrorCode.REQUEST_CRASHES_TARGETS,
                'each target that ran this request has crashed',
            )
        if not excluded:
            self._state.budget.record_request(self._state.clock.now())
        result = await self._admission.admit(
            self._describe(request, excluded, fingerprint)
        )
        match result:
            case _admission_queue.Admitted():
                self._keep_decision(request, result.placed)
                return EnginePlacement(
                    self._state,
                    result.send,
                    fingerprint,
                    self._report_crash,
                )
            case _admission_queue.Shed(code, resend_at):
                self._state.metrics.count('routing.shed')
                raise core.CodedError(
                    code,
                    f'no engine has room for {request.model}',
                    resend=True,
                    resend_at=resend_at,
                )
            case _:
                typing.assert_never(result)

    def attach(self, target: str, generation: str) -> EnginePlacement:
        """Return the place of a generation that another VM began.

        Raises:
            CodedError: `generation_lost` when the engine is not declared.
        """
        if self._state.clients.find(target) is None:
            raise core.CodedError(
                core.ErrorCode.GENERATION_LOST,
                'the engine is not part of the deployment any more',
                core.Outcome.RAN,
                resend=True,
                resend_at=self._state.clock.now(),
            )
        send = self._state.view.adopt(target, generation)
        return EnginePlacement(self._state, send, '', self._report_crash)

    def decide_retry(
        self, request: core.Generation, failed: targets.FailedRun
    ) -> targets.RetryDecision:
        """Decide whether a request whose engine failed is tried again."""
        fingerprint = targets.fingerprint_generation(request)
        attempt = targets.FailedAttempt(
            target=failed.target,
            excluded=failed.excluded,
            deadline=request.deadline,
            outcome=failed.outcome,
            repeatable=True,
            delivered=failed.delivered,
            refused=self._state.suspects.is_refused(fingerprint),
        )
        now = self._state.clock.now()
        decision = targets.decide_retry(attempt, self._state.budget, now)
        name = type(decision).__name__.lower()
        self._state.metrics.count(f'routing.{name}')
        return decision

    def _describe(
        self,
        request: core.Generation,
        excluded: frozenset[str],
        fingerprint: str,
    ) -> _admission_queue.AdmissionRequest:
        placement = targets.PlacementRequest(
            request=str(request.key),
            workspace=request.workspace,
            model=request.model,
            prompt_tokens=len(request.prompt) // CHARACTERS_PER_TOKEN + 1,
            prefixes=targets.digest_prefixes(request.prompt),
            priority=request.priority,
            excluded=excluded,
            suspect=self._state.suspects.is_suspect(fingerprint),
        )
        return _admission_queue.AdmissionRequest(
            placement=placement,
            generation_id=targets.new_generation_id(),
            deadline=request.deadline,
            max_tokens=request.max_tokens,
        )

    def _keep_decision(
        self, request: core.Generation, placed: targets.Placed
    ) -> None:
        self._record(
            operators.Decision(
                str(request.key),
                request.workspace,
                placed.target,
                placed.reason,
                placed.runners_up,
                self._state.clock.now(),
            )
        )


class EnginePlacement:
    """One generation's place on an engine, as `targets.GenerationPlace`.

    Args:
        state: What this VM knows.
        send: The send, already counted by the view.
        fingerprint: Fingerprint of the request; empty when it is not known.
        report_crash: Tells sibling VMs of a crash.
    """

    def __init__(
        self,
        state: RoutingState,
        send: targets.Send,
        fingerprint: str,
        report_crash: typing.Callable[[targets.Crash], None],
    ) -> None:
        self._state = state
        self._send = send
        self._fingerprint = fingerprint
        self._report_crash = report_crash
        self._client = state.clients.get(send.target)

    @property
    def target(self) -> str:
        """Name of the engine."""
        return self._send.target

    @property
    def generation(self) -> str:
        """Identifier of the generation."""
        return self._send.generation_id

    @property
    def client(self) -> targets.EngineClient:
        """Client of the engine."""
        return self._client

    def record_tokens(self, count: int) -> None:
        """Count tokens that the engine generated."""
        self._state.view.record_tokens(self._send, count)
        self._state.limits.record_tokens(self._send.workspace, count)

    def record_preemption(self) -> None:
        """Count a preemption."""
        self._state.metrics.count('targets.preemptions')
        _LOGGER.info(
            'preempted; generation=%s target=%s',
            self.generation,
            self.target,
        )

    def record_loss(self, crashed: bool) -> None:
        """Give a failed engine no new work for a while.

        Args:
            crashed: Whether its process ended with this request on it.
        """
        until = self._state.clock.now() + FAILED_SECONDS
        self._state.view.set_failed(self.target, until)
        if crashed and self._fingerprint:
            self._state.metrics.count('targets.crashes')
            self._report_crash(
                self._state.suspects.record_crash(
                    self._fingerprint, self.target
                )
            )

    def release(self, complete: bool) -> None:
        """Give the engine's room back.

        Args:
            complete: Whether the answer is whole, so that its length may
                be learned.
        """
        self._state.view.end(self._send)
        if complete and self._send.model:
            self._state.lengths.observe(
                self._send.workspace, self._send.model, self._send.tokens
            )
            self._state.suspects.record_completion(self._fingerprint)
