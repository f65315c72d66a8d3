"""Sibling VMs in one process, advanced second by second."""

from __future__ import annotations

import random
import typing

from laburnumstep import core
from laburnumstep import siblings
from laburnumstep_standins.siblings import _network

MAX_HOPS = 200
"""Most hops until no message is queued; more indicate a broadcast storm."""


class ShiftedClock:
    """A clock with a fixed offset from another clock.

    Args:
        clock: The other clock.
        ahead: Offset, in seconds; positive if this clock is fast.
    """

    def __init__(self, clock: core.Clock, ahead: float) -> None:
        self._clock = clock
        self._ahead = ahead

    def now(self) -> float:
        """Return the time in epoch seconds."""
        return self._clock.now() + self._ahead

    async def sleep_until(self, deadline: float) -> None:
        """Wait until a time in epoch seconds."""
        await self._clock.sleep_until(deadline - self._ahead)


class FleetVM:
    """One VM with its membership and a configuration.

    Args:
        name: Name of the VM.
        address: Address of the VM in the network.
        data_centre: Data centre of the VM.
        network: Network that delivers its messages.
        seeds: Addresses of the siblings that it contacts first.
        clock: Clock of the VM.
        randomness: Source of its random choices.
    """

    def __init__(
        self,
        name: str,
        address: str,
        data_centre: str,
        network: _network.SiblingNetwork,
        seeds: list[str],
        clock: core.Clock,
        randomness: random.Random,
    ) -> None:
        self.address = address
        """Address in the network."""
        self.configuration: core.VersionedDeployment | None = None
        """The configuration in force."""
        self.refuses = False
        """Whether the VM refuses every configuration."""
        self.offer_count = 0
        """Number of newer configurations passed to `adopt`."""
        self.claims: list[siblings.ClaimForward] = []
        """Claim records that were forwarded to this VM."""
        self.membership = siblings.Membership(
            siblings.Identity(name, data_centre),
            _network.NetworkLinks(network, address),
            seeds,
            siblings.MembershipCallbacks(
                lambda: self.configuration, self.adopt, self._handle_claim
            ),
            clock,
            core.Metrics(None, 'fleet'),
            randomness,
        )
        """The membership under test."""
        network.attach(address, self.membership)

    def adopt(self, offered: core.VersionedDeployment) -> bool:
        """Apply a configuration if it is newer than the one in force.

        Returns:
            Whether it was applied.
        """
        own = self.configuration
        if own is not None and offered.version <= own.version:
            return False
        self.offer_count += 1
        if self.refuses:
            return False
        self.configuration = offered
        self.membership.announce_configuration()
        return True

    async def _handle_claim(
        self, request: siblings.ClaimForward
    ) -> core.DocumentObject:
        self.claims.append(request)
        return {'handled_at': self.address}


class Fleet:
    """VMs on one network and one clock.

    Args:
        clock: Clock that `pass_second` advances.
        seed: Seed of all random choices.
        measure: Whether to count the bytes of messages.
    """

    def __init__(
        self, clock: core.ManualClock, seed: int, measure: bool = False
    ) -> None:
        self._clock = clock
        self._randomness = random.Random(seed)
        self.network = _network.SiblingNetwork(self._randomness, measure)
        """The network between the VMs."""
        self.vms: dict[str, FleetVM] = {}
        """The VMs by name."""

    def add(
        self,
        name: str,
        data_centre: str = 'lima-1',
        address: str | None = None,
        ahead: float = 0.0,
    ) -> FleetVM:
        """Start a VM; it replaces a VM of the same name.

        Args:
            name: Name of the VM.
            data_centre: Data centre of the VM.
            address: Address of the VM; None derives one from the name.
            ahead: Offset of its clock, in seconds; positive if fast.
        """
        vm = FleetVM(
            name,
            address or f'address-of-{name}',
            data_centre,
            self.network,
            sorted(vm.address for vm in self.vms.values())[:3],
            ShiftedClock(self._clock, ahead),
            random.Random(self._randomness.random()),
        )
        self.vms[name] = vm
        vm.membership.join()
        return vm

    def settle(self) -> int:
        """Push and deliver messages until none is queued.

        Returns:
            The number of hops.

        Raises:
            RuntimeError: Messages are still queued after `MAX_HOPS`.
        """
        for hop in range(MAX_HOPS):
            for vm in self._list_running():
                vm.membership.push()
            if not self.network.deliver_hop():
                return hop
        raise RuntimeError(f'messages are still queued after {MAX_HOPS} hops')

    def pass_second(self) -> None:
        """Advance the clock by a second and run the VMs' periodic work."""
        self._clock.advance(1.0)
        for vm in self._list_running():
            vm.membership.check_siblings()
            vm.membership.reconcile()
        self.settle()

    async def fetch_configurations(self) -> None:
        """Fetch a newer configuration once on every running VM."""
        for vm in self._list_running():
            await vm.membership.fetch_configuration()
        self.settle()

    def _list_running(self) -> typing.Iterator[FleetVM]:
        faults = self.network.faults
        stopped = faults.paused | faults.ended
        return (vm for vm in self.vms.values() if vm.address not in stopped)
