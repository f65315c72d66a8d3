"""Gossip entries: what one VM publishes about one subject."""

from __future__ import annotations

import enum

import attrs


class EntryKind(enum.Enum):
    """Kind of subject and value of an entry."""

    VM = 'vm'
    """Liveness, state and address of an entry VM."""
    TARGET = 'target'
    """Report that a target is leaving or has failed."""
    CONFIGURATION = 'config'
    """Announcement of a configuration version by a VM that has it."""
    CRASH = 'crash'
    """Crash suspect: a request that crashed a target."""
    DEMAND = 'demand'
    """Demand for a workspace's limits at one VM."""
    LIMIT = 'limit'
    """Limit that a target has named, or its end."""
    PACE = 'pace'
    """Times between the events of an engine's streams."""
    LENGTHS = 'lengths'
    """Observed distribution of output lengths."""


class VMState(enum.Enum):
    """State of an entry VM as published in an entry."""

    LIVE = 'live'
    """The VM itself announces that it accepts work."""
    STOPPING = 'stopping'
    """The VM itself announces that it accepts no new work."""
    UNREACHABLE = 'unreachable'
    """Another VM reports that its heartbeats to the VM go unanswered."""


class TargetState(enum.Enum):
    """State of a target as published in an entry."""

    LEAVING = 'leaving'
    """The target accepts no new work and finishes its streams."""
    FAILED = 'failed'
    """The target did not answer or crashed."""


@attrs.frozen
class VMValue:
    """Value of an entry about a VM."""

    state: VMState
    """State of the VM according to the origin."""
    address: str = ''
    """IP address and port of the VM's sibling server."""
    data_centre: str = ''
    """Data centre of the VM."""
    started_at: float = 0.0
    """Start time of the VM's process, in epoch seconds."""
    observed: int = 0
    """Stamp of the VM's own entry that a report of another VM refers to; 0 in
    own entries and in withdrawn reports."""


@attrs.frozen
class TargetValue:
    """Value of an entry about a target."""

    state: TargetState
    """State of the target according to the origin."""
    source: str
    """Source of the state at the origin, such as `vmlist` or `operator`."""


@attrs.frozen
class ConfigurationValue:
    """Value of an entry about a configuration."""

    version: int
    """Version in force at the origin."""
    digest: str
    """Digest of the configuration."""


@attrs.frozen
class DataValue:
    """Opaque value that another package encodes and decodes."""

    data: bytes
    """Encoded value."""


EntryValue = VMValue | TargetValue | ConfigurationValue | DataValue


@attrs.frozen
class EntryKey:
    """Identity of an entry; an entry replaces older ones with its key."""

    kind: EntryKind
    """Kind of the entry."""
    subject: str
    """Name of the subject, such as a VM or a target."""
    origin: str
    """Name of the VM that published the entry."""


@attrs.frozen
class GossipEntry:
    """What one VM publishes about one subject, until it expires."""

    kind: EntryKind
    """Kind of the entry."""
    subject: str
    """Name of the subject, such as a VM or a target."""
    origin: str
    """Name of the VM that published the entry."""
    stamp: int
    """Version of the entry, in epoch microseconds; the entry with the highest
    stamp replaces the others with its key."""
    value: EntryValue
    """Published value."""
    expires_at: float
    """Expiry time, in epoch seconds."""

    @property
    def key(self) -> EntryKey:
        """Key of the entry."""
        return EntryKey(self.kind, self.subject, self.origin)
