"""The view of the entry VMs that decisions use."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep.siblings import _entries
from laburnumstep.siblings import _members
from laburnumstep import vmlist

if typing.TYPE_CHECKING:
    from laburnumstep.siblings import _gossip
    from laburnumstep.siblings import _presence

VIEW_SECONDS = 5.0
"""Age at which the whole view is made anew, in seconds; entries that expire
are noticed by then. A fresh entry changes its own VM's part at once."""
OWNERS_BOUND = 20_000
"""Remembered owners; more than the partitions and the workspaces."""
_LOG = core.get_logger('siblings')


class Roster:
    """Knows the entry VMs and chooses owners among them.

    Args:
        identity: Who this VM is.
        gossip: Holds the entries about VMs.
        clock: Tells when the view is made anew.
        metrics: Counts the VMs by state.
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
        self._others: list[str] = []
        self._ring: list[str] = []
        self._changed: set[str] = set()
        self._leaving: dict[str, float] = {}
        self._valid_until = 0.0
        self._owners: dict[str, str] = {}
        gossip.subscribe(_entries.EntryKind.VM, self._note)

    @property
    def members(self) -> dict[str, _members.Member]:
        """The known entry VMs by name, this one included."""
        if self._clock.now() >= self._valid_until:
            self._make_view()
        elif self._changed:
            self._update_view(self._changed)
        return self._members

    @property
    def live(self) -> list[str]:
        """Names of the VMs that may own partitions, sorted."""
        return self._live if self.members else []

    def note_list(self, listed: vmlist.VMList) -> None:
        """Take in a newer VM list."""
        self._listed = listed
        self._leaving = _members.find_leaving(listed)
        self._valid_until = 0.0

    def choose_owner(self, subject: str) -> str:
        """Return the live VM with the highest score for a subject.

        A VM that knows no live one, itself included, owns everything.
        """
        live = self.live
        owner = self._owners.get(subject)
        if owner is None:
            chosen = core.choose_by_rendezvous(subject, live)
            owner = chosen or self._identity.name
            if len(self._owners) < OWNERS_BOUND:
                self._owners[subject] = owner
        return owner

    def find_address(self, name: str) -> str | None:
        """Return the address of a VM that has not failed, or None."""
        member = self.members.get(name)
        if member is None or member.state is _members.MemberState.FAILED:
            return None
        return member.address

    def data_centres(self) -> dict[str, str]:
        """Return the data centres of the known VMs, by name."""
        return {m.name: m.data_centre for m in self.members.values()}

    @property
    def others(self) -> list[str]:
        """Addresses of the other VMs that have not failed.

        The list stays the same object until it changes.
        """
        return self._others if self.members else []

    def choose_watched(self, count: int, bound: int) -> list[_members.Member]:
        """Return the VMs whose heartbeats this VM checks.

        Args:
            count: Successors that have not failed to collect.
            bound: Most successors overall.
        """
        members = self.members
        name = self._identity.name
        return _members.choose_watched(name, self._ring, members, count, bound)

    def contacts(self, seeds: list[str], own_address: str) -> list[str]:
        """Return every address at which a sibling may be.

        Args:
            seeds: Addresses from the settings.
            own_address: Address of this VM, left out.
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

    def _note(self, entry: _entries.GossipEntry) -> None:
        self._changed.add(entry.subject)

    def _make_view(self) -> None:
        self._valid_until = self._clock.now() + VIEW_SECONDS
        names = self._gossip.store.subjects(_entries.EntryKind.VM)
        self._update_view(self._members.keys() | set(names))

    def _update_view(self, names: set[str]) -> None:
        self._changed = set()
        known = self._gossip.store.count_subjects(_entries.EntryKind.VM)
        differs = False
        for name in names:
            before = self._members.get(name)
            member = _members.describe_member(
                name,
                self._gossip.store.about(_entries.EntryKind.VM, name),
                self._identity.name,
                known,
                self._leaving.get(name, 0.0),
            )
            if member == before:
                continue
            differs = True
            if member is None:
                del self._members[name]
                _LOG.info('vm=%s is gone', name)
            else:
                self._members[name] = member
                _log_state(member, before)
        if differs:
            self._choose_lists()

    def _choose_lists(self) -> None:
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
            self._metrics.set_gauge('siblings.live', len(live))
        others = [
            member.address
            for member in members
            if member.name != self._identity.name
            and member.state is not _members.MemberState.FAILED
        ]
        if others != self._others:
            self._others = others


def _log_state(
    member: _members.Member, before: _members.Member | None
) -> None:
    if before is None or before.state is not member.state:
        _LOG.info(
            'vm=%s state=%s said_by=%s',
            member.name,
            member.state.value,
            ','.join(member.said_by),
        )
