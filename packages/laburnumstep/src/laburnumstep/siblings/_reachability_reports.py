"""Reports of this VM that a sibling is unreachable."""

from __future__ import annotations

import typing

from laburnumstep.siblings import _entries

if typing.TYPE_CHECKING:
    from laburnumstep import core
    from laburnumstep.siblings import _gossip

REPORT_LIFETIME_SECONDS = 30.0
"""Lifetime of a report, in seconds; it is renewed at half of it while the
sibling does not answer."""


class ReachabilityReports:
    """Publishes and withdraws the reports.

    Args:
        name: Name of this VM.
        gossip: Publishes the reports.
        clock: Clock of their expiry times.
    """

    def __init__(
        self, name: str, gossip: _gossip.Gossip, clock: core.Clock
    ) -> None:
        self._name = name
        self._gossip = gossip
        self._clock = clock

    def announce_unreachable(self, name: str) -> None:
        """Report to all VMs that a sibling does not answer heartbeats.

        The report refers to the newest entry of the sibling, so that a newer
        one invalidates it.

        Args:
            name: Name of the sibling.
        """
        own = self._find_entry(name, name)
        if own is None:
            return
        existing = self._find_entry(name, self._name)
        if existing is not None and isinstance(
            existing.value, _entries.VMValue
        ):
            remaining = existing.expires_at - self._clock.now()
            is_current = existing.value.observed >= own.stamp
            if is_current and remaining > REPORT_LIFETIME_SECONDS / 2:
                return
        self._publish(name, own.stamp)

    def withdraw(self, name: str) -> None:
        """Withdraw this VM's report about a sibling.

        It is replaced by a report that refers to no entry of the sibling.

        Args:
            name: Name of the sibling.
        """
        if name == self._name:
            return
        existing = self._find_entry(name, self._name)
        if existing is None or not isinstance(
            existing.value, _entries.VMValue
        ):
            return
        if existing.value.observed:
            self._publish(name, 0)

    def _publish(self, name: str, observed: int) -> None:
        state = _entries.VMState.UNREACHABLE
        value = _entries.VMValue(state, observed=observed)
        expires_at = self._clock.now() + REPORT_LIFETIME_SECONDS
        self._gossip.publish(_entries.EntryKind.VM, name, value, expires_at)

    def _find_entry(
        self, name: str, origin: str
    ) -> _entries.GossipEntry | None:
        key = _entries.EntryKey(_entries.EntryKind.VM, name, origin)
        return self._gossip.store.find(key)
