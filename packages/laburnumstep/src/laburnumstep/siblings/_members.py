"""Derivation of the state of each entry VM from gossip and the VM list."""

from __future__ import annotations

import bisect
import enum
import itertools
import typing

import attrs

from laburnumstep import core
from laburnumstep.siblings import _entries
from laburnumstep import vmlist

UNREACHABLE_QUORUM = 2
"""Number of VMs that must report a VM as unreachable before the others treat
it as failed; a single VM may have a broken link."""


class MemberState(enum.Enum):
    """State of an entry VM."""

    LIVE = 'live'
    """The VM accepts work and may own partitions."""
    STOPPING = 'stopping'
    """The VM announces that it accepts no new work."""
    LEAVING = 'leaving'
    """The VM list shows that the platform will reclaim the VM."""
    FAILED = 'failed'
    """The VM does not answer heartbeats."""


@attrs.frozen
class Member:
    """An entry VM as seen by this VM."""

    name: str
    """Name of the VM."""
    address: str
    """IP address and port of its sibling server."""
    data_centre: str
    """Data centre of the VM."""
    state: MemberState
    """State of the VM."""
    reported_by: list[str]
    """Names of the VMs that reported the state; `vmlist` for the VM list."""


def derive_member(
    name: str,
    entries: list[_entries.GossipEntry],
    own_name: str,
    known_count: int,
    leaving_as_of: float,
) -> Member | None:
    """Derive the state of a VM from the entries about it.

    A VM without an entry of its own is no member, even if the VM list names
    it: the list lags, and VMs that have read different lists would choose
    different owners.

    Args:
        name: Name of the VM.
        entries: Entries of all origins about the VM.
        own_name: Name of the VM that evaluates the entries.
        known_count: Number of VMs with entries.
        leaving_as_of: Time of the VM list that shows the VM as leaving, in
            epoch seconds; 0 if the list does not.

    Returns:
        The member, or None if the VM has no entry of its own.
    """
    own = next((entry for entry in entries if entry.origin == name), None)
    if own is None or not isinstance(own.value, _entries.VMValue):
        return None
    observers = _list_observers(entries, own.stamp)
    quorum = max(1, min(UNREACHABLE_QUORUM, known_count - 1))
    state = MemberState.LIVE
    reported_by = [name]
    if name != own_name and (
        own_name in observers or len(observers) >= quorum
    ):
        state, reported_by = MemberState.FAILED, observers
    elif own.value.state is _entries.VMState.STOPPING:
        state = MemberState.STOPPING
    # A VM list from before the start of the process refers to an earlier
    # process under the same name.
    elif leaving_as_of >= own.value.started_at:
        state, reported_by = MemberState.LEAVING, ['vmlist']
    value = own.value
    return Member(name, value.address, value.data_centre, state, reported_by)


def _list_observers(
    entries: list[_entries.GossipEntry], stamp: int
) -> list[str]:
    """Return the VMs that currently report a VM as unreachable.

    A newer entry of the VM itself invalidates the reports about its earlier
    entries.

    Args:
        entries: Entries of all origins about the VM.
        stamp: Stamp of the VM's own entry.
    """
    return sorted(
        entry.origin
        for entry in entries
        if isinstance(entry.value, _entries.VMValue)
        and entry.value.state is _entries.VMState.UNREACHABLE
        and entry.value.observed >= stamp
    )


def order_ring(names: typing.Iterable[str]) -> list[str]:
    """Return VM names in their order on the heartbeat ring.

    They are ordered by a hash, so that VMs of one rack, which have similar
    names and fail together, do not watch each other.
    """
    return sorted(names, key=_ring_key)


def _ring_key(name: str) -> tuple[int, str]:
    return core.stable_hash(name), name


def choose_watched(
    own_name: str,
    ring: list[str],
    members: dict[str, Member],
    count: int,
    limit: int,
) -> list[Member]:
    """Return the successors on the ring to which this VM sends heartbeats.

    Failed successors are watched in addition to the count. Their recovery is
    then detected, and a VM is still watched when all its nearest
    predecessors on the ring have failed.

    Args:
        own_name: Name of this VM.
        ring: Names of the known VMs in the order of `order_ring`.
        members: Known VMs by name.
        count: Number of successors to watch that have not failed.
        limit: Most successors to watch, failed ones included.
    """
    start = bisect.bisect(ring, _ring_key(own_name), key=_ring_key)
    watched: list[Member] = []
    healthy_count = 0
    for name in itertools.chain(ring[start:], ring[:start]):
        if healthy_count >= count or len(watched) >= limit:
            break
        if name == own_name:
            continue
        watched.append(members[name])
        healthy_count += members[name].state is not MemberState.FAILED
    return watched


def map_leaving(listed: vmlist.VMList | None) -> dict[str, float]:
    """Return the entry VMs that a VM list shows as leaving.

    Returns:
        Time of the list, in epoch seconds, by name of the VM.
    """
    if listed is None:
        return {}
    return {
        vm.name: listed.as_of
        for vm in listed.vms
        if vm.kind is vmlist.VMKind.ENTRY
        and vm.state is vmlist.ListedState.LEAVING
    }
