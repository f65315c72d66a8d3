"""Placement of generations on engines, with accounting of their load."""

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

EJECTION_SECONDS = 5.0
"""Time for which a failed engine is ejected, in seconds."""
CHARACTERS_PER_TOKEN = 4
"""Approximate length of a token, since prompts are not tokenized here."""

_LOGGER = core.get_logger('callers')

FindPrefixes = typing.Callable[[str], list[str]]


@attrs.frozen
class RoutingState:
    """State of this VM that routing decisions are based on."""

    clock: core.Clock
    """Clock for deadlines and ejections."""
    view: targets.FleetView
    """Targets and their load."""
    lengths: targets.LengthEstimator
    """Length estimates of answers."""
    budget: targets.RetryBudget
    """Budget for retries."""
    suspects: targets.CrashSuspects
    """Crash suspects among requests."""
    limits: _limits.WorkspaceLimits
    """Limits of workspaces."""
    clients: targets.EngineClients
    """Clients of the engines."""
    crashes: targets.CrashMonitor
    """Observes crashes of targets."""
    metrics: core.Metrics
    """Receives counts of decisions and failures."""


class EnginePlacer:
    """Places generations on engines, as `targets.Placer`.

    Args:
        state: State of this VM for routing decisions.
        admission: Queues generations until an engine has capacity.
        record: Records decisions for operators.
        report_crash: Reports a crash to sibling VMs.
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
        """Wait for capacity and place a generation on an engine.

        Args:
            request: The generation.
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
            self._make_admission_request(request, excluded, fingerprint)
        )
        match result:
            case _admission_queue.Admitted():
                self._record_decision(request, result.placed)
                return EnginePlacement(
                    self._state, result.send, fingerprint, self._running
                )
            case _admission_queue.Shed(code, resend_at):
                self._state.metrics.count('routing.shed')
                raise core.CodedError(
                    code,
                    f'no engine has capacity for {request.model}',
                    resend=True,
                    resend_at=resend_at,
                )
            case _:
                typing.assert_never(result)

    def attach(self, target: str, generation: str) -> EnginePlacement:
        """Return the placement of a generation that another VM started.

        Args:
            target: Name of the engine.
            generation: Identifier of the generation.

        Raises:
            CodedError: `generation_lost` if the engine is not declared.
        """
        if self._state.clients.find(target) is None:
            raise core.CodedError(
                core.ErrorCode.GENERATION_LOST,
                'the engine is no longer part of the deployment',
                core.Outcome.RAN,
                resend=True,
                resend_at=self._state.clock.now(),
            )
        send = self._state.view.adopt(target, generation)
        return EnginePlacement(self._state, send, '', self._running)

    def decide_retry(
        self, request: core.Generation, failed: targets.FailedRun
    ) -> targets.RetryDecision:
        """Decide whether a request whose engine failed is retried."""
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

    def _make_admission_request(
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

    def _record_decision(
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
    """Requests in progress by engine, to attribute crashes to requests.

    Args:
        state: State of this VM for routing decisions.
        report_crash: Reports a crash to sibling VMs.
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
        """Add a request that an engine runs."""
        self._by_target.setdefault(target, {})[generation] = fingerprint

    def remove(self, target: str, generation: str) -> None:
        """Remove a request that has ended."""
        running = self._by_target.get(target, {})
        running.pop(generation, None)
        if not running:
            self._by_target.pop(target, None)

    def record_crash(self, target: str, generation: str) -> None:
        """Record a crash of an engine for all requests that it ran.

        The first request that observes the crash records it for all of
        them. Later calls for the same crash do nothing: if one request was
        already a suspect, it explains the crash, and the others must not
        become suspects one by one.

        Args:
            target: Name of the engine.
            generation: Generation that observed the crash.
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
    """A generation on an engine, as `targets.GenerationPlacement`.

    Args:
        state: State of this VM for routing decisions.
        send: The dispatch, already counted in the load of the engine.
        fingerprint: Fingerprint of the request; empty if not known.
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
        """Count tokens received from the engine.

        Args:
            count: Number of tokens.
            size: Their encoded size, in bytes.
        """
        view = self._state.view
        view.record_tokens(self._send, count)
        view.record_received(self._send, size)
        self._state.limits.record_tokens(self._send.workspace, count)

    def record_preemption(self) -> None:
        """Count and log a preemption."""
        self._state.metrics.count('targets.preemptions')
        _LOGGER.info(
            'preempted; generation=%s target=%s',
            self.generation,
            self.target,
        )

    def record_failure(self, crashed: bool) -> None:
        """Eject a failed engine for `EJECTION_SECONDS`.

        Args:
            crashed: Whether its process ended while it ran this request.
        """
        until = self._state.clock.now() + EJECTION_SECONDS
        self._state.view.set_failed(self.target, until)
        if crashed:
            self._running.record_crash(self.target, self.generation)

    def release(self, complete: bool) -> None:
        """Release the capacity used on the engine.

        Args:
            complete: Whether the answer is complete. Only then is its length
                added to the observed lengths.
        """
        self._state.view.end(self._send)
        self._running.remove(self.target, self.generation)
        if complete and self._send.model:
            self._state.lengths.observe(
                self._send.workspace, self._send.model, self._send.tokens
            )
            self._state.suspects.record_completion(self._fingerprint)
