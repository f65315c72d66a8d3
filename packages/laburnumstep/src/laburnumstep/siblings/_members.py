"""Decides which entry VMs are live, from everything that is known."""

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
"""VMs that must miss a VM's heartbeats before others take it as failed; one
alone may have a broken link of its own."""


class MemberState(enum.Enum):
    """State of an entry VM."""

    LIVE = 'live'
    """It accepts work and may own partitions."""
    STOPPING = 'stopping'
    """It says that it accepts no new work."""
    LEAVING = 'leaving'
    """The VM list says that it is about to be taken away."""
    FAILED = 'failed'
    """Its heartbeats are not answered."""


@attrs.frozen
class Member:
    """One entry VM as this VM knows it."""

    name: str
    """Name of the VM."""
    address: str
    """IP number and port of its sibling server."""
    data_centre: str
    """Its data centre."""
    state: MemberState
    """Its state."""
    said_by: list[str]
    """VMs that said so; `vmlist` for the VM list."""


def describe_member(
    name: str,
    entries: list[_entries.GossipEntry],
    own_name: str,
    known: int,
    leaving_as_of: float,
) -> Member | None:
    """Combine what is said about one VM.

    A VM without an entry of its own is no member, even if the VM list names
    it: the list lags, and VMs whose lists differ would choose different
    owners.

    Args:
        name: Name of the VM.
        entries: Entries of all origins about it.
        own_name: Name of the VM that decides.
        known: Number of VMs with entries.
        leaving_as_of: Time of the VM list that shows it as leaving, in epoch
            seconds; 0 where the list does not.
    """
    own = next((entry for entry in entries if entry.origin == name), None)
    if own is None or not isinstance(own.value, _entries.VMValue):
        return None
    observers = _find_observers(entries, own.stamp)
    quorum = max(1, min(UNREACHABLE_QUORUM, known - 1))
    state = MemberState.LIVE
    said_by = [name]
    if name != own_name and (
        own_name in observers or len(observers) >= quorum
    ):
        state, said_by = MemberState.FAILED, observers
    elif own.value.state is _entries.VMState.STOPPING:
        state = MemberState.STOPPING
    # A list older than the process speaks of its predecessor.
    elif leaving_as_of >= own.value.started_at:
        state, said_by = MemberState.LEAVING, ['vmlist']
    value = own.value
    return Member(name, value.address, value.data_centre, state, said_by)


def _find_observers(
    entries: list[_entries.GossipEntry], stamp: int
) -> list[str]:
    """Return the VMs whose report that a VM is unreachable stands.

    A report stands until the VM makes a newer entry of its own.
    """
    return sorted(
        entry.origin
        for entry in entries
        if isinstance(entry.value, _entries.VMValue)
        and entry.value.state is _entries.VMState.UNREACHABLE
        and entry.value.observed >= stamp
    )


def order_ring(names: typing.Iterable[str]) -> list[str]:
    """Return names in their order on the ring.

    The order follows a hash, so that VMs of one rack, which fail together
    and have similar names, do not watch each other.
    """
    return sorted(names, key=_ring_key)


def _ring_key(name: str) -> tuple[int, str]:
    return core.stable_hash(name), name


def choose_watched(
    own_name: str,
    ring: list[str],
    members: dict[str, Member],
    count: int,
    bound: int,
) -> list[Member]:
    """Return the successors on the ring whose heartbeats this VM checks.

    Failed VMs on the way are checked as well and do not count, so that
    their return is noticed and every run of failures still leaves watchers.

    Args:
        own_name: Name of this VM.
        ring: Names of the known VMs in the order of `order_ring`.
        members: The known VMs.
        count: Successors that have not failed to collect.
        bound: Most successors overall.
    """
    start = bisect.bisect(ring, _ring_key(own_name), key=_ring_key)
    watched: list[Member] = []
    collected = 0
    for name in itertools.chain(ring[start:], ring[:start]):
        if collected >= count or len(watched) >= bound:
            break
        if name == own_name:
            continue
        watched.append(members[name])
        collected += members[name].state is not MemberState.FAILED
    return watched


def find_leaving(listed: vmlist.VMList | None) -> dict[str, float]:
    """Return the time of the list by name of each VM it shows leaving."""
    if listed is None:
        return {}
    return {
        vm.name: listed.as_of
        for vm in listed.vms
        if vm.kind is vmlist.VMKind.ENTRY
        and vm.state is vmlist.ListedState.LEAVING
    }
