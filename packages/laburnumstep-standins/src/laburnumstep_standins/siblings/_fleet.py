"""Sibling VMs in one process, moved on second by second."""

from __future__ import annotations

import random
import typing

from laburnumstep import core
from laburnumstep import siblings
from laburnumstep_standins.siblings import _network

MAX_HOPS = 200
"""Hops after which messages that still pass count as a storm."""


class ShiftedClock:
    """A clock that differs from another by a fixed time.

    Args:
        clock: The other clock.
        ahead: By how much this one is ahead, in seconds.
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
        address: Its address in the network.
        data_centre: Its data centre.
        network: Carries its messages.
        seeds: Addresses that it starts from.
        clock: Its clock.
        randomness: Makes its random choices.
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
        """Whether `adopt` refuses every configuration."""
        self.offered = 0
        """How often `adopt` was called with a newer configuration."""
        self.claims: list[siblings.ClaimForward] = []
        """Claim records that this VM handled."""
        self.membership = siblings.Membership(
            siblings.Identity(name, data_centre),
            _network.NetworkLinks(network, address),
            seeds,
            siblings.MembershipCallbacks(
                lambda: self.configuration, self.adopt, self._claim
            ),
            clock,
            core.Metrics(None, 'fleet'),
            randomness,
        )
        """The membership under test."""
        network.attach(address, self.membership)

    def adopt(self, held: core.VersionedDeployment) -> bool:
        """Take a configuration unless it is older."""
        own = self.configuration
        if own is not None and held.version <= own.version:
            return False
        self.offered += 1
        if self.refuses:
            return False
        self.configuration = held
        self.membership.announce_configuration()
        return True

    async def _claim(
        self, request: siblings.ClaimForward
    ) -> core.DocumentObject:
        self.claims.append(request)
        return {'handled_at': self.address}


class Fleet:
    """VMs on one network and one clock.

    Args:
        clock: Moved on by `pass_seconds`.
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
        """Start a VM, in place of any of the same name.

        Args:
            name: Name of the VM.
            data_centre: Its data centre.
            address: Its address; None makes one of the name.
            ahead: By how much its clock is ahead, in seconds.
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
        """Push and deliver until no message is left; return the hops."""
        for hop in range(MAX_HOPS):
            for vm in self._running():
                vm.membership.push()
            if not self.network.deliver_hop():
                return hop
        raise RuntimeError(f'messages still pass after {MAX_HOPS} hops')

    def pass_second(self) -> None:
        """Let every running VM do what it does once a second."""
        self._clock.advance(1.0)
        for vm in self._running():
            vm.membership.check_siblings()
            vm.membership.reconcile()
        self.settle()

    async def fetch_configurations(self) -> None:
        """Let every running VM fetch a newer configuration once."""
        for vm in self._running():
            await vm.membership.fetch_configuration()
        self.settle()

    def _running(self) -> typing.Iterator[FleetVM]:
        faults = self.network.faults
        stopped = faults.paused | faults.ended
        return (vm for vm in self.vms.values() if vm.address not in stopped)
