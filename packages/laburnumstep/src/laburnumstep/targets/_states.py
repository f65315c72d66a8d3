"""What a VM knows of one target."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _reports
    from laburnumstep.targets import _sends

REPORT_LAG_SECONDS = 30.0
"""Longest lag of a report that is corrected by ended sends, in seconds."""


@attrs.frozen
class TargetLoad:
    """Requests and memory of a target, own ones apart from others'."""

    own: int
    """Own sends in progress."""
    own_kv: float
    """Memory of own sends, in tokens."""
    others: int
    """Requests of other VMs."""
    others_kv: float
    """Memory of other VMs' requests, in tokens."""
    taken: int
    """Own sends begun less those ended since the last report."""

    @property
    def requests(self) -> int:
        """Requests on the target."""
        return self.own + self.others

    @property
    def kv_used(self) -> float:
        """Memory in use, in tokens."""
        return self.own_kv + self.others_kv


@attrs.define(eq=False)
class TargetState:
    """A target with its last report and this VM's sends to it."""

    declared: core.Target
    """The target as the configuration declares it."""
    region: str | None
    """Region in which it stands."""
    near: bool
    """Whether it stands in the VM's region."""
    observed_leaving: bool = False
    """Whether the VM list, a sibling or an operator says it leaves."""
    failed_until: float = 0.0
    """Until when it gets no work after a failure, in epoch seconds."""
    report: _reports.LoadReport | None = None
    """Last report, if any."""
    sends: dict[str, _sends.Send] = attrs.field(factory=dict)
    """This VM's sends in progress, by generation."""
    ended: list[_sends.Send] = attrs.field(factory=list)
    """Sends that a report may still count, though they ended."""
    draw: float = 0.0
    """Random number that holds until the next report, from 0 to 1."""
    drawn_for: float = -1.0
    """Measuring time of the report for which the number was drawn."""

    @property
    def leaving(self) -> bool:
        """Whether any source says that the target is leaving."""
        reclaimed = (
            self.report is not None and self.report.reclaim_at is not None
        )
        return self.declared.leaving or self.observed_leaving or reclaimed

    @property
    def measured_at(self) -> float:
        """When the last report was measured, in epoch seconds."""
        return self.report.measured_at if self.report is not None else 0.0

    @property
    def memory(self) -> int:
        """Memory for running generations, in tokens."""
        if self.report is not None and self.report.kv_total > 0:
            return self.report.kv_total
        match self.declared:
            case core.EngineTarget(kv_tokens=kv_tokens):
                return kv_tokens
            case core.ServiceTarget():
                return 0
            case _ as other:
                typing.assert_never(other)

    def is_usable(self, now: float) -> bool:
        """Tell whether the target may get new work."""
        return not self.leaving and self.failed_until <= now

    def runs_suspect(self) -> bool:
        """Tell whether a request that crashed a target runs here."""
        return any(send.suspect for send in self.sends.values())

    def accept_report(self, report: _reports.LoadReport) -> bool:
        """Keep a report unless it is older than the last one."""
        if report.measured_at < self.measured_at:
            return False
        self.report = report
        # The engine has seen these ends; counting them again would show
        # room that is not there.
        self.ended = [
            send
            for send in self.ended
            if send.ended_at is not None and send.ended_at > report.measured_at
        ]
        return True

    def add_ended(self, send: _sends.Send, now: float) -> None:
        """Remember an end until a report has seen it.

        A send that began after the last report is kept as well: the next
        report may have been measured between its begin and its end.
        """
        self.ended.append(send)
        oldest = now - REPORT_LAG_SECONDS
        first = self.ended[0].ended_at
        if first is not None and first < oldest:
            self.ended = [
                item
                for item in self.ended
                if item.ended_at is not None and item.ended_at >= oldest
            ]

    def estimate_load(self, now: float) -> TargetLoad:
        """Return the load now: the last report, corrected by own sends.

        The report's own sends are replaced by what is known of them now;
        those that began since are added, and those that ended are left
        out. A send that began as the report was measured had not reached
        the engine yet.
        """
        moment = self.measured_at
        own_kv = counted = 0.0
        begun = 0
        for send in self.sends.values():
            held = send.prompt_tokens + send.tokens
            own_kv += held
            if send.begun_at >= moment:
                begun += 1
            else:
                counted += send.estimate_kv_at(moment, now)
        ended = 0
        for send in self.ended:
            if send.begun_at < moment:
                ended += 1
                counted += send.estimate_kv_at(moment, now)
        if self.report is None:
            return TargetLoad(len(self.sends), own_kv, 0, 0.0, begun)
        reported = self.report.running + self.report.waiting
        others = max(0, reported - (len(self.sends) - begun) - ended)
        others_kv = max(0.0, self.report.kv_used - counted)
        return TargetLoad(
            len(self.sends), own_kv, others, others_kv, begun - ended
        )
