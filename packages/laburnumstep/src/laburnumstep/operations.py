"""What operators may see of a VM and order it to do."""

from __future__ import annotations

import typing

import anyio

from laburnumstep import core
from laburnumstep import operators

if typing.TYPE_CHECKING:
    from laburnumstep import callers
    from laburnumstep import log
    from laburnumstep import siblings

DRAIN_SECONDS = 86400.0
"""How long a target that an operator drains counts as leaving, in seconds;
a target that stays away is marked as leaving in the configuration."""

_LOGGER = core.get_logger('operators')


class VMOperations:
    """Answers operators, as `operators.StatusSource` and `DrainHandler`.

    Args:
        settings: Settings of this VM.
        follower: The configuration in force.
        membership: The sibling VMs.
        gate: Counts requests in progress.
        clock: The time.
    """

    def __init__(
        self,
        settings: core.VMSettings,
        follower: log.ConfigurationFollower,
        membership: siblings.Membership,
        gate: callers.RequestGate,
        clock: core.Clock,
    ) -> None:
        self._settings = settings
        self._follower = follower
        self._membership = membership
        self._gate = gate
        self._clock = clock
        self._drained = anyio.Event()

    def read_status(self) -> operators.VMStatus:
        """Return the status now."""
        current = self._follower.current
        return operators.VMStatus(
            vm=self._settings.name,
            data_centre=self._settings.data_centre,
            version=current.version if current else None,
            digest=current.digest if current else None,
            members=list(self._membership.members.values()),
            targets=list(self._membership.target_statuses().values()),
            requests_in_progress=self._gate.in_progress,
            stopping=self._gate.stopping,
        )

    async def drain(self, order: operators.DrainOrder) -> None:
        """Carry out a drain order.

        Raises:
            CodedError: `no_target` for a name that this VM cannot drain.
        """
        match order:
            case operators.DrainTarget(target):
                current = self._follower.current
                if current is None or target not in current.deployment.targets:
                    raise core.CodedError(
                        core.ErrorCode.NO_TARGET, f'{target} is not declared'
                    )
                until = self._clock.now() + DRAIN_SECONDS
                self._membership.note_target_leaving(target, 'operator', until)
            case operators.DrainVM(vm):
                if vm != self._settings.name:
                    raise core.CodedError(
                        core.ErrorCode.NO_TARGET,
                        f'this VM is {self._settings.name}; send the order'
                        f' to {vm} itself',
                    )
                self._drained.set()
            case _:
                typing.assert_never(order)

    def stop(self) -> None:
        """Stop this VM because a later process has its name."""
        if not self._drained.is_set():
            _LOGGER.warning('stopping; another process has this name')
            self._drained.set()

    async def wait_for_drain(self) -> None:
        """Wait until an operator orders this VM to stop."""
        await self._drained.wait()
