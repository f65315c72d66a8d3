"""State of the generations of an engine."""

from __future__ import annotations

import typing

import attrs


@attrs.frozen
class Done:
    """The answer is complete."""

    tokens: int
    """Length of the answer."""
    reason: str
    """`stop`, or `length` when `max_tokens` was reached."""


@attrs.frozen
class Failed:
    """The answer ended early."""

    code: str
    """`out_of_memory` or `cancelled`."""


Ending = typing.Union[Done, Failed]


@attrs.define(eq=False)
class Generation:
    """One generation, from its request until it cannot be resumed."""

    name: str
    """Identifier, chosen by the client."""
    priority: int
    """Priority; higher values start first and are preempted last."""
    order: int
    """Rank among generations of the same priority."""
    seed: int
    """Seed of the tokens."""
    prompt: str
    """Prompt of the generation."""
    prompt_tokens: int
    """Length of the prompt, in tokens."""
    length: int
    """Length of the complete answer, in tokens."""
    limited: bool
    """Whether `max_tokens` truncates the answer."""
    prefixes: list[str]
    """Digests of the prefixes of the prompt, shortest first."""
    produced: int = 0
    """Number of tokens produced so far."""
    to_prefill: int = 0
    """Tokens to prefill before the next token is produced."""
    preemptions: int = 0
    """Number of preemptions of this generation."""
    cancel_at: int | None = None
    """Position at which a cancelled generation ends, or None."""
    readers: int = 0
    """Number of connected streams."""
    ending: Ending | None = None
    """Final event, or None before the end."""
    ended_at: float = 0.0
    """Time of the end, in epoch seconds."""

    @property
    def kv_tokens(self) -> int:
        """KV memory of the generation while it runs, in tokens."""
        return self.prompt_tokens + self.produced
