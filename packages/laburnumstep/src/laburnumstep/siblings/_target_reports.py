"""Reports about targets that are leaving or have failed."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep.siblings import _entries
from laburnumstep.siblings import _targets
from laburnumstep import vmlist

if typing.TYPE_CHECKING:
    from laburnumstep.siblings import _gossip
    from laburnumstep.siblings import _presence
    from laburnumstep.siblings import _roster

FAILED_REPORT_SECONDS = 10.0
"""Lifetime of the report that a target has failed, in seconds."""
LISTED_REPORT_SECONDS = 600.0
"""Lifetime of a leaving report after the last VM list that shows the target as
leaving, in seconds; longer than the list may lag."""
_LOG = core.get_logger('siblings')


class TargetReports:
    """Publishes reports about targets and combines those of all VMs.

    Args:
        identity: Identity of this VM.
        gossip: Publishes and stores the reports.
        roster: Provides the data centres of the reporting VMs.
        clock: Clock of the expiry times.
    """

    def __init__(
        self,
        identity: _presence.Identity,
        gossip: _gossip.Gossip,
        roster: _roster.Roster,
        clock: core.Clock,
    ) -> None:
        self._identity = identity
        self._gossip = gossip
        self._roster = roster
        self._clock = clock

    def get_status(self, name: str) -> _targets.TargetStatus:
        """Return the status of a target and the reports about it."""
        reports = _targets.list_reports(self._gossip.store, name)
        if not reports:
            available = _targets.Availability.AVAILABLE
            return _targets.TargetStatus(name, available, [])
        data_centres = self._roster.get_data_centres()
        own = self._identity.data_centre
        return _targets.derive_status(name, reports, own, data_centres)

    def list_statuses(self) -> dict[str, _targets.TargetStatus]:
        """Return the status of every reported target, by name."""
        names = self._gossip.store.list_subjects(_entries.EntryKind.TARGET)
        return {name: self.get_status(name) for name in sorted(names)}

    def announce_leaving(self, name: str, source: str, until: float) -> None:
        """Announce to all VMs that a target is leaving.

        Nothing is published if a report of any VM expires no earlier.
        Otherwise a target that every VM sees leaving would cost one entry
        for each VM.

        Args:
            name: Name of the target.
            source: Where the information comes from, such as `operator` or
                `vmlist`.
            until: When the report expires, in epoch seconds.
        """
        store = self._gossip.store
        until = min(until, self._clock.now() + _targets.MAX_LEAVING_SECONDS)
        leaving = _entries.TargetState.LEAVING
        if any(
            report.state is leaving and report.until >= until
            for report in _targets.list_reports(store, name)
        ):
            return
        _LOG.info('target=%s leaving source=%s', name, source)
        value = _entries.TargetValue(leaving, source)
        self._gossip.publish(_entries.EntryKind.TARGET, name, value, until)

    def announce_failed(self, name: str) -> None:
        """Report to all VMs that a target does not answer.

        One report for each data centre suffices. A leaving report of this VM
        takes precedence: a failure report would replace it, as both have the
        same key.

        Args:
            name: Name of the target.
        """
        store = self._gossip.store
        reports = _targets.list_reports(store, name)
        data_centres = self._roster.get_data_centres()
        now = self._clock.now()
        for report in reports:
            leaving = report.state is _entries.TargetState.LEAVING
            if leaving and report.vm == self._identity.name:
                return
            same_data_centre = (
                data_centres.get(report.vm) == self._identity.data_centre
            )
            if (
                same_data_centre
                and report.until - now > FAILED_REPORT_SECONDS / 2
            ):
                return
        _LOG.info('target=%s failed', name)
        failed = _entries.TargetState.FAILED
        value = _entries.TargetValue(failed, 'observed')
        until = now + FAILED_REPORT_SECONDS
        self._gossip.publish(_entries.EntryKind.TARGET, name, value, until)

    def apply_vm_list(self, listed: vmlist.VMList) -> None:
        """Announce the targets that the VM list shows as leaving.

        A target that the list shows as live ends no leaving report: the list
        lags, and a report stays valid until it expires.

        Args:
            listed: The newer VM list.
        """
        now = self._clock.now()
        for vm in listed.vms:
            if vm.kind is not vmlist.VMKind.TARGET:
                continue
            if vm.state is not vmlist.ListedState.LEAVING:
                continue
            status = self.get_status(vm.name)
            ends = [
                report.until
                for report in status.reports
                if report.state is _entries.TargetState.LEAVING
            ]
            if max(ends, default=0.0) - now < LISTED_REPORT_SECONDS / 2:
                until = now + LISTED_REPORT_SECONDS
                self.announce_leaving(vm.name, 'vmlist', until)
