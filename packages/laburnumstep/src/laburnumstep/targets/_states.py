"""State of one target, as one VM knows it."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _reports
    from laburnumstep.targets import _sends

MAX_SIBLING_SEND_SECONDS = 3.0
"""How long another VM's send is counted without a newer report, in seconds."""
MIN_NOTICE_SECONDS = 0.55
"""Shortest time from the measurement of a report to the stated stop of its
engine, in seconds. A report that states no time has 0.5 s, its age."""
MAX_SIBLING_STREAMS = 31
"""Most streams of other VMs that are remembered besides a new one. Engines
run some 8 requests at a time."""
REPORT_LAG_SECONDS = 30.0
"""Longest lag of a report that is corrected for ended sends, in seconds."""


@attrs.frozen
class TargetLoad:
    """Requests and memory of a target, separately for this VM and others."""

    own: int
    """Number of this VM's sends in progress."""
    own_kv: float
    """Memory of this VM's sends, in tokens."""
    others: int
    """Number of requests of other VMs."""
    others_kv: float
    """Memory of other VMs' requests, in tokens."""
    net_sends: int
    """Number of this VM's sends that began since the last report, minus
    those that ended since then."""
    sibling_sends: int = 0
    """Number of other VMs' sends that began since the last report; also
    counted in `others`."""

    @property
    def requests(self) -> int:
        """Number of requests on the target."""
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
    """Region of the target."""
    local: bool
    """Whether the target is in the VM's region."""
    observed_leaving: bool = False
    """Whether the VM list, a sibling or an operator reports it as leaving."""
    evacuated: bool = False
    """Whether its data centre is being evacuated."""
    failed_until: float = 0.0
    """Until when it is ejected after a failure, in epoch seconds."""
    limit_used_until: float = 0.0
    """Until when its limit is used up, in epoch seconds."""
    back_off_until: float = 0.0
    """Until when it has asked for no requests, in epoch seconds."""
    report: _reports.LoadReport | None = None
    """Last report, if any."""
    sends: dict[str, _sends.Send] = attrs.field(factory=dict)
    """This VM's sends in progress, by identifier of the generation."""
    sibling_sends: list[_sends.SiblingSend] = attrs.field(factory=list)
    """Sends of other VMs that the last report does not count."""
    sibling_streams: list[tuple[float, float, float]] = attrs.field(
        factory=list
    )
    """Expected end, objective of the time between events and expected
    duration of the streams of other VMs that have such an objective; the end
    in epoch seconds, the others in seconds."""
    ended: list[_sends.Send] = attrs.field(factory=list)
    """Ended sends that the next report may still count."""
    draw: float = 0.0
    """Random number from 0 to 1 that is drawn once a report."""
    draw_measured_at: float = -1.0
    """Measuring time of the report for which `draw` was drawn, in epoch
    seconds."""

    @property
    def leaving(self) -> bool:
        """Whether the target is leaving, according to any source."""
        reclaimed = (
            self.report is not None and self.report.reclaim_at is not None
        )
        return self.declared.leaving or self.observed_leaving or reclaimed

    @property
    def held_until(self) -> float:
        """Until when it gets no request, in epoch seconds."""
        return max(self.limit_used_until, self.back_off_until)

    @property
    def stops_at(self) -> float | None:
        """When it stops, in epoch seconds, or None if no time is known.

        A report without a time counts as reclaimed when it arrived.
        """
        if self.report is None or self.report.reclaim_at is None:
            return None
        stated = self.report.reclaim_at - self.report.measured_at
        return self.report.reclaim_at if stated > MIN_NOTICE_SECONDS else None

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
        """Return whether the target may receive new work."""
        if self.leaving or self.evacuated:
            return False
        return self.failed_until <= now

    def takes_requests(self, now: float) -> bool:
        """Return whether the target is usable and takes requests now."""
        return self.is_usable(now) and self.held_until <= now

    def has_suspect(self) -> bool:
        """Return whether a crash suspect of this VM runs on the target."""
        return any(send.suspect for send in self.sends.values())

    def apply_report(self, report: _reports.LoadReport) -> bool:
        """Replace the last report unless the new one is older.

        Returns:
            Whether the report was replaced.
        """
        if report.measured_at < self.measured_at:
            return False
        self.report = report
        self.sibling_sends = [
            send
            for send in self.sibling_sends
            if send.sent_at >= report.measured_at
        ]
        # The report already reflects the sends that ended before it was
        # measured. Subtracting them again would show capacity that does not
        # exist.
        self.ended = [
            send
            for send in self.ended
            if send.ended_at is not None and send.ended_at > report.measured_at
        ]
        return True

    def add_ended(self, send: _sends.Send, now: float) -> None:
        """Remember an ended send until a report reflects its end.

        This includes sends that began after the last report, because the
        next report may have been measured between their begin and end.

        Args:
            send: The send that ended.
            now: Current time, in epoch seconds.
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
        """Return the current load: the last report, corrected for sends.

        The memory that the report counts for this VM's sends is replaced by
        their current memory. Sends that began since the report are added,
        and those that ended are subtracted. A send that began at the
        measuring time counts as begun since, because it had not reached the
        engine yet.

        Args:
            now: Current time, in epoch seconds.
        """
        measured_at = self.measured_at
        own_kv = counted = 0.0
        sent = 0
        for send in self.sends.values():
            kv_tokens = send.prompt_tokens + send.tokens
            own_kv += kv_tokens
            if send.sent_at >= measured_at:
                sent += 1
            else:
                counted += send.estimate_kv_at(measured_at, now)
        ended = 0
        for send in self.ended:
            if send.sent_at < measured_at:
                ended += 1
                counted += send.estimate_kv_at(measured_at, now)
        siblings_sent, siblings_kv = self._count_sibling_sends(now)
        if self.report is None:
            return TargetLoad(
                len(self.sends),
                own_kv,
                siblings_sent,
                siblings_kv,
                sent,
                siblings_sent,
            )
        reported = self.report.running + self.report.waiting
        others = max(0, reported - (len(self.sends) - sent) - ended)
        others_kv = max(0.0, self.report.kv_used - counted)
        return TargetLoad(
            len(self.sends),
            own_kv,
            others + siblings_sent,
            others_kv + siblings_kv,
            sent - ended,
            siblings_sent,
        )

    def add_sibling_send(self, send: _sends.SiblingSend) -> None:
        """Count a send of another VM until a report counts it.

        Sends that are too old to count are dropped, so that their number
        stays bounded while no report arrives.

        Args:
            send: The send.
        """
        if send.sent_at < self.measured_at:
            return
        oldest = send.sent_at - MAX_SIBLING_SEND_SECONDS
        self.sibling_sends = [
            item for item in self.sibling_sends if item.sent_at >= oldest
        ]
        self.sibling_sends.append(send)

    def add_sibling_stream(
        self, sent_at: float, gap_seconds: float, seconds: float
    ) -> None:
        """Remember a stream of another VM until its expected end.

        Args:
            sent_at: When it was sent, in epoch seconds.
            gap_seconds: Objective of the time between its events, in seconds.
            seconds: Its expected duration, in seconds.
        """
        self.sibling_streams = [
            item for item in self.sibling_streams if item[0] > sent_at
        ][-MAX_SIBLING_STREAMS:]
        self.sibling_streams.append((sent_at + seconds, gap_seconds, seconds))

    def _count_sibling_sends(self, now: float) -> tuple[int, float]:
        """Return the number of recent sibling sends and their memory."""
        recent = [
            send.prompt_tokens
            for send in self.sibling_sends
            if send.sent_at >= now - MAX_SIBLING_SEND_SECONDS
        ]
        return len(recent), float(sum(recent))
