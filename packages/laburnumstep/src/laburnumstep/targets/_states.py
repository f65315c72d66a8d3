"""What a VM knows of one target."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep import core
    from laburnumstep.targets import _reports
    from laburnumstep.targets import _sends


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
    """Sends that the last report may still count, though they ended."""

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

    def is_usable(self, now: float) -> bool:
        """Tell whether the target may get new work."""
        return not self.leaving and self.failed_until <= now

    def accept_report(self, report: _reports.LoadReport) -> bool:
        """Keep a report unless it is older than the last one."""
        if report.measured_at < self.measured_at:
            return False
        self.report = report
        # The engine has counted these ends; counting them again would
        # show room that is not there.
        self.ended = [
            send
            for send in self.ended
            if send.ended_at is not None
            and send.ended_at > report.measured_at
            and send.begun_at <= report.measured_at
        ]
        return True

    def estimate_requests(self) -> int:
        """Return the requests on the target, own sends counted at once."""
        if self.report is None:
            return len(self.sends)
        begun = sum(
            1
            for send in self.sends.values()
            if send.begun_at > self.measured_at
        )
        reported = self.report.running + self.report.waiting
        return max(len(self.sends), reported + begun - len(self.ended))

    def estimate_kv(self, now: float) -> float:
        """Return the memory in use, in tokens, corrected by own sends."""
        own = float(sum(send.kv_tokens for send in self.sends.values()))
        if self.report is None:
            return own
        moment = self.measured_at
        counted = sum(
            send.estimate_kv_at(moment, now) for send in self.sends.values()
        )
        counted += sum(send.estimate_kv_at(moment, now) for send in self.ended)
        return own + max(0.0, self.report.kv_used - counted)
