"""Measurement at the caller."""

from __future__ import annotations

import math
import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep_standins.bench import workload

FIRST_TOKEN_SECONDS = 0.94
"""A longer wait for the first token of a shown stream is a stall."""
BETWEEN_TOKENS_SECONDS = 0.069
"""A longer wait between tokens of a shown stream is a stall."""


@attrs.define(eq=False)
class Record:
    """What the caller of one request saw; times are monotonic seconds."""

    request: workload.Request
    """The request."""
    asked_at: float
    """When the caller first asked."""
    last_at: float | None = None
    """When the last token arrived."""
    first_wait: float | None = None
    """Wait for the first token, in seconds."""
    gaps: list[float] = attrs.field(factory=list)
    """Waits between the later tokens of a chunk and the one before."""
    first_stall: float = 0.0
    """Wait for the first token beyond its bound, in seconds."""
    gap_stall: float = 0.0
    """Sum of the waits between tokens beyond their bound, in seconds."""
    tokens: int = 0
    """Tokens of the present attempt."""
    attempts: int = 0
    """Generations that were sent."""
    lost: int = 0
    """Attempts that broke after tokens were shown."""
    refusals: int = 0
    """Times that the caller was told to come again later."""
    ended_at: float | None = None
    """When the answer was complete."""

    def begin_attempt(self) -> None:
        """Count a generation whose tokens start again at position 0."""
        self.attempts += 1
        self.tokens = 0

    def add_tokens(self, count: int, now: float) -> None:
        """Count tokens that arrived together."""
        if self.first_wait is None:
            self.first_wait = now - self.asked_at
            self._add_first_stall(self.first_wait)
        elif self.last_at is not None:
            gap = now - self.last_at
            self.gaps.append(gap)
            self._add_gap_stall(gap)
        self.last_at = now
        self.tokens += count

    def complete(self, now: float) -> None:
        """Record the end of the answer."""
        self.ended_at = now

    def close(self, now: float) -> None:
        """Count a wait that still goes on at the end of the run."""
        if self.ended_at is not None:
            return
        if self.first_wait is None:
            self._add_first_stall(now - self.asked_at)
        elif self.last_at is not None:
            self._add_gap_stall(now - self.last_at)

    @property
    def stall_seconds(self) -> float:
        """Sum of waits beyond the bounds, in seconds."""
        return self.first_stall + self.gap_stall

    @property
    def in_time(self) -> bool:
        """Whether the answer was complete before its deadline."""
        if self.ended_at is None:
            return False
        seconds = self.request.kind.deadline_seconds
        return self.ended_at - self.asked_at <= seconds

    def _add_first_stall(self, wait: float) -> None:
        if self.request.kind.shown:
            self.first_stall += max(0.0, wait - FIRST_TOKEN_SECONDS)

    def _add_gap_stall(self, wait: float) -> None:
        if self.request.kind.shown:
            self.gap_stall += max(0.0, wait - BETWEEN_TOKENS_SECONDS)


@attrs.frozen
class Summary:
    """Figures of one policy in one run."""

    policy: str
    """Name of the policy."""
    load: int
    """Request rate, in percent of the capacity."""
    requests: int
    """Requests that were made."""
    complete: int
    """Complete answers."""
    refusals: int
    """Times that a caller was told to come again later."""
    lost: int
    """Streams that broke after tokens were shown."""
    stall_seconds: float
    """Sum of the stall time of shown streams."""
    first_stall: float
    """The part of it before first tokens, in seconds."""
    preemptions: int
    """Preemptions that the engines counted."""
    first_token_p50: float
    """In seconds, shown streams."""
    first_token_p95: float
    """In seconds, shown streams."""
    inter_token_p95: float
    """In milliseconds, shown streams."""
    inter_token_p99: float
    """In milliseconds, shown streams."""
    goodput: float
    """Tokens a second of answers that were complete in time."""
    late: float
    """Lateness of the load generator, 95th percentile, in milliseconds."""


def find_percentile(values: list[float], percent: float) -> float:
    """Return a percentile by the nearest rank; NaN without values."""
    if not values:
        return math.nan
    ranked = sorted(values)
    rank = math.ceil(percent / 100 * len(ranked))
    return ranked[max(0, rank - 1)]


def summarize(
    policy: str,
    load: int,
    records: list[Record],
    preemptions: int,
    seconds: float,
    late: float,
) -> Summary:
    """Return the figures of one policy in one run.

    A stream that has shown no token by the end of the run counts with the
    wait so far, so that a policy does not gain by never answering.
    """
    shown = [record for record in records if record.request.kind.shown]
    firsts = [
        math.inf if record.first_wait is None else record.first_wait
        for record in shown
    ]
    gaps = [gap for record in shown for gap in record.gaps]
    good = sum(record.tokens for record in records if record.in_time)
    return Summary(
        policy=policy,
        load=load,
        requests=len(records),
        complete=sum(1 for r in records if r.ended_at is not None),
        refusals=sum(record.refusals for record in records),
        lost=sum(record.lost for record in records),
        stall_seconds=sum(record.stall_seconds for record in records),
        first_stall=sum(record.first_stall for record in records),
        preemptions=preemptions,
        first_token_p50=find_percentile(firsts, 50),
        first_token_p95=find_percentile(firsts, 95),
        inter_token_p95=find_percentile(gaps, 95) * 1000,
        inter_token_p99=find_percentile(gaps, 99) * 1000,
        goodput=good / seconds,
        late=late * 1000,
    )
