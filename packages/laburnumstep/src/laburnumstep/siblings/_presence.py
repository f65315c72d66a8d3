"""The entry that this VM publishes about itself."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep.siblings import _entries

if typing.TYPE_CHECKING:
    from laburnumstep.siblings import _gossip

ENTRY_LIFETIME_SECONDS = 360.0
"""Lifetime of a VM's own entry, in seconds. Heartbeats detect failures much
earlier; the expiry removes VMs that do not return."""
REFRESH_SECONDS = 120.0
"""Time between two entries of a VM about itself, in seconds. 370 VMs publish 3
entries a second, each of which every VM receives about three times."""
NAME_CONFLICTS_TO_YIELD = 3
"""Number of entries of a later process under this VM's name that show that
the process is alive, so that this one yields. Each of them has a higher stamp
than the entry with which this VM answered the one before; a process that has
ended cannot exceed those stamps so many times."""
_LOG = core.get_logger('siblings')


@attrs.frozen
class Identity:
    """Identity of an entry VM."""

    name: str
    """Name of the VM, unique among the live VMs of the deployment."""
    data_centre: str
    """Data centre of the VM."""


class Presence:
    """Publishes the entry of this VM and refutes other entries about it.

    Args:
        identity: Identity of this VM.
        gossip: Publishes the entry.
        clock: Clock of the renewals.
    """

    def __init__(
        self, identity: Identity, gossip: _gossip.Gossip, clock: core.Clock
    ) -> None:
        self._identity = identity
        self._gossip = gossip
        self._clock = clock
        self._started_at = clock.now()
        self._address = ''
        self._stopping = False
        self._superseded = False
        self._name_conflicts = 0
        self._own_stamp = 0
        self._refresh_at = 0.0
        gossip.subscribe(_entries.EntryKind.VM, self._handle_vm_entry)

    @property
    def superseded(self) -> bool:
        """Whether a later process runs under this VM's name."""
        return self._superseded

    def announce_start(self, address: str) -> None:
        """Announce this VM and the address at which siblings reach it."""
        self._address = address
        self._publish()

    def announce_stopping(self) -> None:
        """Announce that this VM accepts no new work."""
        self._stopping = True
        self._publish()

    def refresh(self) -> None:
        """Publish the entry again if it is due or has been replaced."""
        own = self._find_own_entry()
        due = self._clock.now() >= self._refresh_at
        if own is None or due or not self._is_from_this_process(own):
            self._publish()

    def _find_own_entry(self) -> _entries.GossipEntry | None:
        name = self._identity.name
        key = _entries.EntryKey(_entries.EntryKind.VM, name, name)
        return self._gossip.store.find(key)

    def _is_from_this_process(self, entry: _entries.GossipEntry) -> bool:
        return (
            isinstance(entry.value, _entries.VMValue)
            and entry.value.started_at == self._started_at
            and entry.value.address == self._address
        )

    def _publish(self) -> None:
        if self._superseded or not self._address:
            return
        now = self._clock.now()
        state = _entries.VMState.LIVE
        if self._stopping:
            state = _entries.VMState.STOPPING
        value = _entries.VMValue(
            state,
            self._address,
            self._identity.data_centre,
            self._started_at,
        )
        name = self._identity.name
        expires_at = now + ENTRY_LIFETIME_SECONDS
        self._refresh_at = now + REFRESH_SECONDS
        kind = _entries.EntryKind.VM
        self._gossip.publish(kind, name, value, expires_at)
        self._own_stamp = self._gossip.last_stamp

    def _handle_vm_entry(self, entry: _entries.GossipEntry) -> None:
        if entry.subject != self._identity.name or not self._address:
            return
        match entry.value:
            case _entries.VMValue(state=_entries.VMState.UNREACHABLE):
                if entry.value.observed >= self._own_stamp:
                    self._gossip.raise_above(entry.value.observed)
                    self._publish()
            case _entries.VMValue(started_at=started_at):
                if not self._is_from_this_process(entry):
                    self._handle_name_conflict(entry.value.address, started_at)
            case _:
                pass

    def _handle_name_conflict(self, address: str, started_at: float) -> None:
        """React to an entry of another process under this VM's name.

        Publishes the entry of this process again until a later process has
        proved to be alive; then this one yields.
        """
        if started_at > self._started_at:
            self._name_conflicts += 1
        if self._name_conflicts >= NAME_CONFLICTS_TO_YIELD:
            self._superseded = True
            _LOG.error(
                'VM name conflict: a later process at %s uses the name %s; '
                'this process yields',
                address,
                self._identity.name,
            )
            return
        self._publish()
