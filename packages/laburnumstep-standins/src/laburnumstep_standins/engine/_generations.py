"""Generations of an engine."""

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
    """The answer ends early."""

    code: str
    """`out_of_memory` or `cancelled`."""


Ending = typing.Union[Done, Failed]


@attrs.define(eq=False)
class Generation:
    """One answer, from its request until it can no longer be resumed."""

    name: str
    """Id that the requester gave it."""
    priority: int
    """Higher is started first and preempted last."""
    order: int
    """Place among generations of the same priority."""
    seed: int
    """Number from which the tokens follow."""
    prompt: str
    """Text to continue."""
    prompt_tokens: int
    """Length of the prompt."""
    length: int
    """Length that the complete answer will have."""
    limited: bool
    """Whether `max_tokens` cuts the answer."""
    prefixes: list[str]
    """Digests of the prompt's prefixes."""
    produced: int = 0
    """Tokens produced so far."""
    to_prefill: int = 0
    """Tokens to prefill before the next token can be produced."""
    preemptions: int = 0
    """Times it lost its memory."""
    cancel_at: int | None = None
    """Position at which a cancelled generation ends."""
    readers: int = 0
    """Streams that follow it."""
    ending: Ending | None = None
    """How it ended, or None while it goes on."""
    ended_at: float = 0.0
    """When it ended, in epoch seconds."""

    @property
    def kv_tokens(self) -> int:
        """KV memory that it takes while it runs."""
        return self.prompt_tokens + self.produced
