"""Notices about targets that this VM makes and reads."""

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

FAILED_SECONDS = 10.0
"""How long a target is avoided after a failure was seen, in seconds."""
LISTED_LEAVE_SECONDS = 600.0
"""How long a leave notice of the VM list stands after the last list that
gave it, in seconds; longer than the list may lag."""
_LOG = core.get_logger('siblings')


class TargetNotices:
    """Makes entries about targets and combines those of all VMs.

    Args:
        identity: Who this VM is.
        gossip: Holds and carries the entries.
        roster: Knows the data centres of the reporting VMs.
        clock: Times the notices.
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

    def read_status(self, name: str) -> _targets.TargetStatus:
        """Return the status of a target and who said so."""
        reports = _targets.read_reports(self._gossip.store, name)
        if not reports:
            available = _targets.Availability.AVAILABLE
            return _targets.TargetStatus(name, available, [])
        centres = self._roster.data_centres()
        own = self._identity.data_centre
        return _targets.describe_target(name, reports, own, centres)

    def read_all(self) -> dict[str, _targets.TargetStatus]:
        """Return the status of every target with a report, by name."""
        names = self._gossip.store.subjects(_entries.EntryKind.TARGET)
        return {name: self.read_status(name) for name in sorted(names)}

    def note_leaving(self, name: str, source: str, until: float) -> None:
        """Tell all VMs that a target gets no new work.

        One notice for each target is enough, so that a target which every
        VM sees leaving does not cost an entry of each VM.
        """
        store = self._gossip.store
        until = min(until, self._clock.now() + _targets.MAX_LEAVE_SECONDS)
        leaving = _entries.TargetState.LEAVING
        if any(
            report.state is leaving and report.until >= until
            for report in _targets.read_reports(store, name)
        ):
            return
        _LOG.info('target=%s leaving source=%s', name, source)
        value = _entries.TargetValue(leaving, source)
        self._gossip.publish(_entries.EntryKind.TARGET, name, value, until)

    def note_failed(self, name: str) -> None:
        """Tell all VMs that a target does not answer.

        One report for each data centre is enough. A leave notice of this
        VM says more than a failure and is not replaced by one.
        """
        store = self._gossip.store
        reports = _targets.read_reports(store, name)
        centres = self._roster.data_centres()
        now = self._clock.now()
        for report in reports:
            leaving = report.state is _entries.TargetState.LEAVING
            if leaving and report.vm == self._identity.name:
                return
            near = centres.get(report.vm) == self._identity.data_centre
            if near and report.until - now > FAILED_SECONDS / 2:
                return
        _LOG.info('target=%s failed', name)
        failed = _entries.TargetState.FAILED
        value = _entries.TargetValue(failed, 'observed')
        until = now + FAILED_SECONDS
        self._gossip.publish(_entries.EntryKind.TARGET, name, value, until)

    def note_list(self, listed: vmlist.VMList) -> None:
        """Pass on the leave notices of the VM list.

        A target that the list shows as live tells nothing: the list lags,
        and a notice stands until its own end.
        """
        now = self._clock.now()
        for vm in listed.vms:
            if vm.kind is not vmlist.VMKind.TARGET:
                continue
            if vm.state is not vmlist.ListedState.LEAVING:
                continue
            status = self.read_status(vm.name)
            ends = [
                report.until
                for report in status.reports
                if report.state is _entries.TargetState.LEAVING
            ]
            if max(ends, default=0.0) - now < LISTED_LEAVE_SECONDS / 2:
                until = now + LISTED_LEAVE_SECONDS
                self.note_leaving(vm.name, 'vmlist', until)
