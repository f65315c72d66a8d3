"""Properties of an engine and the faults it provokes."""

from __future__ import annotations

import attrs


@attrs.frozen
class LengthProfile:
    """Distribution of output lengths for prompts with a marker.

    Lengths are log-normal, so a few are far longer than the median.
    """

    marker: str
    """Text that the prompt contains; empty for every prompt."""
    median_tokens: float
    """Median length, in tokens."""
    sigma: float
    """Standard deviation of the logarithm of the length."""


@attrs.frozen
class EngineConfig:
    """Properties of one engine; durations are in seconds."""

    model: str = 'model'
    """Name of the model that is loaded at the start."""
    version: str = '1'
    """Version of that model."""
    kv_tokens: int = 100_000
    """KV memory for generations, in tokens."""
    cache_tokens: int = 50_000
    """Memory for prefixes of ended generations, in tokens."""
    max_running: int = 256
    """Generations that may be decoded at the same time."""
    max_waiting: int = 1000
    """Generations that may wait; more are refused as `not_started`."""
    step_seconds: float = 0.01
    """Duration of a decode step with an empty batch."""
    step_seconds_per_running: float = 0.0001
    """Added to a step for each generation that decodes in it."""
    prefill_seconds_per_token: float = 0.00002
    """Added to a step for each token that is prefilled in it."""
    prefill_chunk_tokens: int = 2048
    """Tokens that one step may prefill."""
    tokens_per_step: int = 1
    """Tokens that a generation gains in a step."""
    out_of_memory_fails: bool = False
    """Fails a generation that lacks memory instead of preempting it."""
    checks_fence: bool = True
    """Whether orders with an old fencing number are refused."""
    order_seconds: float = 0.0
    """Duration of an order before the load report shows its effect."""
    keep_seconds: float = 120.0
    """How long an ended generation can be resumed."""
    load_interval_seconds: float = 0.25
    """Time between two measurements of the load."""
    load_lag_seconds: float = 0.5
    """Age that a measurement has when it is first reported."""
    cache_lag_seconds: float = 1.0
    """Age that a cache event has when it is first published."""
    cache_event_loss: float = 0.05
    """Share of cache events that are never published."""
    max_length: int = 40_000
    """Longest output, in tokens."""
    length_profiles: tuple[LengthProfile, ...] = (
        LengthProfile('Answer yes or no.', 6.0, 0.6),
        LengthProfile('', 150.0, 1.5),
    )
    """Profiles in order; the first whose marker is in the prompt holds."""
    seed: int = 0
    """Seed of the losses of cache events."""


@attrs.define
class EngineFaults:
    """Faults that the control route switches."""

    crash_prompt: str | None = None
    """Crashes when a prompt with this text gets its first token."""
    crash: bool = False
    """Crashes at once."""
    stall: bool = False
    """Writes nothing to any stream; the generations go on."""
    repeat_events: int = 0
    """Writes of tokens to come that are written twice."""
    delay_seconds: float = 0.0
    """Delay of each write to a stream."""
    tokens_after_cancel: int = 0
    """Tokens that a generation still gains after it was cancelled."""
    lose_cache_events: bool = False
    """Publishes no cache events from now on; they leave gaps."""
    freeze_load: bool = False
    """Reports the load as it was when this was switched on."""
    out_of_memory_at: int | None = None
    """Fails each generation that reaches this position."""
    duplicate_last_token: bool = False
    """Writes the last token of each generation twice."""
    reclaim_at: float | None = None
    """When the engine ends, in epoch seconds; the load report says so."""
