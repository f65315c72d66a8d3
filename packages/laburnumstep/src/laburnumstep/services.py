"""What the callers' front end asks of the rest of the VM."""

from __future__ import annotations

import typing

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import log
from laburnumstep import targets

_LOGGER = core.get_logger('callers')


class VMServices:
    """Serves requests with the parts of one VM, as `callers.Services`.

    Args:
        state: What this VM knows for its routing decisions.
        placer: Finds engines.
        runner: Runs generations.
        follower: The configuration in force.
    """

    def __init__(
        self,
        state: callers.RoutingState,
        placer: callers.EnginePlacer,
        runner: targets.GenerationRunner,
        follower: log.ConfigurationFollower,
    ) -> None:
        self._state = state
        self._placer = placer
        self._runner = runner
        self._follower = follower

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
