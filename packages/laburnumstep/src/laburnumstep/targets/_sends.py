"""Sends of this VM, which correct the lagging load reports."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _residency


@attrs.frozen
class SiblingSend:
    """Request that another VM has sent to a target."""

    sent_at: float
    """When it was sent, in epoch seconds."""
    prompt_tokens: int
    """Length of the prompt, in tokens."""
    parts: tuple[_residency.PromptPart, ...] = ()
    """Parts of the prompt that are shared with other requests."""
    gap_seconds: float | None = None
    """Objective of the time between events, in seconds, if any."""
    expected_tokens: float = 0.0
    """Expected length of the answer, in tokens."""
    cached_tokens: int = 0
    """Prompt tokens that the target probably had cached."""

    @property
    def new_tokens(self) -> int:
        """Prompt tokens that the target has to compute."""
        return max(0, self.prompt_tokens - self.cached_tokens)


@attrs.define(eq=False)
class Send:
    """One request that this VM has sent to a target."""

    target: str
    """Name of the target."""
    generation_id: str
    """Identifier of the generation."""
    workspace: str
    """Name of the workspace."""
    model: str
    """Name of the model."""
    prompt_tokens: int
    """Length of the prompt, in tokens."""
    expected_tokens: float
    """Expected length of the whole answer, in tokens."""
    sent_at: float
    """When it was sent, in epoch seconds."""
    max_tokens: int | None = None
    """Upper bound of the answer, in tokens, if known."""
    suspect: bool = False
    """Whether the request has crashed a target before."""
    hinted_tokens: float | None = None
    """Length of the answer that the caller expects, in tokens, if any."""
    parts: tuple[_residency.PromptPart, ...] = ()
    """Parts of the prompt, in order, as far as known."""
    gap_seconds: float | None = None
    """Objective of the time between events, in seconds, if any."""
    cached_tokens: int = 0
    """Prompt tokens that the target probably had cached."""
    tokens: int = 0
    """Number of tokens received so far."""
    ended_at: float | None = None
    """When it ended, in epoch seconds."""
    forecast: float = 0.0
    """Quantile of the length of the whole answer, in tokens."""
    forecast_until: float = -1.0
    """Number of tokens at which the forecast has to be updated."""
    quantile: float = -1.0
    """Quantile for which the forecast was made, from 0 to 1."""

    @property
    def kv_tokens(self) -> int:
        """Memory that it uses on the engine, in tokens."""
        return self.prompt_tokens + self.tokens

    @property
    def new_tokens(self) -> int:
        """Prompt tokens that the target has to compute."""
        return max(0, self.prompt_tokens - self.cached_tokens)

    def estimate_kv_at(self, moment: float, now: float) -> float:
        """Return the memory that it used at an earlier time, in tokens.

        Tokens are assumed to have arrived at a constant rate.

        Args:
            moment: The earlier time, in epoch seconds.
            now: Current time, in epoch seconds.
        """
        if moment <= self.sent_at:
            return 0.0
        end = self.ended_at if self.ended_at is not None else now
        if moment >= end:
            return 0.0 if self.ended_at is not None else float(self.kv_tokens)
        progress = (moment - self.sent_at) / (end - self.sent_at)
        return self.prompt_tokens + self.tokens * progress
