"""Membership of entry VMs and the availability of targets.

Combines gossip, heartbeats, the VM list and the observations of this VM.
"""

from __future__ import annotations

import random

import anyio
import anyio.abc

from laburnumstep import core
from laburnumstep.siblings import _callbacks
from laburnumstep.siblings import _configurations
from laburnumstep.siblings import _entries
from laburnumstep.siblings import _gossip
from laburnumstep.siblings import _heartbeats
from laburnumstep.siblings import _links
from laburnumstep.siblings import _members
from laburnumstep.siblings import _messages
from laburnumstep.siblings import _peers
from laburnumstep.siblings import _presence
from laburnumstep.siblings import _reachability_reports
from laburnumstep.siblings import _reconcile
from laburnumstep.siblings import _roster
from laburnumstep.siblings import _target_reports
from laburnumstep.siblings import _targets
from laburnumstep import vmlist

PUSH_FANOUT = 3
"""Number of siblings to which a fresh entry is pushed."""
MIN_PUSH_INTERVAL_SECONDS = 0.02
"""Shortest time between two pushes, in seconds. Entries that arrive together,
as after the failure of a data centre, are then sent in one message."""
RECONCILE_SECONDS = 1.0
"""Time between anti-entropy exchanges, in seconds."""
WATCHED_COUNT = 3
"""Number of successors on the ring that this VM watches."""
MAX_WATCHED = 16
"""Most siblings that this VM watches, failed ones included."""
_LOG = core.get_logger('siblings')


