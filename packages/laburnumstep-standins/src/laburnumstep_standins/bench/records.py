"""Measurements of requests at the caller."""

from __future__ import annotations

import math
import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep_standins.bench import workload

FIRST_TOKEN_SECONDS = 0.94
"""Bound of the wait for the first token of a shown stream; the time beyond
it is stall time. A shown stream is one whose caller displays each token."""
BETWEEN_TOKENS_SECONDS = 0.069
"""Bound of the wait between tokens of a shown stream; the time beyond it is
stall time."""


@attrs.define(eq=False)
class Record:
    """Measurements of one request; times are in monotonic seconds."""

    request: workload.Request
    """The measured request."""
    requested_at: float
    """Time at which the caller sent the request first."""
    last_at: float | None = None
    """Time at which the last token arrived; None before the first."""
    first_wait: float | None = None
    """Wait for the first token, in seconds; None before it arrived."""
    gaps: list[float] = attrs.field(factory=list)
    """Waits between consecutive chunks of tokens, in seconds."""
    first_stall: float = 0.0
    """Time by which the wait for the first token exceeded its bound, in
    seconds."""
    gap_stall: float = 0.0
    """Total time by which waits between tokens exceeded their bound, in
    seconds."""
    tokens: int = 0
    """Tokens that arrived in the current attempt."""
    attempts: int = 0
    """Number of attempts, each a generation on a target."""
    lost: int = 0
    """Number of attempts that failed after tokens had arrived."""
    refusals: int = 0
    """Number of times that the caller had to resend the request later."""
    ended_at: float | None = None
    """Time at which the answer was complete; None before that."""

    def begin_attempt(self) -> None:
        """Record an attempt, whose tokens start again at position 0."""
        self.attempts += 1
        self.tokens = 0

    def add_tokens(self, count: int, now: float) -> None:
        """Record tokens that arrived together.

        Args:
            count: Number of tokens.
            now: Time of arrival.
        """
        if self.first_wait is None:
            self.first_wait = now - self.requested_at
            self._add_first_stall(self.first_wait)
        elif self.last_at is not None:
            gap = now - self.last_at
            self.gaps.append(gap)
            self._add_gap_stall(gap)
        self.last_at = now
        self.tokens += count

    def complete(self, now: float) -> None:
        """Record that the answer is complete."""
        self.ended_at = now

    def add_unfinished_wait(self, now: float) -> None:
        """Record the wait of an incomplete answer at the end of the run."""
        if self.ended_at is not None:
            return
        if self.first_wait is None:
            self._add_first_stall(now - self.requested_at)
        elif self.last_at is not None:
            self._add_gap_stall(now - self.last_at)

    @property
    def stall_seconds(self) -> float:
        """Total time by which waits exceeded their bounds, in seconds."""
        return self.first_stall + self.gap_stall

    @property
    def in_time(self) -> bool:
        """Whether the answer was complete before its deadline."""
        if self.ended_at is None:
            return False
        seconds = self.request.kind.deadline_seconds
        return self.ended_at - self.requested_at <= seconds

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
    """Number of requests."""
    complete: int
    """Number of complete answers."""
    refusals: int
    """Number of times that a caller had to resend a request later."""
    lost: int
    """Number of attempts that failed after tokens had arrived."""
    stall_seconds: float
    """Total stall time of shown streams, in seconds."""
    first_stall: float
    """Stall time before first tokens, included in the total, in seconds."""
    preemptions: int
    """Number of preemptions that the engines reported."""
    first_token_p50: float
    """Median wait for the first token of shown streams, in seconds."""
    first_token_p95: float
    """95th percentile of that wait, in seconds."""
    inter_token_p95: float
    """95th percentile of the wait between chunks of shown streams, in
    milliseconds."""
    inter_token_p99: float
    """99th percentile of that wait, in milliseconds."""
    goodput: float
    """Tokens a second of the answers that were complete in time."""
    late: float
    """95th percentile of the delay with which requests were sent after their
    arrival time, in milliseconds."""


def compute_percentile(values: list[float], percent: float) -> float:
    """Return a percentile by the nearest-rank method; NaN without values."""
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

    A stream without a token at the end of the run counts as an infinite wait
    for the first token, so that a policy does not gain by never answering.

    Args:
        policy: Name of the policy.
        load: Request rate, in percent of the capacity.
        records: Measurements of the requests.
        preemptions: Number of preemptions that the engines reported.
        seconds: Duration of the run.
        late: Lateness of the load generator, in seconds.
    """
    shown = [record for record in records if record.request.kind.shown]
    first_waits = [
        math.inf if record.first_wait is None else record.first_wait
        for record in shown
    ]
    gaps = [gap for record in shown for gap in record.gaps]
    tokens_in_time = sum(record.tokens for record in records if record.in_time)
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
        first_token_p50=compute_percentile(first_waits, 50),
        first_token_p95=compute_percentile(first_waits, 95),
        inter_token_p95=compute_percentile(gaps, 95) * 1000,
        inter_token_p99=compute_percentile(gaps, 99) * 1000,
        goodput=tokens_in_time / seconds,
        late=late * 1000,
    )
