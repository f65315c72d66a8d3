"""Gossip entries: what one VM says about one subject."""

from __future__ import annotations

import enum

import attrs


class EntryKind(enum.Enum):
    """What an entry is about."""

    VM = 'vm'
    """Liveness, state and address of an entry VM."""
    TARGET = 'target'
    """A target that is leaving or failed."""
    CONFIGURATION = 'config'
    """A VM that holds a version of the configuration."""
    CRASH = 'crash'
    """A request that crashed a target."""
    DEMAND = 'demand'
    """Use of a workspace's limits."""
    LENGTHS = 'lengths'
    """Distribution of output lengths."""


class VMState(enum.Enum):
    """State of an entry VM, as an entry tells it."""

    LIVE = 'live'
    """The VM says that it accepts work."""
    STOPPING = 'stopping'
    """The VM says that it accepts no new work."""
    UNREACHABLE = 'unreachable'
    """Another VM says that its heartbeats are not answered."""


class TargetState(enum.Enum):
    """State of a target, as an entry tells it."""

    LEAVING = 'leaving'
    """The target gets no new work; its streams finish."""
    FAILED = 'failed'
    """The target did not answer or crashed."""


@attrs.frozen
class VMValue:
    """Value of an entry about a VM."""

    state: VMState
    """State told."""
    address: str = ''
    """IP number and port of the VM's sibling server."""
    data_centre: str = ''
    """Data centre of the VM."""
    started_at: float = 0.0
    """When the VM's process started, in epoch seconds."""
    observed: int = 0
    """Stamp of the VM's own entry that an observer refers to."""


@attrs.frozen
class TargetValue:
    """Value of an entry about a target."""

    state: TargetState
    """State told."""
    source: str
    """Who told the origin."""


@attrs.frozen
class ConfigurationValue:
    """Value of an entry about a configuration."""

    version: int
    """Version held by the origin."""
    digest: str
    """Digest of the configuration."""


@attrs.frozen
class DataValue:
    """Value that another part encodes and interprets."""

    data: bytes
    """Encoded value."""


EntryValue = VMValue | TargetValue | ConfigurationValue | DataValue


@attrs.frozen
class EntryKey:
    """What an entry replaces: earlier entries with an equal key."""

    kind: EntryKind
    """What the entry is about."""
    subject: str
    """Name of what it is about."""
    origin: str
    """Name of the VM that made it."""


@attrs.frozen
class GossipEntry:
    """What one VM says about one subject until a deadline."""

    kind: EntryKind
    """What the entry is about."""
    subject: str
    """Name of what it is about."""
    origin: str
    """Name of the VM that made it."""
    stamp: int
    """Epoch microseconds; a higher one replaces a lower one."""
    value: EntryValue
    """What is said."""
    expires_at: float
    """When the entry is dropped, in epoch seconds."""

    @property
    def key(self) -> EntryKey:
        """What this entry replaces."""
        return EntryKey(self.kind, self.subject, self.origin)
