"""What this VM says about itself."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep.siblings import _entries

if typing.TYPE_CHECKING:
    from laburnumstep.siblings import _gossip

LIFETIME_SECONDS = 360.0
"""Time to expiry of a VM's own entry. Heartbeats tell sooner that a VM has
failed; the expiry removes VMs that are gone for good."""
REFRESH_SECONDS = 120.0
"""Time between two entries of a VM about itself. At 370 VMs this makes 3
entries a second, which every VM receives about three times."""
CONFLICTS_TO_YIELD = 3
"""Entries of a later process with this VM's name, each above the stamp made
in reply to the one before, that show that the process is alive. Entries of
a process that has ended cannot exceed a reply to them for so long."""
_LOG = core.get_logger('siblings')


@attrs.frozen
class Identity:
    """Who this VM is."""

    name: str
    """Name, unique among the live VMs of the deployment."""
    data_centre: str
    """Its data centre."""


class Presence:
    """Keeps this VM's own entry newer than anything said about the VM.

    Args:
        identity: Who this VM is.
        gossip: Carries the entry.
        clock: Times the renewals.
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
        self._conflicts = 0
        self._own_stamp = 0
        self._refresh_at = 0.0
        gossip.subscribe(_entries.EntryKind.VM, self._note)

    @property
    def superseded(self) -> bool:
        """Whether a later process with this VM's name is alive."""
        return self._superseded

    def start(self, address: str) -> None:
        """Tell siblings where they reach this VM."""
        self._address = address
        self._publish()

    def stop(self) -> None:
        """Tell siblings that this VM accepts no new work."""
        self._stopping = True
        self._publish()

    def refresh(self) -> None:
        """Renew the entry when it is time or when it has been replaced."""
        own = self._read_own()
        due = self._clock.now() >= self._refresh_at
        if own is None or due or not self._is_mine(own):
            self._publish()

    def _read_own(self) -> _entries.GossipEntry | None:
        name = self._identity.name
        key = _entries.EntryKey(_entries.EntryKind.VM, name, name)
        return self._gossip.store.find(key)

    def _is_mine(self, entry: _entries.GossipEntry) -> bool:
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
        expires_at = now + LIFETIME_SECONDS
        self._refresh_at = now + REFRESH_SECONDS
        kind = _entries.EntryKind.VM
        self._gossip.publish(kind, name, value, expires_at)
        self._own_stamp = self._gossip.last_stamp

    def _note(self, entry: _entries.GossipEntry) -> None:
        if entry.subject != self._identity.name or not self._address:
            return
        match entry.value:
            case _entries.VMValue(state=_entries.VMState.UNREACHABLE):
                if entry.value.observed >= self._own_stamp:
                    self._gossip.raise_above(entry.value.observed)
                    self._publish()
            case _entries.VMValue(started_at=started_at):
                if not self._is_mine(entry):
                    self._contest(entry.value.address, started_at)
            case _:
                pass

    def _contest(self, address: str, started_at: float) -> None:
        """Answer an entry that another process made under this name."""
        if started_at > self._started_at:
            self._conflicts += 1
        if self._conflicts >= CONFLICTS_TO_YIELD:
            self._superseded = True
            _LOG.error(
                'a later process at %s uses the name %s; this one yields',
                address,
                self._identity.name,
            )
            return
        self._publish()
