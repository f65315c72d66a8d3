"""Events of an engine's stream, independent of their encoding."""

from __future__ import annotations

import attrs


@attrs.frozen
class TokenBatch:
    """Tokens with consecutive positions, in the engine's encoding.

    Tokens are forwarded without decoding them. Decoding and encoding each
    token would cost more than all other work of the relay.
    """

    generation: str
    """Identifier of the generation."""
    first_position: int
    """Position of the first token."""
    events: list[bytes]
    """One encoded event for each token."""

    @property
    def next_position(self) -> int:
        """Position after the last token."""
        return self.first_position + len(self.events)


@attrs.frozen
class Preempted:
    """The engine preempted the generation and will continue it later."""


@attrs.frozen
class Finished:
    """The generation is complete."""

    tokens: int
    """Number of tokens in the whole answer."""
    reason: str
    """Why the generation ended, as reported by the engine."""


@attrs.frozen
class Failed:
    """The engine ended the generation before it was complete."""

    code: str
    """Error code of the engine, such as `out_of_memory`."""


EngineEvent = TokenBatch | Preempted | Finished | Failed


@attrs.define
class StreamPosition:
    """Position up to which a caller has been sent a generation.

    Repeated tokens are dropped and missing ones raise an error, so that the
    caller receives each token once and in order whatever the engine sends.
    """

    generation: str
    """Identifier of the generation."""
    next_position: int = 0
    """Position of the next token to send."""

    def advance(self, batch: TokenBatch) -> list[bytes]:
        """Move past a batch; return its events that are not yet sent.

        Raises:
            StreamGap: Tokens before the batch are missing.
            WrongGeneration: The batch belongs to another generation.
        """
        if batch.generation != self.generation:
            raise WrongGeneration(batch.generation)
        if batch.first_position > self.next_position:
            raise StreamGap(self.next_position, batch.first_position)
        unseen = batch.events[self.next_position - batch.first_position :]
        self.next_position += len(unseen)
        return unseen


class StreamGap(Exception):
    """Tokens are missing from an engine's stream.

    Args:
        expected: Position of the next token.
        received: Position of the token that was received.
    """

    def __init__(self, expected: int, received: int) -> None:
        super().__init__(f'expected token {expected}, received {received}')
        self.expected = expected
        self.received = received


class WrongGeneration(Exception):
    """An engine's stream carries a token of another generation."""


class MalformedStream(Exception):
    """An engine's stream does not follow the protocol."""
