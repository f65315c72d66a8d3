"""Delivers messages between sibling VMs hop by hop."""

from __future__ import annotations

import collections
import random
import time

import anyio
import anyio.abc
import attrs

from laburnumstep import core
from laburnumstep import siblings
from laburnumstep.siblings import _codec


@attrs.define
class NetworkFaults:
    """Injected faults of the network."""

    loss: float = 0.0
    """Fraction of messages that are lost."""
    repeats: int = 1
    """Number of deliveries of each message."""
    ended: set[str] = attrs.field(factory=set)
    """Addresses of VMs that have exited."""
    paused: set[str] = attrs.field(factory=set)
    """Addresses of paused VMs; their messages stay queued."""
    cut: set[frozenset[str]] = attrs.field(factory=set)
    """Pairs of addresses that cannot reach each other."""

    def blocks(self, source: str, destination: str) -> bool:
        """Return whether messages between two addresses are lost."""
        if source in self.ended or destination in self.ended:
            return True
        return frozenset((source, destination)) in self.cut


@attrs.define
class Traffic:
    """Messages that one VM sent."""

    messages: int = 0
    """Number of messages."""
    size: int = 0
    """Size of the encoded messages, in bytes; 0 if not measured."""


@attrs.frozen
class _QueuedMessage:
    source: str
    destination: str
    message: siblings.SiblingMessage


class SiblingNetwork:
    """Delivers messages between attached VMs.

    Args:
        randomness: Random source of message losses.
        measure: Whether to encode messages to count their bytes.
    """

    def __init__(
        self, randomness: random.Random, measure: bool = False
    ) -> None:
        self._randomness = randomness
        self._measure = measure
        self._handlers: dict[str, siblings.SiblingHandler] = {}
        self._queue: collections.deque[_QueuedMessage] = collections.deque()
        self.faults = NetworkFaults()
        """Active faults."""
        self.traffic: dict[str, Traffic] = collections.defaultdict(Traffic)
        """Messages that each VM sent, by address."""

    def attach(self, address: str, handler: siblings.SiblingHandler) -> None:
        """Set the handler of messages to an address."""
        self._handlers[address] = handler

    def get_handler(
        self, source: str, destination: str
    ) -> siblings.SiblingHandler:
        """Return the handler of a call from one address to another.

        Raises:
            SiblingUnavailable: A fault prevents the call.
        """
        stopped = destination in self.faults.paused
        if stopped or self.faults.blocks(source, destination):
            message = f'{destination} is unreachable'
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
            encoded = _codec.encode_message(message, time.time())
            traffic.size += encoded.ByteSize()
        self._queue.append(_QueuedMessage(source, destination, message))

    def drop_queued(self) -> None:
        """Drop all queued messages."""
        self._queue.clear()

    def deliver_hop(self) -> int:
        """Deliver the queued messages; responses wait for the next hop.

        Returns:
            The number of deliveries.
        """
        batch = list(self._queue)
        self._queue.clear()
        delivered = 0
        for queued in batch:
            if queued.destination in self.faults.paused:
                self._queue.append(queued)
                continue
            if self.faults.blocks(queued.source, queued.destination):
                continue
            if self._randomness.random() < self.faults.loss:
                continue
            for _ in range(self.faults.repeats):
                delivered += self._deliver(queued)
        return delivered

    def _deliver(self, queued: _QueuedMessage) -> int:
        handler = self._handlers.get(queued.destination)
        if handler is None:
            return 0
        for answer in handler.receive(queued.message):
            self.send(queued.destination, queued.source, answer)
        return 1


class NetworkLinks:
    """Links of one VM to its siblings over the network.

    Args:
        network: Network that delivers the messages.
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
        """Attach the VM and wait until cancelled."""
        self._network.attach(self._address, handler)
        task_status.started()
        await anyio.sleep_forever()

    def send(self, address: str, message: siblings.SiblingMessage) -> None:
        """Queue a message for a sibling."""
        self._network.send(self._address, address, message)

    def send_datagram(
        self, addresses: list[str], message: siblings.DatagramMessage
    ) -> None:
        """Queue a message for siblings."""
        for address in addresses:
            self._network.send(self._address, address, message)

    def drop(self, address: str) -> None:
        """Do nothing: the network keeps no connections."""

    def close_idle(self) -> None:
        """Do nothing: the network keeps no connections."""

    async def fetch_configuration(
        self, address: str, known_version: int
    ) -> core.VersionedDeployment | None:
        """Fetch a configuration newer than a version from a sibling."""
        handler = self._network.get_handler(self._address, address)
        return handler.read_configuration(known_version)

    async def claim(
        self, address: str, request: siblings.ClaimForward
    ) -> core.DocumentObject:
        """Forward claim records to a sibling."""
        handler = self._network.get_handler(self._address, address)
        return await handler.claim(request)

    async def read_topic(
        self, address: str, request: siblings.TopicRead
    ) -> siblings.TopicAnswer:
        """Read records of a topic that a sibling follows."""
        handler = self._network.get_handler(self._address, address)
        return await handler.serve_topic(request)
