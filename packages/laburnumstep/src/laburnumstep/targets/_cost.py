"""Expected cost of sending a request to an engine, in seconds."""

from __future__ import annotations

import math
import typing

import attrs

PREFILL_TOKENS_PER_SECOND = 14_000.0
"""Prompt tokens that an engine of relative speed 1 computes in a second."""
LINK_SECONDS = 0.012
"""Latency of a link between regions in each direction, in seconds."""
LINK_QUEUE_FACTOR = 10.0
"""Growth of the latency of a link with the used part of its budget. A full
link delays every stream that runs over it, not only the new one."""
DEFAULT_OBJECTIVE_SECONDS = 1.5
"""Cost of a missed objective if the request has none for its first token, in
seconds."""
PREEMPTED_SECONDS = 2.0
"""How long a preempted run waits before it continues, in seconds."""
PREEMPTION_FREE = 0.7
"""Forecast use of the memory up to which no preemption is expected."""
PREEMPTION_CERTAIN = 1.1
"""Forecast use of the memory from which a preemption is certain. The forecast
is made with median lengths."""
LOST_RUN_SECONDS = 0.6
"""Expected cost of a run that cannot be moved if its engine leaves, in
seconds."""
FIRST_TOKEN_MARGIN = 0.3
"""Uncertainty of the time to the first token, as a fraction of its objective.
Reports are half a second old or older."""
PAUSE_BEFORE = 0.06
"""Fraction below its objective from which a pause may miss it. The measured
pause is the second longest one of a stream."""
PAUSE_AFTER = 0.04
"""Fraction above its objective from which a pause certainly misses it."""


@attrs.frozen
class Objectives:
    """Objectives of one stream; None if it has none."""

    first_answer_seconds: float | None = None
    """Longest time to the first token, in seconds."""
    gap_seconds: float | None = None
    """Longest time between two events, in seconds."""

    @property
    def miss_seconds(self) -> float:
        """Cost of a missed objective, in seconds."""
        return self.first_answer_seconds or DEFAULT_OBJECTIVE_SECONDS


@attrs.frozen
class EngineOutlook:
    """What is expected of an engine and of a request that it would run."""

    prefill_rate: float
    """Prompt tokens that the engine computes in a second."""
    backlog_tokens: float
    """Prompt tokens that it computes before those of the request."""
    slot_seconds: float
    """Wait for memory that a running request frees, in seconds."""
    new_tokens: float
    """Prompt tokens of the request that it has not cached."""
    run_tokens: float
    """Memory of the request at its end, in tokens."""
    runs: int
    """Number of requests on it. Those that wait are counted as well: without
    them, queues in bursts were 7% longer in trials."""
    memory_use: float
    """Forecast peak of its memory use, as a fraction of the memory."""
    link_seconds: float
    """Latency of the link to it and back, in seconds."""
    pause_seconds: float | None
    """Longest time between events beside a prefill, in seconds, if known."""
    run_seconds: float
    """Expected time for which the request produces tokens, in seconds."""
    prompts_per_second: float
    """Prompts that the engine receives in a second."""
    streams: typing.Sequence[tuple[float, float]] = ()
    """Objective of the time between events and expected duration of each
    stream with such an objective that runs on it, in seconds."""
    exposed: bool = False
    """Whether the run would be lost if the engine left."""


@attrs.frozen
class PlacementCost:
    """Cost of an engine for a request, in seconds by cause."""

    wait: float
    """Wait for the prompts and requests before it."""
    prefill: float
    """Prefill of what is not cached."""
    link: float
    """Latency of the link."""
    late: float
    """Expected loss by a late first token."""
    pause: float
    """Expected loss by a pause between events that is too long."""
    harm: float
    """Delay of the requests that run there, and pauses that they get."""
    preemption: float
    """Expected delay by preemptions."""
    exposure: float
    """Expected loss if the engine leaves."""
    total: float = attrs.field(init=False)
    """Sum of all terms."""

    def __attrs_post_init__(self) -> None:
        total = self.wait + self.prefill + self.link + self.late + self.pause
        total += self.harm + self.preemption + self.exposure
        object.__setattr__(self, 'total', total)

    def explain(self) -> str:
        """Return the terms in milliseconds, for the log line."""
        return (
            f'cost {self.total * 1000:.0f} ms:'
            f' wait {self.wait * 1000:.0f},'
            f' prefill {self.prefill * 1000:.0f},'
            f' link {self.link * 1000:.0f},'
            f' late {self.late * 1000:.0f},'
            f' pause {self.pause * 1000:.0f},'
            f' harm {self.harm * 1000:.0f},'
            f' preemption {self.preemption * 1000:.0f},'
            f' exposure {self.exposure * 1000:.0f}'
        )


