"""The VM list and its status."""

from __future__ import annotations

import enum

import attrs


class VMKind(enum.Enum):
    """Kind of a listed VM."""

    ENTRY = 'entry'
    """A VM that runs an entry process."""
    TARGET = 'target'
    """A VM that runs a target."""


class ListedState(enum.Enum):
    """State of a VM in the list."""

    LIVE = 'live'
    """The platform has not announced that it will reclaim the VM."""
    LEAVING = 'leaving'
    """The platform has announced that it will reclaim the VM."""


@attrs.frozen
class ListedVM:
    """One VM of the list."""

    name: str
    """Name of the entry VM or target."""
    kind: VMKind
    """Kind of the VM."""
    address: str
    """IP address and port."""
    data_centre: str
    """Data centre of the VM."""
    state: ListedState
    """State at the time that the list describes."""


@attrs.frozen
class VMList:
    """The VMs at a point in time."""

    as_of: float
    """Time that the list describes, in epoch seconds."""
    vms: list[ListedVM]
    """The VMs."""
    encoded_bytes: int = attrs.field(default=0, eq=False)
    """Size of the answer that contained the list, in bytes."""


@attrs.frozen
class NotRead:
    """No list has been read yet."""


@attrs.frozen
class Current:
    """The last poll returned the newest list."""

    vm_list: VMList
    """The newest list."""


@attrs.frozen
class Outdated:
    """The last poll failed or returned an older list than a previous one."""

    vm_list: VMList
    """The newest list."""
    since: float
    """When the first poll failed, in epoch seconds."""


ListStatus = NotRead | Current | Outdated
"""Result of the polls so far."""
