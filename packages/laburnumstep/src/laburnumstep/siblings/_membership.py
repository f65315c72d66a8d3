"""Which VMs and targets are there, from every source that tells."""

from __future__ import annotations

import random
import typing

import anyio
import anyio.abc
import attrs

from laburnumstep import core
from laburnumstep.siblings import _configurations
from laburnumstep.siblings import _entries
from laburnumstep.siblings import _gossip
from laburnumstep.siblings import _heartbeats
from laburnumstep.siblings import _links
from laburnumstep.siblings import _members
from laburnumstep.siblings import _messages
from laburnumstep.siblings import _notices
from laburnumstep.siblings import _partners
from laburnumstep.siblings import _presence
from laburnumstep.siblings import _reconcile
from laburnumstep.siblings import _reports
from laburnumstep.siblings import _roster
from laburnumstep.siblings import _targets
from laburnumstep import vmlist

if typing.TYPE_CHECKING:
    import collections.abc

PUSH_FANOUT = 3
"""Siblings to which a fresh entry is pushed at once."""
PUSH_GAP_SECONDS = 0.02
"""Shortest time between two pushes, in seconds; entries that arrive
together, as after the failure of a data centre, then share messages."""
RECONCILE_SECONDS = 1.0
"""Time between anti-entropy exchanges, in seconds."""
WATCHED = 3
"""Successors on the ring whose heartbeats this VM checks."""
WATCHED_BOUND = 16
"""Most siblings whose heartbeats are checked, failed ones included."""
_LOG = core.get_logger('siblings')

ClaimHandler = typing.Callable[
    [_messages.ClaimForward],
    'collections.abc.Awaitable[core.DocumentObject]',
]


@attrs.frozen
class MembershipCallbacks:
    """What membership needs of the other parts of the VM."""

    read_configuration: _configurations.ReadConfiguration
    """Returns the configuration in force, or None."""
    adopt: _configurations.Adopt
    """Takes a configuration of a sibling; tells whether it is used."""
    claim: ClaimHandler
    """Handles claim records as the owner of their partition."""


