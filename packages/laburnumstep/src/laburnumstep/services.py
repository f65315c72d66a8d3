"""What the callers' front end asks of the rest of the VM."""

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
    """What became of a request."""

    outcome: core.Outcome
    """Whether it ran."""
    result: core.CallResult | None = None
    """What the service answered, where that is known."""


class VMServices:
    """Serves requests with the parts of one VM, as `callers.Services`.

    Args:
        state: What this VM knows for its routing decisions.
        placer: Finds engines.
        runner: Runs generations.
        calls: Runs operations of plain services.
        claims: Claims of request keys.
        follower: The configuration in force.
        record: Keeps decisions for operators.
    """

    def __init__(
        self,
        state: callers.RoutingState,
        placer: callers.EnginePlacer,
        runner: targets.GenerationRunner,
        calls: targets.CallRunner,
        claims: log.ClaimBook,
        follower: log.ConfigurationFollower,
        record: typing.Callable[[operators.Decision], None],
    ) -> None:
        self._record = record
        self._state = state
        self._placer = placer
        self._runner = runner
        self._calls = calls
        self._claims = claims
        self._follower = follower
        self._rng = random.Random()

    def find_deployment(self) -> core.Deployment:
        """Return the configuration in force.

        Raises:
            CodedError: `no_configuration`.
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
            CodedError: The answer is not whole.
        """
        self._begin(request.workspace)
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
        """Hand the rest of a generation to a sink.

        Raises:
            CodedError: The answer is not whole.
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
            CodedError: The engine did not confirm it.
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
            CodedError: With the outcome as far as it is known.
        """
        try:
            deployment, operation = self._admit_call(call)
        except core.CodedError as error:
            # The key was not looked up, and another VM may have run it.
            raise error.with_outcome(core.Outcome.UNKNOWN) from error
        self._state.budget.record_request(self._state.clock.now())
        try:
            ordered = self._order_targets(deployment, call.service)
            self._keep_decision(call, [target.name for target in ordered])
            return await self._calls.run(call, operation, ordered)
        finally:
            self._state.limits.end(call.workspace)

    def _admit_call(
        self, call: core.ServiceCall
    ) -> tuple[core.Deployment, core.Operation]:
        """Count a call against its workspace's limits."""
        deployment = self.find_deployment()
        operation = deployment.find_operation(call.service, call.operation)
        if operation is None:
            raise core.CodedError(
                core.ErrorCode.NO_TARGET,
                f'{call.service}.{call.operation} is not declared',
            )
        self._begin(call.workspace)
        return deployment, operation

    async def find_outcome(
        self, workspace: str, key: core.RequestKey
    ) -> OutcomeReport:
        """Tell what became of a request.

        Raises:
            CodedError: The log does not answer.
        """
        answer = await self._claims.outcome(key, workspace)
        return report_outcome(answer)

    def _begin(self, workspace: str) -> None:
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

    def _keep_decision(self, call: core.ServiceCall, names: list[str]) -> None:
        self._record(
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
    ) -> list[core.ServiceTarget]:
        """Return the servers of a service, the preferred one first."""
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
                case targets.NoRoom() | targets.NoTarget():
                    return chosen
                case _:
                    typing.assert_never(placement)


def report_outcome(answer: log.KeyOutcome) -> OutcomeReport:
    """Return what a caller is told about a key.

    Args:
        answer: What the log says about the key.
    """
    match answer:
        case log.Settled(result=result):
            return OutcomeReport(core.Outcome.RAN, result)
        case log.Held() | log.Expired() | log.Unclaimed():
            # A request with an unclaimed key may still be on its way, so
            # it cannot be said that it will not run.
            return OutcomeReport(core.Outcome.UNKNOWN)
        case _:
            typing.assert_never(answer)
