"""Placement of generations on engines, with accounting of their load."""

from __future__ import annotations

import typing

import attrs

from laburnumstep.callers import _admission_queue
from laburnumstep.callers import _crash_refusals
from laburnumstep import core
from laburnumstep import operators
from laburnumstep import targets

if typing.TYPE_CHECKING:
    from laburnumstep.callers import _admission
    from laburnumstep.callers import _limits
    from laburnumstep.targets import limits

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
    ledger: targets.CrashLedger
    """Evidence about requests that crash targets."""
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
        gate: Lets generations on engines with a limit pass.
    """

    def __init__(
        self,
        state: RoutingState,
        admission: _admission.Admission,
        record: typing.Callable[[operators.Decision], None],
        gate: limits.PermitGate,
    ) -> None:
        self._state = state
        self._admission = admission
        self._record = record
        self._gate = gate

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
        traits = targets.list_generation_traits(request)
        _crash_refusals.check(self._state, str(request.key), traits)
        if not excluded:
            self._state.budget.record_request(self._state.clock.now())
        while True:
            admitted = await self._admit(request, excluded, traits)
            if await self._may_send(request, admitted):
                self._record_decision(request, admitted.placed)
                return EnginePlacement(self._state, admitted.send, traits)

    async def _admit(
        self,
        request: core.Generation,
        excluded: frozenset[str],
        traits: targets.Traits,
    ) -> _admission_queue.Admitted:
        """Wait for capacity on an engine.

        Raises:
            CodedError: The request is shed, or no engine serves it.
        """
        result = await self._admission.admit(
            self._make_admission_request(request, excluded, traits)
        )
        match result:
            case _admission_queue.Admitted():
                _crash_refusals.check_send(
                    self._state, str(request.key), traits, result.send
                )
                return result
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

    async def _may_send(
        self, request: core.Generation, admitted: _admission_queue.Admitted
    ) -> bool:
        """Return whether the engine takes the request now.

        If not, its capacity is released and it gets no request for a while.
        """
        target = admitted.send.target
        passed = False
        try:
            withheld = await self._gate.acquire(target)
            passed = withheld is None
        finally:
            if not passed:
                self._admission.release(admitted)
        if withheld is not None:
            _LOGGER.info(
                'held back request=%s target=%s until=%.3f',
                request.key,
                target,
                withheld.until,
            )
            self._state.view.set_held(target, withheld.until)
        return passed

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
        return EnginePlacement(self._state, send, frozenset())

    def decide_retry(
        self, request: core.Generation, failed: targets.FailedRun
    ) -> targets.RetryDecision:
        """Decide whether a request whose engine failed is retried."""
        traits = targets.list_generation_traits(request)
        attempt = targets.FailedAttempt(
            target=failed.target,
            excluded=failed.excluded,
            deadline=request.deadline,
            outcome=failed.outcome,
            repeatable=True,
            delivered=failed.delivered,
            refused=self._state.ledger.find_culprit(traits) is not None,
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
        traits: targets.Traits,
    ) -> _admission_queue.AdmissionRequest:
        placement = targets.PlacementRequest(
            request=str(request.key),
            workspace=request.workspace,
            model=request.model,
            prompt_tokens=len(request.prompt) // CHARACTERS_PER_TOKEN + 1,
            prefixes=targets.digest_prefixes(request.prompt),
            priority=request.priority,
            excluded=excluded,
            suspect=self._state.ledger.is_suspect(traits),
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


class EnginePlacement:
    """A generation on an engine, as `targets.GenerationPlacement`.

    Args:
        state: State of this VM for routing decisions.
        send: The dispatch, already counted in the load of the engine.
        traits: Traits of the request; empty if not known.
    """

    def __init__(
        self,
        state: RoutingState,
        send: targets.Send,
        traits: targets.Traits,
    ) -> None:
        self._state = state
        self._send = send
        self._running = state.crashes.running
        if traits:
            self._running.add(send.target, send.generation_id, traits)
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
        self._running.record_progress(self.target, self.generation)

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
            self._state.metrics.count('targets.crashes')
            self._state.crashes.record_crash(self.target)

    def release(self, complete: bool) -> None:
        """Release the capacity used on the engine.

        Args:
            complete: Whether the answer is complete. Only then is its length
                added to the observed lengths.
        """
        self._state.view.end(self._send)
        self._running.remove(self.target, self.generation, complete)
        if complete and self._send.model:
            self._state.lengths.observe(
                self._send.workspace, self._send.model, self._send.tokens
            )