class Membership:
    """Determines which VMs are live and which targets accept new work.

    Args:
        identity: Identity of this VM.
        links: Network access to the siblings.
        seeds: Addresses of siblings to contact first.
        callbacks: Functions of the VM that membership calls.
        clock: Clock of all intervals and expiry times.
        metrics: Counts live VMs and malformed entries.
        randomness: Source of the random choices.
    """

    def __init__(
        self,
        identity: _presence.Identity,
        links: _links.SiblingLinks,
        seeds: list[str],
        callbacks: _callbacks.MembershipCallbacks,
        clock: core.Clock,
        metrics: core.Metrics,
        randomness: random.Random,
    ) -> None:
        self._name = identity.name
        self._data_centre = identity.data_centre
        self._largest_count = 1
        self._links = links
        self._seeds = seeds
        self._callbacks = callbacks
        self._clock = clock
        self._gossip = _gossip.Gossip(identity.name, clock, metrics)
        self._presence = _presence.Presence(identity, self._gossip, clock)
        self._roster = _roster.Roster(identity, self._gossip, clock, metrics)
        self._target_reports = _target_reports.TargetReports(
            identity, self._gossip, self._roster, clock
        )
        self._monitor = _heartbeats.HeartbeatMonitor()
        self._reachability_reports = _reachability_reports.ReachabilityReports(
            identity.name, self._gossip, clock
        )
        self._peers = _peers.PeerSet(identity.name, randomness)
        self._configurations = _configurations.ConfigurationExchange(
            self._gossip,
            links,
            clock,
            randomness,
            callbacks.read_configuration,
            callbacks.adopt,
            self._roster.find_address,
        )
        self._gossip.subscribe(_entries.EntryKind.VM, self._handle_vm_entry)
        self._entries_pending = anyio.Event()
        for kind in _gossip.PUSHED_KINDS:
            self._gossip.subscribe(
                kind, lambda entry: self._entries_pending.set()
            )

    @property
    def address(self) -> str:
        """IP address and port at which siblings reach this VM."""
        return self._links.address

    @property
    def superseded(self) -> bool:
        """Whether a later process runs under this VM's name."""
        return self._presence.superseded

    @property
    def members(self) -> dict[str, _members.Member]:
        """Known entry VMs by name, this one included."""
        return self._roster.members

    def live_vms(self) -> list[str]:
        """Return the names of the VMs that may own partitions, sorted."""
        return list(self._roster.live)

    def choose_owner(self, subject: str) -> str:
        """Return the name of the live VM that owns a subject.

        Args:
            subject: Name of what is owned, such as a partition.
        """
        return self._roster.choose_owner(subject)

    def owns(self, subject: str) -> bool:
        """Return whether this VM is the live VM that owns a subject."""
        return self.choose_owner(subject) == self._name

    def count_sharing_vms(self, assumed: int) -> int:
        """Return the number of VMs that share the limits of the deployment.

        A VM that has lost its siblings returns the largest number that it
        has known, so that its part of a limit does not grow.

        Args:
            assumed: Returned if no sibling has ever been heard of.
        """
        count = len(self.members)
        self._largest_count = max(self._largest_count, count)
        if count > 1:
            return count
        return self._largest_count if self._largest_count > 1 else assumed

    def rank_neighbours(
        self, subject: str, data_centre: str = ''
    ) -> list[_members.Member]:
        """Return the live VMs of a data centre, best owner of a subject first.

        Args:
            subject: Name of what is owned, such as a topic.
            data_centre: The data centre; empty for that of this VM.
        """
        return self._roster.rank_neighbours(
            subject, data_centre or self._data_centre
        )

    def list_data_centres(self) -> list[str]:
        """Return the data centres of the known VMs, sorted."""
        return sorted(set(self._roster.get_data_centres().values()))

    async def read_topic(
        self, address: str, request: _messages.TopicRead
    ) -> _messages.TopicAnswer:
        """Read records of a topic that a sibling follows.

        Args:
            address: Address of the sibling.
            request: The read.

        Raises:
            SiblingUnavailable: The sibling did not answer.
        """
        return await self._links.read_topic(address, request)

    def send_loads(
        self, addresses: list[str], message: _messages.EngineLoads
    ) -> None:
        """Send load reports to siblings without waiting."""
        self._links.send_datagram(addresses, message)

    def send_permits(
        self,
        address: str,
        message: _messages.PermitAsk | _messages.PermitReply,
    ) -> None:
        """Send a question for permits to a sibling without waiting."""
        self._links.send_datagram([address], message)

    def is_leaving(self, name: str) -> bool:
        """Return whether a target is leaving and gets no new work."""
        status = self._target_reports.get_status(name)
        return status.availability is _targets.Availability.LEAVING

    def target_status(self, name: str) -> _targets.TargetStatus:
        """Return the status of a target and the reports about it."""
        return self._target_reports.get_status(name)

    def target_statuses(self) -> dict[str, _targets.TargetStatus]:
        """Return the status of every target with a report, by name."""
        return self._target_reports.list_statuses()

    def announce_target_leaving(
        self, name: str, source: str, until: float
    ) -> None:
        """Announce to all VMs that a target gets no new work.

        Args:
            name: Name of the target.
            source: Where the information comes from, such as `operator` or
                `reclaim`.
            until: When the report expires, in epoch seconds.
        """
        self._target_reports.announce_leaving(name, source, until)

    def announce_target_failed(self, name: str) -> None:
        """Report to all VMs that a target does not answer."""
        self._target_reports.announce_failed(name)

    def apply_vm_list(self, listed: vmlist.VMList) -> None:
        """Apply a newer VM list to the states of VMs and targets."""
        self._roster.apply_vm_list(listed)
        self._target_reports.apply_vm_list(listed)

    def announce_configuration(self) -> None:
        """Announce to siblings the configuration in force on this VM."""
        self._configurations.announce(self._name, self._roster.live)

    def announce_stopping(self) -> None:
        """Announce to all VMs that this one accepts no new work."""
        self._presence.announce_stopping()

    def publish(
        self,
        kind: _entries.EntryKind,
        subject: str,
        data: bytes,
        expires_at: float,
    ) -> None:
        """Publish an opaque value to all VMs.

        Args:
            kind: `CRASH`, `LIMIT` or `PACE`, which are pushed at once, or
                `LENGTHS`, which spreads by anti-entropy exchanges only.
            subject: Name of the subject.
            data: Encoded value.
            expires_at: Expiry time, in epoch seconds.
        """
        value = _entries.DataValue(data)
        self._gossip.publish(kind, subject, value, expires_at)

    def send_demand(
        self, vm: str, demand: dict[str, bytes], expires_at: float
    ) -> None:
        """Send the demand for workspaces to the VM that aggregates it.

        Args:
            vm: Name of the aggregating VM.
            demand: Encoded demand by subject.
            expires_at: Expiry time, in epoch seconds.
        """
        entries = [
            self._gossip.make_entry(
                _entries.EntryKind.DEMAND,
                subject,
                _entries.DataValue(data),
                expires_at,
            )
            for subject, data in demand.items()
        ]
        if vm == self._name:
            self._gossip.merge_entries(entries)
            return
        address = self._roster.find_address(vm)
        size = _reconcile.MAX_MESSAGE_ENTRIES
        for start in range(0, len(entries) if address else 0, size):
            message = _messages.Entries(entries[start : start + size])
            self._links.send(address or '', message)

    def subscribe(
        self, kind: _entries.EntryKind, listener: _gossip.Listener
    ) -> None:
        """Call a listener with each fresh entry of a kind."""
        self._gossip.subscribe(kind, listener)

    def list_entries(
        self, kind: _entries.EntryKind, subject: str
    ) -> list[_entries.GossipEntry]:
        """Return the entries of all VMs about a subject."""
        return self._gossip.store.list_entries(kind, subject)

    async def forward_claim(
        self, subject: str, request: _messages.ClaimForward
    ) -> core.DocumentObject:
        """Forward claim records to the owner of their partition.

        This VM handles them itself if it is the owner or if the owner's
        address is unknown.

        Args:
            subject: Name of the partition, which determines its owner.
            request: The records.

        Raises:
            SiblingUnavailable: The owner did not answer.
            CodedError: The owner refused the records.
        """
        owner = self.choose_owner(subject)
        address = self._roster.find_address(owner)
        if owner == self._name or address is None:
            return await self._callbacks.claim(request)
        return await self._links.claim(address, request)

    # Handlers of the calls of siblings; see `SiblingHandler`.

    def receive(
        self, message: _messages.SiblingMessage
    ) -> list[_messages.SiblingMessage]:
        """Handle a message of a sibling and return the answers."""
        match message:
            case _messages.HeartbeatAck(sequence, vm):
                if self._monitor.record_answer(vm, sequence):
                    self._reachability_reports.withdraw(vm)
                return []
            case _messages.Heartbeat(_, vm):
                return self._gossip.handle(message) + self._build_reports(vm)
            case _messages.EngineLoads():
                self._callbacks.receive_loads(message)
                return []
            case _messages.PermitAsk() | _messages.PermitReply():
                return self._callbacks.receive_permits(message)
            case _:
                return self._gossip.handle(message)

    def _build_reports(self, vm: str) -> list[_messages.SiblingMessage]:
        """Return the reports because of which a VM is regarded as failed.

        They are the answer to a heartbeat of that VM. Siblings push nothing
        to a failed VM; without this it would receive the reports, and refute
        them, only in an anti-entropy exchange that it begins itself.
        """
        member = self.members.get(vm)
        if member is None or member.state is not _members.MemberState.FAILED:
            return []
        entries = self.list_entries(_entries.EntryKind.VM, vm)
        return [_messages.Entries(entries)]

    def record_malformed(self, count: int) -> None:
        """Count entries that could not be decoded."""
        self._gossip.record_malformed(count)

    def read_configuration(
        self, known_version: int
    ) -> core.VersionedDeployment | None:
        """Return the configuration in force if newer than a version."""
        active = self._callbacks.read_configuration()
        newer = active is not None and active.version > known_version
        return active if newer else None

    async def claim(
        self, request: _messages.ClaimForward
    ) -> core.DocumentObject:
        """Handle claim records that a sibling forwards.

        Raises:
            CodedError: The records were refused.
        """
        return await self._callbacks.claim(request)

    async def serve_topic(
        self, request: _messages.TopicRead
    ) -> _messages.TopicAnswer:
        """Return records of a topic that this VM follows."""
        return await self._callbacks.read_topic(request)

    # Periodic tasks, and the steps that each of them repeats.

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve siblings, send heartbeats and gossip until cancelled."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._links.run, self)
            self.join()
            tasks.start_soon(self._push_repeatedly)
            tasks.start_soon(self._check_repeatedly)
            tasks.start_soon(self._reconcile_repeatedly)
            tasks.start_soon(self._configurations.run)
            task_status.started()

    def join(self) -> None:
        """Announce this VM to siblings and request their entries."""
        self._presence.announce_start(self._links.address)
        self.push()
        for address in self._choose_peers(PUSH_FANOUT):
            self._links.send(
                address, _reconcile.begin_exchange(self._gossip.store)
            )

    def push(self) -> None:
        """Push the pending entries to random siblings."""
        entries = self._gossip.pop_pending()
        if entries:
            for address in self._choose_peers(PUSH_FANOUT):
                self._links.send(address, _messages.Entries(entries))

    def push_recent(self) -> None:
        """Push the recently pushed entries once more to random siblings.

        If each VM pushes a received entry to 3 siblings once, a fraction of
        about e^-3 of the VMs, 5%, does not receive it; after the second push
        0.25% are left.
        """
        entries = self._gossip.pop_recent()
        if entries:
            for address in self._choose_peers(PUSH_FANOUT):
                self._links.send(address, _messages.Entries(entries))

    def check_siblings(self) -> None:
        """Report the siblings that do not answer and send new heartbeats."""
        now = self._clock.now()
        watched = self._roster.choose_watched(WATCHED_COUNT, MAX_WATCHED)
        names = {member.address: member.name for member in watched}
        if self._monitor.begin_round(names, now):
            _LOG.warning(
                'this VM was paused; earlier heartbeats are disregarded'
            )
        for address, name in self._monitor.list_unanswered(now).items():
            self._reachability_reports.announce_unreachable(name)
            self._links.drop(address)
        for member in watched:
            sequence = self._monitor.record_heartbeat(member.address, now)
            heartbeat = _messages.Heartbeat(sequence, self._name)
            self._links.send(member.address, heartbeat)

    def reconcile(self) -> None:
        """Begin an anti-entropy exchange with a random sibling.

        Also does the other work that is due once a second: renews the
        entries of this VM, pushes recent entries again and closes idle
        connections.
        """
        self._presence.refresh()
        self._configurations.announce(self._name, self._roster.live)
        self.push_recent()
        self._peers.update(self._roster.other_addresses)
        for address in self._peers.choose_exchange_peer(self._list_addresses):
            self._links.send(
                address, _reconcile.begin_exchange(self._gossip.store)
            )
        self._links.close_idle()

    async def fetch_configuration(self) -> bool:
        """Fetch a newer configuration if a sibling announces one.

        Returns:
            Whether a configuration was fetched and is in force.
        """
        return await self._configurations.fetch_newer()

    def _handle_vm_entry(self, entry: _entries.GossipEntry) -> None:
        if entry.subject == entry.origin:
            self._monitor.clear_unanswered(entry.subject)

    async def _push_repeatedly(self) -> None:
        while True:
            await self._entries_pending.wait()
            self._entries_pending = anyio.Event()
            self.push()
            resume_at = self._clock.now() + MIN_PUSH_INTERVAL_SECONDS
            await self._clock.sleep_until(resume_at)
            if self._gossip.has_pending:
                self._entries_pending.set()

    async def _check_repeatedly(self) -> None:
        while True:
            self.check_siblings()
            due = self._clock.now() + _heartbeats.HEARTBEAT_SECONDS
            await self._clock.sleep_until(due)

    async def _reconcile_repeatedly(self) -> None:
        while True:
            await self._clock.sleep_until(
                self._clock.now() + RECONCILE_SECONDS
            )
            self.reconcile()

    def _choose_peers(self, count: int) -> list[str]:
        self._peers.update(self._roster.other_addresses)
        return self._peers.choose(count, self._list_addresses)

    def _list_addresses(self) -> list[str]:
        return self._roster.list_addresses(self._seeds, self.address)