class Membership:
    """Combines the VM list, heartbeats, gossip and own observations.

    Args:
        identity: Who this VM is.
        links: Reaches the siblings.
        seeds: Addresses of siblings to start from.
        callbacks: What the other parts of the VM do.
        clock: Times everything.
        metrics: Counts entries and failures.
        randomness: Makes the random choices.
    """

    def __init__(
        self,
        identity: _presence.Identity,
        links: _links.SiblingLinks,
        seeds: list[str],
        callbacks: MembershipCallbacks,
        clock: core.Clock,
        metrics: core.Metrics,
        randomness: random.Random,
    ) -> None:
        self._name = identity.name
        self._links = links
        self._seeds = seeds
        self._callbacks = callbacks
        self._clock = clock
        self._gossip = _gossip.Gossip(identity.name, clock, metrics)
        self._presence = _presence.Presence(identity, self._gossip, clock)
        self._roster = _roster.Roster(identity, self._gossip, clock, metrics)
        self._notices = _notices.TargetNotices(
            identity, self._gossip, self._roster, clock
        )
        self._monitor = _heartbeats.HeartbeatMonitor()
        self._reports = _reports.ReachabilityReports(
            identity.name, self._gossip, clock
        )
        self._partners = _partners.Partners(identity.name, randomness)
        self._configurations = _configurations.ConfigurationExchange(
            self._gossip,
            links,
            clock,
            randomness,
            callbacks.read_configuration,
            callbacks.adopt,
            self._roster.find_address,
        )
        self._gossip.subscribe(_entries.EntryKind.VM, self._note_vm)
        self._fresh = anyio.Event()
        for kind in _gossip.PUSHED_KINDS:
            self._gossip.subscribe(kind, lambda entry: self._fresh.set())

    @property
    def address(self) -> str:
        """IP number and port at which siblings reach this VM."""
        return self._links.address

    @property
    def superseded(self) -> bool:
        """Whether a later process with this VM's name is alive."""
        return self._presence.superseded

    @property
    def members(self) -> dict[str, _members.Member]:
        """The known entry VMs by name, this one included."""
        return self._roster.members

    def live_vms(self) -> list[str]:
        """Return the names of the VMs that may own partitions, sorted."""
        return list(self._roster.live)

    def choose_owner(self, subject: str) -> str:
        """Return the live VM with the highest score for a subject."""
        return self._roster.choose_owner(subject)

    def is_leaving(self, name: str) -> bool:
        """Tell whether a target gets no new work."""
        status = self._notices.read_status(name)
        return status.availability is _targets.Availability.LEAVING

    def target_status(self, name: str) -> _targets.TargetStatus:
        """Return the status of a target and who said so."""
        return self._notices.read_status(name)

    def target_statuses(self) -> dict[str, _targets.TargetStatus]:
        """Return the status of every target with a report, by name."""
        return self._notices.read_all()

    def note_target_leaving(
        self, name: str, source: str, until: float
    ) -> None:
        """Tell all VMs that a target gets no new work.

        Args:
            name: Name of the target.
            source: Who says so, such as `operator` or `reclaim`.
            until: When the notice ends, in epoch seconds.
        """
        self._notices.note_leaving(name, source, until)

    def note_target_failed(self, name: str) -> None:
        """Tell all VMs that a target does not answer."""
        self._notices.note_failed(name)

    def note_list(self, listed: vmlist.VMList) -> None:
        """Take in a newer VM list."""
        self._roster.note_list(listed)
        self._notices.note_list(listed)

    def note_configuration(self) -> None:
        """Tell siblings that another configuration is in force here."""
        self._configurations.announce(self._name, self._roster.live)

    def note_stopping(self) -> None:
        """Tell all VMs that this one accepts no new work."""
        self._presence.stop()

    def publish(
        self,
        kind: _entries.EntryKind,
        subject: str,
        data: bytes,
        expires_at: float,
    ) -> None:
        """Tell all VMs something that another part encodes.

        Args:
            kind: `CRASH`, pushed at once, or `LENGTHS`, which spreads by
                anti-entropy only.
            subject: What it is about.
            data: Encoded value.
            expires_at: When it is dropped, in epoch seconds.
        """
        value = _entries.DataValue(data)
        self._gossip.publish(kind, subject, value, expires_at)

    def tell(
        self, vm: str, demand: dict[str, bytes], expires_at: float
    ) -> None:
        """Tell one VM the demand for workspaces.

        Args:
            vm: Name of the workspaces' aggregator.
            demand: Encoded demand, by subject.
            expires_at: When it is dropped, in epoch seconds.
        """
        entries = [
            self._gossip.make(
                _entries.EntryKind.DEMAND,
                subject,
                _entries.DataValue(data),
                expires_at,
            )
            for subject, data in demand.items()
        ]
        if vm == self._name:
            self._gossip.hold(entries)
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

    def entries_about(
        self, kind: _entries.EntryKind, subject: str
    ) -> list[_entries.GossipEntry]:
        """Return what all VMs say about a subject."""
        return self._gossip.store.about(kind, subject)

    async def forward_claim(
        self, subject: str, request: _messages.ClaimForward
    ) -> core.DocumentObject:
        """Hand claim records to the owner of their partition.

        Args:
            subject: Name of the partition, by which its owner is chosen.
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

    # What siblings call; see `SiblingHandler`.

    def receive(
        self, message: _messages.SiblingMessage
    ) -> list[_messages.SiblingMessage]:
        """Take in a message of a sibling and return the answers."""
        match message:
            case _messages.HeartbeatAck(sequence, vm):
                if self._monitor.note_answer(vm, sequence):
                    self._reports.withdraw(vm)
                return []
            case _messages.Heartbeat(_, vm):
                return self._gossip.answer(message) + self._accuse(vm)
            case _:
                return self._gossip.answer(message)

    def _accuse(self, vm: str) -> list[_messages.SiblingMessage]:
        """Tell a VM that sends heartbeats why it counts as failed.

        Siblings do not push to a failed VM, so it would learn of the
        reports, and deny them, only in an exchange of its own.
        """
        member = self.members.get(vm)
        if member is None or member.state is not _members.MemberState.FAILED:
            return []
        about = self.entries_about(_entries.EntryKind.VM, vm)
        return [_messages.Entries(about)]

    def report_malformed(self, count: int) -> None:
        """Count entries that could not be read."""
        self._gossip.report_malformed(count)

    def read_configuration(
        self, known_version: int
    ) -> core.VersionedDeployment | None:
        """Return the configuration in force if it is newer."""
        held = self._callbacks.read_configuration()
        newer = held is not None and held.version > known_version
        return held if newer else None

    async def claim(
        self, request: _messages.ClaimForward
    ) -> core.DocumentObject:
        """Handle claim records of a sibling."""
        return await self._callbacks.claim(request)

    # Tasks and their steps.

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve siblings, check heartbeats and gossip until cancelled."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._links.run, self)
            self.join()
            tasks.start_soon(self._push_repeatedly)
            tasks.start_soon(self._check_repeatedly)
            tasks.start_soon(self._reconcile_repeatedly)
            tasks.start_soon(self._configurations.run)
            task_status.started()

    def join(self) -> None:
        """Tell the first siblings of this VM and ask what they know."""
        self._presence.start(self._links.address)
        self.push()
        for address in self._choose_partners(PUSH_FANOUT):
            self._links.send(address, _reconcile.start(self._gossip.store))

    def push(self) -> None:
        """Push fresh entries to random siblings."""
        entries = self._gossip.take_pending()
        if entries:
            for address in self._choose_partners(PUSH_FANOUT):
                self._links.send(address, _messages.Entries(entries))

    def push_again(self) -> None:
        """Push recent entries to other random siblings.

        One push to 3 siblings by each VM that learns an entry leaves out
        about e^-3 of the VMs, 5%; the second push leaves 0.25%.
        """
        entries = self._gossip.take_recent()
        if entries:
            for address in self._choose_partners(PUSH_FANOUT):
                self._links.send(address, _messages.Entries(entries))

    def check_siblings(self) -> None:
        """Send a round of heartbeats and report who does not answer."""
        now = self._clock.now()
        watched = self._roster.choose_watched(WATCHED, WATCHED_BOUND)
        names = {member.address: member.name for member in watched}
        if self._monitor.begin_round(names, now):
            _LOG.warning('this VM was paused; its siblings are checked anew')
        for address, name in self._monitor.find_unanswered(now).items():
            self._reports.report(name)
            self._links.drop(address)
        for member in watched:
            sequence = self._monitor.next_sequence(member.address, now)
            beat = _messages.Heartbeat(sequence, self._name)
            self._links.send(member.address, beat)

    def reconcile(self) -> None:
        """Begin an anti-entropy exchange with one random sibling."""
        self._presence.refresh()
        self._configurations.announce(self._name, self._roster.live)
        self.push_again()
        self._partners.update(self._roster.others)
        for address in self._partners.choose_one(self._contacts):
            self._links.send(address, _reconcile.start(self._gossip.store))
        self._links.close_idle()

    async def fetch_configuration(self) -> bool:
        """Fetch a newer configuration that siblings announce, if any."""
        return await self._configurations.fetch_newer()

    def _note_vm(self, entry: _entries.GossipEntry) -> None:
        if entry.subject == entry.origin:
            self._monitor.note_alive(entry.subject)

    async def _push_repeatedly(self) -> None:
        while True:
            await self._fresh.wait()
            self._fresh = anyio.Event()
            self.push()
            resume_at = self._clock.now() + PUSH_GAP_SECONDS
            await self._clock.sleep_until(resume_at)
            if self._gossip.has_pending:
                self._fresh.set()

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

    def _choose_partners(self, count: int) -> list[str]:
        self._partners.update(self._roster.others)
        return self._partners.choose(count, self._contacts)

    def _contacts(self) -> list[str]:
        return self._roster.contacts(self._seeds, self.address)
