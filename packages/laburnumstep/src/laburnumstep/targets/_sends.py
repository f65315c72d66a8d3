"""A VM's own sends, and what they say beyond a lagging report."""

from __future__ import annotations

import attrs


@attrs.define(eq=False)
class Send:
    """One generation that this VM has sent to a target."""

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
    begun_at: float
    """When it was sent, in epoch seconds."""
    max_tokens: int | None = None
    """Upper bound of the answer, in tokens, if known."""
    suspect: bool = False
    """Whether it has crashed a target before."""
    hinted_tokens: float | None = None
    """Length of the answer that the caller expects, in tokens, if any."""
    tokens: int = 0
    """Tokens received so far."""
    ended_at: float | None = None
    """When it ended, in epoch seconds."""
    forecast: float = 0.0
    """Expected length of the whole answer at a quantile, in tokens."""
    forecast_until: float = -1.0
    """Tokens from which on the forecast is made anew."""
    quantile: float = -1.0
    """Quantile of the forecast."""

    @property
    def kv_tokens(self) -> int:
        """Memory that it holds on the engine, in tokens."""
        return self.prompt_tokens + self.tokens

    def estimate_kv_at(self, moment: float, now: float) -> float:
        """Return the memory that it held at an earlier moment, in tokens.

        Tokens are assumed to have arrived at a steady rate.
        """
        if moment <= self.begun_at:
            return 0.0
        end = self.ended_at if self.ended_at is not None else now
        if moment >= end:
            return 0.0 if self.ended_at is not None else float(self.kv_tokens)
        share = (moment - self.begun_at) / (end - self.begun_at)
        return self.prompt_tokens + self.tokens * share
