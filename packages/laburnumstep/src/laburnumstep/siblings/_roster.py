"""The current view of the entry VMs and the owners chosen from it."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep.siblings import _entries
from laburnumstep.siblings import _members
from laburnumstep import vmlist

if typing.TYPE_CHECKING:
    from laburnumstep.siblings import _gossip
    from laburnumstep.siblings import _presence

VIEW_LIFETIME_SECONDS = 5.0
"""Age at which the whole view is rebuilt, in seconds, which removes the VMs
whose entries have expired. A fresh entry updates its VM at once."""
MAX_CACHED_OWNERS = 20_000
"""Most cached owners; more than there are partitions and workspaces."""
_LOG = core.get_logger('siblings')


class Roster:
    """Maintains the view of the entry VMs and chooses owners among them.

    Args:
        identity: Identity of this VM.
        gossip: Stores the entries about VMs.
        clock: Clock of the age of the view.
        metrics: Receives the number of live VMs.
    """

    def __init__(
        self,
        identity: _presence.Identity,
        gossip: _gossip.Gossip,
        clock: core.Clock,
        metrics: core.Metrics,
    ) -> None:
        self._identity = identity
        self._gossip = gossip
        self._clock = clock
        self._metrics = metrics
        self._listed: vmlist.VMList | None = None
        self._members: dict[str, _members.Member] = {}
        self._live: list[str] = []
        self._other_addresses: list[str] = []
        self._ring: list[str] = []
        self._changed_names: set[str] = set()
        self._leaving: dict[str, float] = {}
        self._view_expires_at = 0.0
        self._owners: dict[str, str] = {}
        self._ranks: dict[tuple[str, str], list[str]] = {}
        gossip.subscribe(_entries.EntryKind.VM, self._handle_vm_entry)

    @property
    def members(self) -> dict[str, _members.Member]:
        """Known entry VMs by name, this one included."""
        if self._clock.now() >= self._view_expires_at:
            self._rebuild_view()
        elif self._changed_names:
            self._update_view(self._changed_names)
        return self._members

    @property
    def live(self) -> list[str]:
        """Names of the VMs that may own partitions, sorted."""
        return self._live if self.members else []

    def apply_vm_list(self, listed: vmlist.VMList) -> None:
        """Replace the VM list by a newer one."""
        self._listed = listed
        self._leaving = _members.map_leaving(listed)
        self._view_expires_at = 0.0

    def choose_owner(self, subject: str) -> str:
        """Return the name of the live VM with the highest score.

        Without any live VM, this one included, this VM owns everything.

        Args:
            subject: Name of what is owned, such as a partition.
        """
        live = self.live
        owner = self._owners.get(subject)
        if owner is None:
            chosen = core.choose_by_rendezvous(subject, live)
            owner = chosen or self._identity.name
            if len(self._owners) < MAX_CACHED_OWNERS:
                self._owners[subject] = owner
        return owner

    def rank_neighbours(
        self, subject: str, data_centre: str
    ) -> list[_members.Member]:
        """Return the live VMs of a data centre, best owner of a subject first.

        Args:
            subject: Name of what is owned.
            data_centre: The data centre.
        """
        members = self.members
        key = (subject, data_centre)
        ranked = self._ranks.get(key)
        if ranked is None:
            names = [
                name
                for name in self._live
                if members[name].data_centre == data_centre
            ]
            ranked = core.rank_by_rendezvous(subject, names)
            if len(self._ranks) < MAX_CACHED_OWNERS:
                self._ranks[key] = ranked
        return [members[name] for name in ranked]

    def find_address(self, name: str) -> str | None:
        """Return the address of a VM, or None if it failed or is unknown."""
        member = self.members.get(name)
        if member is None or member.state is _members.MemberState.FAILED:
            return None
        return member.address

    def get_data_centres(self) -> dict[str, str]:
        """Return the data centre of each known VM, by name of the VM."""
        return {m.name: m.data_centre for m in self.members.values()}

    @property
    def other_addresses(self) -> list[str]:
        """Addresses of the other VMs that have not failed.

        The same list object is returned until the addresses change.
        """
        return self._other_addresses if self.members else []

    def choose_watched(self, count: int, limit: int) -> list[_members.Member]:
        """Return the VMs to which this VM sends heartbeats.

        Args:
            count: Number of successors to watch that have not failed.
            limit: Most successors to watch, failed ones included.
        """
        members = self.members
        name = self._identity.name
        return _members.choose_watched(name, self._ring, members, count, limit)

    def list_addresses(self, seeds: list[str], own_address: str) -> list[str]:
        """Return every known address of a sibling, sorted.

        Addresses come from the settings, the known VMs and the VM list.

        Args:
            seeds: Addresses from the settings.
            own_address: Address of this VM, which is left out.
        """
        found = set(seeds)
        found.update(member.address for member in self.members.values())
        if self._listed is not None:
            found.update(
                vm.address
                for vm in self._listed.vms
                if vm.kind is vmlist.VMKind.ENTRY
            )
        return sorted(found - {own_address, ''})

    def _handle_vm_entry(self, entry: _entries.GossipEntry) -> None:
        self._changed_names.add(entry.subject)

    def _rebuild_view(self) -> None:
        self._view_expires_at = self._clock.now() + VIEW_LIFETIME_SECONDS
        names = self._gossip.store.list_subjects(_entries.EntryKind.VM)
        self._update_view(self._members.keys() | set(names))

    def _update_view(self, names: set[str]) -> None:
        self._changed_names = set()
        known_count = self._gossip.store.count_subjects(_entries.EntryKind.VM)
        differs = False
        for name in names:
            before = self._members.get(name)
            member = _members.derive_member(
                name,
                self._gossip.store.list_entries(_entries.EntryKind.VM, name),
                self._identity.name,
                known_count,
                self._leaving.get(name, 0.0),
            )
            if member == before:
                continue
            differs = True
            if member is None:
                del self._members[name]
                _LOG.info('vm=%s removed; it has no entry of its own', name)
            else:
                self._members[name] = member
                _log_state_change(member, before)
        if differs:
            self._update_lists()

    def _update_lists(self) -> None:
        members = self._members.values()
        self._ring = _members.order_ring(self._members)
        live = sorted(
            member.name
            for member in members
            if member.state is _members.MemberState.LIVE
        )
        if live != self._live:
            self._live = live
            self._owners.clear()
            self._ranks.clear()
            self._metrics.set_gauge('siblings.live', len(live))
        other_addresses = [
            member.address
            for member in members
            if member.name != self._identity.name
            and member.state is not _members.MemberState.FAILED
        ]
        if other_addresses != self._other_addresses:
            self._other_addresses = other_addresses


def _log_state_change(
    member: _members.Member, before: _members.Member | None
) -> None:
    if before is None or before.state is not member.state:
        _LOG.info(
            'vm=%s state=%s said_by=%s',
            member.name,
            member.state.value,
            ','.join(member.reported_by),
        )
