"""Configuration and faults of an engine."""

from __future__ import annotations

import attrs


@attrs.frozen
class LengthProfile:
    """Distribution of output lengths for prompts with a marker.

    Lengths are log-normal: a few are much longer than the median.
    """

    marker: str
    """Text in the prompts of the profile; empty to match every prompt."""
    median_tokens: float
    """Median of the lengths, in tokens."""
    sigma: float
    """Standard deviation of the logarithm of the length."""


@attrs.frozen
class EngineConfig:
    """Properties of an engine; durations are in seconds."""

    model: str = 'model'
    """Name of the model that is loaded when the engine starts."""
    version: str = '1'
    """Version of that model."""
    kv_tokens: int = 100_000
    """KV memory for generations, in tokens."""
    cache_tokens: int = 50_000
    """Memory of the prefix cache, in tokens."""
    max_running: int = 256
    """Limit of running generations."""
    max_waiting: int = 1000
    """Limit of waiting generations; more are refused as `not_started`."""
    step_seconds: float = 0.01
    """Duration of a decode step with an empty batch."""
    step_seconds_per_running: float = 0.0001
    """Additional duration of a step for each generation that it decodes."""
    prefill_seconds_per_token: float = 0.00002
    """Additional duration of a step for each token that it prefills."""
    prefill_chunk_tokens: int = 2048
    """Limit of tokens that one step prefills."""
    tokens_per_step: int = 1
    """Tokens that a step produces for each generation that it decodes."""
    out_of_memory_fails: bool = False
    """Whether a generation that lacks memory fails; else it is preempted."""
    checks_fence: bool = True
    """Whether orders with an old fencing token are refused."""
    order_seconds: float = 0.0
    """Time from an order until load reports show its effect."""
    keep_seconds: float = 120.0
    """Time for which an ended generation can be resumed."""
    load_interval_seconds: float = 0.25
    """Interval of load measurements."""
    load_lag_seconds: float = 0.5
    """Time from a load measurement until it is reported."""
    cache_lag_seconds: float = 1.0
    """Time from a cache event until it is published."""
    cache_event_loss: float = 0.05
    """Fraction of cache events that are lost."""
    max_length: int = 40_000
    """Longest output, in tokens."""
    length_profiles: tuple[LengthProfile, ...] = (
        LengthProfile('Answer yes or no.', 6.0, 0.6),
        LengthProfile('', 150.0, 1.5),
    )
    """Length profiles; the first whose marker is in the prompt applies."""
    seed: int = 0
    """Seed of the random losses of cache events."""


@attrs.define
class EngineFaults:
    """Faults that `POST /control` sets."""

    crash_prompt: str | None = None
    """Text of prompts that crash the engine at their first token."""
    crash: bool = False
    """Crashes the engine at once."""
    stall: bool = False
    """Writes nothing to any stream while the generations continue."""
    repeat_events: int = 0
    """Number of next writes of tokens that are repeated."""
    delay_seconds: float = 0.0
    """Delay before each write to a stream, in seconds."""
    tokens_after_cancel: int = 0
    """Tokens that a generation produces after its cancellation."""
    lose_cache_events: bool = False
    """Loses all cache events, which leave gaps in the sequence numbers."""
    freeze_load: bool = False
    """Repeats the load report from the time when this was set."""
    out_of_memory_at: int | None = None
    """Position at which each generation fails for lack of memory."""
    duplicate_last_token: bool = False
    """Writes the last token of each generation twice."""
    request_limit: float | None = None
    """Requests a second that the engine names as its limit in each answer."""
    reclaim_at: float | None = None
    """Time of the reclaim, in epoch seconds, which ends the engine.

    Load reports announce it.
    """
