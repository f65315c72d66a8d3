"""Reports of this VM that a sibling does not answer."""

from __future__ import annotations

import typing

from laburnumstep.siblings import _entries

if typing.TYPE_CHECKING:
    from laburnumstep import core
    from laburnumstep.siblings import _gossip

REPORT_SECONDS = 30.0
"""Time to expiry of a report, renewed at half of it while the sibling does
not answer."""


class ReachabilityReports:
    """Makes and withdraws reports.

    Args:
        name: Name of this VM.
        gossip: Carries the reports.
        clock: Times their expiry.
    """

    def __init__(
        self, name: str, gossip: _gossip.Gossip, clock: core.Clock
    ) -> None:
        self._name = name
        self._gossip = gossip
        self._clock = clock

    def report(self, name: str) -> None:
        """Tell all VMs that a sibling does not answer its heartbeats."""
        own = self._find(name, name)
        if own is None:
            return
        held = self._find(name, self._name)
        if held is not None and isinstance(held.value, _entries.VMValue):
            left = held.expires_at - self._clock.now()
            stands = held.value.observed >= own.stamp
            if stands and left > REPORT_SECONDS / 2:
                return
        self._publish(name, own.stamp)

    def withdraw(self, name: str) -> None:
        """End this VM's report: the new one refers to no entry."""
        if name == self._name:
            return
        held = self._find(name, self._name)
        if held is None or not isinstance(held.value, _entries.VMValue):
            return
        if held.value.observed:
            self._publish(name, 0)

    def _publish(self, name: str, observed: int) -> None:
        state = _entries.VMState.UNREACHABLE
        value = _entries.VMValue(state, observed=observed)
        expires_at = self._clock.now() + REPORT_SECONDS
        self._gossip.publish(_entries.EntryKind.VM, name, value, expires_at)

    def _find(self, name: str, origin: str) -> _entries.GossipEntry | None:
        key = _entries.EntryKey(_entries.EntryKind.VM, name, origin)
        return self._gossip.store.find(key)
