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
        self._running = RunningRequests(state, report_crash)

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
                    self._state, result.send, fingerprint, self._running
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
        return EnginePlacement(self._state, send, '', self._running)

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


class RunningRequests:
    """Requests in progress by engine, to find out which one crashed it.

    Args:
        state: What this VM knows.
        report_crash: Tells sibling VMs of a crash.
    """

    def __init__(
        self,
        state: RoutingState,
        report_crash: typing.Callable[[targets.Crash], None],
    ) -> None:
        self._state = state
        self._report_crash = report_crash
        self._by_target: dict[str, dict[str, str]] = {}

    def add(self, target: str, generation: str, fingerprint: str) -> None:
        """Count a request that an engine runs."""
        self._by_target.setdefault(target, {})[generation] = fingerprint

    def remove(self, target: str, generation: str) -> None:
        """Count a request no more."""
        running = self._by_target.get(target, {})
        running.pop(generation, None)
        if not running:
            self._by_target.pop(target, None)

    def record_crash(self, target: str, generation: str) -> None:
        """Count the end of an engine's process against what it ran.

        The first request that notices counts for all of them: a known
        suspect explains the crash, and the others must not be blamed for
        it one by one afterwards.
        """
        running = self._by_target.get(target, {})
        if generation not in running:
            return
        del self._by_target[target]
        self._state.metrics.count('targets.crashes')
        for crash in self._state.suspects.record_target_crash(
            target, list(running.values())
        ):
            self._report_crash(crash)


class EnginePlacement:
    """One generation's place on an engine, as `targets.GenerationPlace`.

    Args:
        state: What this VM knows.
        send: The send, already counted by the view.
        fingerprint: Fingerprint of the request; empty when it is not known.
        running: Requests in progress by engine.
    """

    def __init__(
        self,
        state: RoutingState,
        send: targets.Send,
        fingerprint: str,
        running: RunningRequests,
    ) -> None:
        self._state = state
        self._send = send
        self._fingerprint = fingerprint
        self._running = running
        if fingerprint:
            running.add(send.target, send.generation_id, fingerprint)
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

    def record_tokens(self, count: int, size: int) -> None:
        """Count tokens that the engine sent.

        Args:
            count: Tokens.
            size: Their encoded size, in bytes.
        """
        view = self._state.view
        view.record_tokens(self._send, count)
        view.record_received(self._send, size)
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
        if crashed:
            self._running.record_crash(self.target, self.generation)

    def release(self, complete: bool) -> None:
        """Give the engine's room back.

        Args:
            complete: Whether the answer is whole, so that its length may
                be learned.
        """
        self._state.view.end(self._send)
        self._running.remove(self.target, self.generation)
        if complete and self._send.model:
            self._state.lengths.observe(
                self._send.workspace, self._send.model, self._send.tokens
            )
            self._state.suspects.record_completion(self._fingerprint)
