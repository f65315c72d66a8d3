"""The VM list as it is read, and how well it is known."""

from __future__ import annotations

import enum

import attrs


class VMKind(enum.Enum):
    """What runs on a listed VM."""

    ENTRY = 'entry'
    """An entry VM."""
    TARGET = 'target'
    """A target."""


class ListedState(enum.Enum):
    """State of a VM in the list."""

    LIVE = 'live'
    """The platform has not announced its end."""
    LEAVING = 'leaving'
    """The platform is about to take it away."""


@attrs.frozen
class ListedVM:
    """One VM of the list."""

    name: str
    """Name of the entry VM or target."""
    kind: VMKind
    """What runs on it."""
    address: str
    """IP number and port."""
    data_centre: str
    """Data centre in which it stands."""
    state: ListedState
    """State at the time of the list."""


@attrs.frozen
class VMList:
    """The list at one time."""

    as_of: float
    """Time that the list describes, in epoch seconds."""
    vms: list[ListedVM]
    """The VMs."""
    encoded_bytes: int = attrs.field(default=0, eq=False)
    """Size of the answer that carried the list, in bytes."""


@attrs.frozen
class NotRead:
    """No list has been read yet."""


@attrs.frozen
class Current:
    """The last poll gave a list."""

    vm_list: VMList
    """The newest list."""


@attrs.frozen
class Outdated:
    """The last poll failed, or gave an older list than one before."""

    vm_list: VMList
    """The newest list."""
    since: float
    """When the first poll failed, in epoch seconds."""


ListStatus = NotRead | Current | Outdated
"""How well the list is known."""
