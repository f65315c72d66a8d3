"""Services of a VM that its callers' front end uses."""

from __future__ import annotations

import random
import typing

import attrs

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import log
from laburnumstep import operators
from laburnumstep import targets

_LOGGER = core.get_logger('callers')


@attrs.frozen
class OutcomeReport:
    """Outcome of a request, and its result if known."""

    outcome: core.Outcome
    """Whether it ran."""
    result: core.CallResult | None = None
    """Answer of the service, if known."""


class VMServices:
    """Serves callers' requests on one VM, as `callers.Services`.

    Args:
        state: Routing state of this VM.
        placer: Places generations on engines.
        runner: Runs generations.
        calls: Runs operations of plain services.
        claims: Claims of request keys.
        follower: Follower of the configuration in force.
        record_decision: Records routing decisions for operators.
    """

    def __init__(
        self,
        state: callers.RoutingState,
        placer: callers.EnginePlacer,
        runner: targets.GenerationRunner,
        calls: targets.CallRunner,
        claims: log.ClaimStore,
        follower: log.ConfigurationFollower,
        record_decision: typing.Callable[[operators.Decision], None],
    ) -> None:
        self._record_decision = record_decision
        self._state = state
        self._placer = placer
        self._runner = runner
        self._calls = calls
        self._claims = claims
        self._follower = follower
        self._rng = random.Random()

    def get_deployment(self) -> core.Deployment:
        """Return the configuration in force.

        Raises:
            CodedError: `no_configuration` if none is known yet.
        """
        current = self._follower.current
        if current is None:
            raise core.CodedError(
                core.ErrorCode.NO_CONFIGURATION,
                'the VM does not know the configuration yet',
                resend=True,
                resend_at=self._state.clock.now() + 1.0,
            )
        return current.deployment

    async def generate(
        self, request: core.Generation, sink: targets.GenerationSink
    ) -> None:
        """Run a generation within the limits of its workspace.

        Raises:
            CodedError: The answer is incomplete.
        """
        self._admit(request.workspace)
        try:
            await self._runner.run(request, sink)
        finally:
            self._state.limits.end(request.workspace)

    async def resume(
        self,
        handle: callers.ResumeHandle,
        position: int,
        deadline: float,
        sink: targets.GenerationSink,
    ) -> None:
        """Send the rest of a generation to a sink.

        Args:
            handle: Handle that the caller received as the generation began.
            position: Position of the first token to send.
            deadline: The caller's deadline, in epoch seconds.
            sink: Receives the rest.

        Raises:
            CodedError: The answer is incomplete.
        """
        placement = self._placer.attach(handle.target, handle.generation)
        _LOGGER.info(
            'resumed; request=%s workspace=%s target=%s position=%d'
            ' reason="the handle names the engine" runners_up=-',
            handle.key,
            handle.workspace,
            handle.target,
            position,
        )
        await self._runner.resume(placement, position, deadline, sink)

    async def cancel(
        self, handle: callers.ResumeHandle, deadline: float
    ) -> None:
        """Cancel a generation on its engine.

        Raises:
            CodedError: The engine did not confirm the cancellation.
        """
        client = self._state.clients.find(handle.target)
        if client is None:
            return
        try:
            await client.cancel(handle.generation, deadline)
        except targets.StreamBroken as error:
            raise core.CodedError(
                core.ErrorCode.TARGET_FAILED,
                f'the engine did not confirm the cancellation: {error}',
                core.Outcome.UNKNOWN,
                resend=True,
                resend_at=self._state.clock.now() + 1.0,
            ) from error

    async def call(self, call: core.ServiceCall) -> core.CallResult:
        """Run one operation of a plain service.

        Raises:
            CodedError: The operation did not succeed; the error has the
                outcome as far as it is known.
        """
        try:
            deployment, operation = self._admit_call(call)
        except core.CodedError as error:
            # The key was not looked up, so another VM may have run the call.
            raise error.with_outcome(core.Outcome.UNKNOWN) from error
        self._state.budget.record_request(self._state.clock.now())
        try:
            ordered, available_at = self._order_targets(
                deployment, call.service
            )
            self._record_call_decision(
                call, [target.name for target in ordered]
            )
            return await self._calls.run(
                call, operation, ordered, available_at
            )
        finally:
            self._state.limits.end(call.workspace)

    def _admit_call(
        self, call: core.ServiceCall
    ) -> tuple[core.Deployment, core.Operation]:
        """Count a call against the limits of its workspace.

        Returns:
            The configuration in force and the declared operation.

        Raises:
            CodedError: The operation is not declared, no configuration is
                known, or a limit is reached.
        """
        deployment = self.get_deployment()
        operation = deployment.find_operation(call.service, call.operation)
        if operation is None:
            raise core.CodedError(
                core.ErrorCode.NO_TARGET,
                f'operation {call.service}.{call.operation} is not declared',
            )
        self._admit(call.workspace)
        return deployment, operation

    async def get_outcome(
        self, workspace: str, key: core.RequestKey
    ) -> OutcomeReport:
        """Look up the outcome of a request.

        Args:
            workspace: Workspace of the caller.
            key: Key of the request.

        Raises:
            CodedError: The log does not answer.
        """
        answer = await self._claims.find_outcome(key, workspace)
        return make_outcome_report(answer)

    def _admit(self, workspace: str) -> None:
        now = self._state.clock.now()
        result = self._state.limits.try_begin(workspace, now)
        match result:
            case callers.Allowed():
                return
            case callers.Refused(code, resend_at):
                self._state.metrics.count('callers.limited')
                raise core.CodedError(
                    code,
                    f'workspace {workspace} is over a limit',
                    resend=True,
                    resend_at=resend_at,
                )
            case _:
                typing.assert_never(result)

    def _record_call_decision(
        self, call: core.ServiceCall, names: list[str]
    ) -> None:
        self._record_decision(
            operators.Decision(
                str(call.key),
                call.workspace,
                names[0] if names else None,
                'the fewest own calls of two' if names else 'no live target',
                names[1:],
                self._state.clock.now(),
            )
        )

    def _order_targets(
        self, deployment: core.Deployment, service: str
    ) -> tuple[list[core.ServiceTarget], float | None]:
        """Return the targets of a service, the preferred one first.

        Returns:
            The targets, and when one of the others can take a call, in epoch
            seconds, if that is known.
        """
        chosen: list[core.ServiceTarget] = []
        excluded: frozenset[str] = frozenset()
        while True:
            placement = targets.choose_service(
                self._state.view, service, excluded, self._rng
            )
            match placement:
                case targets.Placed(name):
                    declared = deployment.targets[name]
                    if isinstance(declared, core.ServiceTarget):
                        chosen.append(declared)
                    excluded |= {name}
                case targets.NoRoom(retry_at=available_at):
                    return chosen, available_at
                case targets.NoTarget():
                    return chosen, None
                case _:
                    typing.assert_never(placement)


def make_outcome_report(answer: log.KeyOutcome) -> OutcomeReport:
    """Return the report to a caller about the outcome of a key.

    Args:
        answer: State of the key in the log.
    """
    match answer:
        case log.Settled(result=result):
            return OutcomeReport(core.Outcome.RAN, result)
        case log.Held() | log.Expired() | log.Unclaimed():
            # An unclaimed key does not prove "not run": its request may
            # still be in transit.
            return OutcomeReport(core.Outcome.UNKNOWN)
        case _:
            typing.assert_never(answer)