def estimate_cost(
    outlook: EngineOutlook, objectives: Objectives
) -> PlacementCost:
    """Return the cost of sending a request to an engine.

    Args:
        outlook: What is expected of the engine and the request.
        objectives: Objectives of the request.
    """
    rate = outlook.prefill_rate
    wait = outlook.backlog_tokens / rate + outlook.slot_seconds
    prefill = outlook.new_tokens / rate
    first = wait + prefill + outlook.link_seconds
    late = _grade_first(first, objectives.first_answer_seconds)
    paused = grade_pause(
        outlook.pause_seconds, objectives.gap_seconds
    ) * estimate_prompt_chance(outlook.prompts_per_second, outlook.run_seconds)
    miss = objectives.miss_seconds
    return PlacementCost(
        wait=wait,
        prefill=prefill,
        link=outlook.link_seconds,
        late=late * miss,
        # A request that is late already cannot miss a second time.
        pause=(1.0 - late) * paused * miss,
        harm=_estimate_harm(outlook, prefill, miss),
        preemption=_estimate_preemption(outlook),
        exposure=LOST_RUN_SECONDS if outlook.exposed else 0.0,
    )


def grade_pause(pause: float | None, objective: float | None) -> float:
    """Return how likely a pause misses its objective, from 0 to 1.

    It grows gradually around the objective, because half of the pauses that
    missed it were within 3% of it and measurements vary as much.

    Args:
        pause: Expected longest pause, in seconds, if known.
        objective: Longest pause allowed, in seconds, if any.
    """
    if pause is None or objective is None:
        return 0.0
    low = objective * (1.0 - PAUSE_BEFORE)
    high = objective * (1.0 + PAUSE_AFTER)
    return _ramp(pause, low, high)


def estimate_link_seconds(utilization: float) -> float:
    """Return the latency of a link and back, in seconds.

    Args:
        utilization: Used fraction of its budget, below 1.
    """
    free = max(0.02, 1.0 - utilization)
    queue = LINK_QUEUE_FACTOR * utilization / free
    return 2.0 * LINK_SECONDS * (1.0 + queue)


def estimate_prompt_chance(prompts_per_second: float, seconds: float) -> float:
    """Return the chance that a prompt arrives within some seconds.

    Args:
        prompts_per_second: Prompts that an engine receives in a second.
        seconds: The time, in seconds.
    """
    return 1.0 - math.exp(-prompts_per_second * seconds)


def _grade_first(seconds: float, objective: float | None) -> float:
    if objective is None:
        return 0.0
    margin = FIRST_TOKEN_MARGIN * objective
    return _ramp(seconds, objective - margin, objective + margin)


def _estimate_harm(
    outlook: EngineOutlook, prefill: float, miss: float
) -> float:
    """Return the cost to the requests that run on the engine.

    A stream counts as newly late only as far as no other prompt would have
    made it late anyway.
    """
    harm = prefill * outlook.runs
    for gap_seconds, run_seconds in outlook.streams:
        paused = grade_pause(outlook.pause_seconds, gap_seconds)
        if paused > 0.0:
            other = estimate_prompt_chance(
                outlook.prompts_per_second, run_seconds
            )
            harm += paused * (1.0 - other) * miss
    return harm


def _estimate_preemption(outlook: EngineOutlook) -> float:
    chance = _ramp(outlook.memory_use, PREEMPTION_FREE, PREEMPTION_CERTAIN)
    # The preempted run is read again, its prompt and its answer so far.
    read_seconds = outlook.run_tokens / outlook.prefill_rate
    return chance * (PREEMPTED_SECONDS + read_seconds)


def _ramp(value: float, low: float, high: float) -> float:
    if high <= low:
        return 1.0 if value > low else 0.0
    return min(1.0, max(0.0, (value - low) / (high - low)))
