"""Status of a VM for operators, and their drain orders."""

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
"""How long a target drained by an operator counts as leaving, in seconds. To
drain it for longer, operators mark it as leaving in the configuration."""

_LOGGER = core.get_logger('operators')


class VMOperations:
    """Serves operators, as `operators.StatusSource` and `DrainHandler`.

    Args:
        settings: Settings of this VM.
        follower: Follower of the configuration in force.
        membership: Membership of the sibling VMs.
        gate: Counts requests in progress.
        clock: Clock for expiry times.
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
        self._stop_requested = anyio.Event()

    def read_status(self) -> operators.VMStatus:
        """Return the current status of this VM."""
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
        """Execute a drain order.

        Args:
            order: What to drain.

        Raises:
            CodedError: `no_target` if the target is not declared or another
                VM is named.
        """
        match order:
            case operators.DrainTarget(target):
                current = self._follower.current
                if current is None or target not in current.deployment.targets:
                    raise core.CodedError(
                        core.ErrorCode.NO_TARGET,
                        f'target {target} is not declared',
                    )
                until = self._clock.now() + DRAIN_SECONDS
                self._membership.announce_target_leaving(
                    target, 'operator', until
                )
            case operators.DrainVM(vm):
                if vm != self._settings.name:
                    raise core.CodedError(
                        core.ErrorCode.NO_TARGET,
                        f'this VM is {self._settings.name}; send the order'
                        f' to {vm} itself',
                    )
                self._stop_requested.set()
            case _:
                typing.assert_never(order)

    def stop(self) -> None:
        """Stop this VM because a later process uses its name."""
        if not self._stop_requested.is_set():
            _LOGGER.warning(
                'stopping; a later process uses the name of this VM'
            )
            self._stop_requested.set()

    async def wait_for_drain(self) -> None:
        """Wait until this VM is to stop.

        That is when an operator drains it or a later process uses its name.
        """
        await self._stop_requested.wait()
