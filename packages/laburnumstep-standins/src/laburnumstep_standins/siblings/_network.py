"""Delivers messages between sibling VMs hop by hop."""

from __future__ import annotations

import collections
import random

import anyio
import anyio.abc
import attrs

from laburnumstep import core
from laburnumstep import siblings
from laburnumstep.siblings import _codec


@attrs.define
class NetworkFaults:
    """Faults of the network."""

    loss: float = 0.0
    """Share of messages that are lost."""
    repeats: int = 1
    """How often each message is delivered."""
    ended: set[str] = attrs.field(factory=set)
    """Addresses of VMs that are gone."""
    paused: set[str] = attrs.field(factory=set)
    """Addresses of VMs that keep messages until they run again."""
    cut: set[frozenset[str]] = attrs.field(factory=set)
    """Pairs of addresses that cannot reach each other."""

    def separates(self, source: str, destination: str) -> bool:
        """Tell whether a message cannot pass."""
        if source in self.ended or destination in self.ended:
            return True
        return frozenset((source, destination)) in self.cut


@attrs.define
class Traffic:
    """What one VM sent."""

    messages: int = 0
    """Messages."""
    size: int = 0
    """Bytes of encoded messages."""


@attrs.frozen
class _Parcel:
    source: str
    destination: str
    message: siblings.SiblingMessage


class SiblingNetwork:
    """Carries messages between the VMs that have joined.

    Args:
        randomness: Chooses which messages are lost.
        measure: Whether to encode messages to count their bytes.
    """

    def __init__(
        self, randomness: random.Random, measure: bool = False
    ) -> None:
        self._randomness = randomness
        self._measure = measure
        self._handlers: dict[str, siblings.SiblingHandler] = {}
        self._queue: collections.deque[_Parcel] = collections.deque()
        self.faults = NetworkFaults()
        """Faults in force."""
        self.traffic: dict[str, Traffic] = collections.defaultdict(Traffic)
        """What each VM sent, by address."""

    def attach(self, address: str, handler: siblings.SiblingHandler) -> None:
        """Deliver messages for an address to a handler."""
        self._handlers[address] = handler

    def handler_at(
        self, source: str, destination: str
    ) -> siblings.SiblingHandler:
        """Return the handler that a call reaches.

        Raises:
            SiblingUnavailable: The call cannot pass.
        """
        stopped = destination in self.faults.paused
        if stopped or self.faults.separates(source, destination):
            message = f'{destination} is not reached'
            raise siblings.SiblingUnavailable(message, may_have_acted=stopped)
        return self._handlers[destination]

    def send(
        self, source: str, destination: str, message: siblings.SiblingMessage
    ) -> None:
        """Queue a message for the next hop."""
        if source in self.faults.paused or source in self.faults.ended:
            return
        traffic = self.traffic[source]
        traffic.messages += 1
        if self._measure:
            encoded = _codec.encode_message(message)
            traffic.size += encoded.ByteSize()
        self._queue.append(_Parcel(source, destination, message))

    def lose_queued(self) -> None:
        """Lose every message that is on its way."""
        self._queue.clear()

    def deliver_hop(self) -> int:
        """Deliver what is queued; answers wait for the next hop.

        Returns:
            How many messages were delivered.
        """
        parcels = list(self._queue)
        self._queue.clear()
        delivered = 0
        for parcel in parcels:
            if parcel.destination in self.faults.paused:
                self._queue.append(parcel)
                continue
            if self.faults.separates(parcel.source, parcel.destination):
                continue
            if self._randomness.random() < self.faults.loss:
                continue
            for _ in range(self.faults.repeats):
                delivered += self._deliver(parcel)
        return delivered

    def _deliver(self, parcel: _Parcel) -> int:
        handler = self._handlers.get(parcel.destination)
        if handler is None:
            return 0
        for answer in handler.receive(parcel.message):
            self.send(parcel.destination, parcel.source, answer)
        return 1


class NetworkLinks:
    """The links of one VM to the network.

    Args:
        network: Carries the messages.
        address: Address of the VM.
    """

    def __init__(self, network: SiblingNetwork, address: str) -> None:
        self._network = network
        self._address = address

    @property
    def address(self) -> str:
        """Address of the VM."""
        return self._address

    async def run(
        self,
        handler: siblings.SiblingHandler,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Attach the VM until cancelled."""
        self._network.attach(self._address, handler)
        task_status.started()
        await anyio.sleep_forever()

    def send(self, address: str, message: siblings.SiblingMessage) -> None:
        """Queue a message for a sibling."""
        self._network.send(self._address, address, message)

    def drop(self, address: str) -> None:
        """Do nothing: the network keeps no connections."""

    def close_idle(self) -> None:
        """Do nothing: the network keeps no connections."""

    async def fetch_configuration(
        self, address: str, known_version: int
    ) -> core.VersionedDeployment | None:
        """Ask a sibling for a configuration newer than a version."""
        handler = self._network.handler_at(self._address, address)
        return handler.read_configuration(known_version)

    async def claim(
        self, address: str, request: siblings.ClaimForward
    ) -> core.DocumentObject:
        """Hand claim records to a sibling."""
        handler = self._network.handler_at(self._address, address)
        return await handler.claim(request)
