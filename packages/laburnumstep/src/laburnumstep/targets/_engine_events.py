"""Events of an engine's stream, free of their encoding."""

from __future__ import annotations

import attrs


@attrs.frozen
class TokenBatch:
    """Tokens with consecutive positions, as the engine encoded them.

    The tokens are forwarded as they came, because decoding and encoding
    each of them costs more than everything else that the relay does.
    """

    generation: str
    """Identifier of the generation."""
    first: int
    """Position of the first token."""
    events: list[bytes]
    """One encoded event for each token."""

    @property
    def following(self) -> int:
        """Position after the last token."""
        return self.first + len(self.events)


@attrs.frozen
class Preempted:
    """The engine took the generation's memory away for a while."""


@attrs.frozen
class Finished:
    """The generation is complete."""

    tokens: int
    """Tokens of the whole answer."""
    reason: str
    """Why it ended, as the engine tells it."""


@attrs.frozen
class Failed:
    """The engine gave the generation up."""

    code: str
    """The engine's code, such as `out_of_memory`."""


EngineEvent = TokenBatch | Preempted | Finished | Failed


@attrs.define
class StreamPosition:
    """What one caller has been sent of one generation.

    It drops repeated tokens and finds missing ones, so that the caller gets
    each token once and in order whatever the engine sends.
    """

    generation: str
    """Identifier of the generation."""
    following: int = 0
    """Position of the next token to send."""

    def accept(self, batch: TokenBatch) -> list[bytes]:
        """Return the events of a batch that the caller has not been sent.

        Raises:
            StreamGap: When tokens before the batch are missing.
            WrongGeneration: When the batch is of another generation.
        """
        if batch.generation != self.generation:
            raise WrongGeneration(batch.generation)
        if batch.first > self.following:
            raise StreamGap(self.following, batch.first)
        fresh = batch.events[self.following - batch.first :]
        self.following += len(fresh)
        return fresh


class StreamGap(Exception):
    """Tokens are missing from an engine's stream.

    Args:
        expected: Position of the next token.
        received: Position of the token that came.
    """

    def __init__(self, expected: int, received: int) -> None:
        super().__init__(f'expected token {expected}, received {received}')
        self.expected = expected
        self.received = received


class WrongGeneration(Exception):
    """An engine's stream carries a token of another generation."""


class MalformedStream(Exception):
    """An engine's stream does not follow the protocol."""
