"""Interfaces that a generation run needs from its caller and its engine."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep import core
    from laburnumstep.targets import _engine_client
    from laburnumstep.targets import _retry_decisions


@attrs.frozen
class PlacedGeneration:
    """A generation that was assigned to an engine."""

    request: core.Generation
    """The caller's request."""
    generation: str
    """Identifier of the generation."""
    target: str
    """Name of the engine."""


class GenerationSink(typing.Protocol):
    """Receives the tokens of one answer."""

    async def accept(self, placed: PlacedGeneration) -> None:
        """Start the answer with the generation that its tokens belong to."""
        ...

    async def send(self, events: list[bytes]) -> None:
        """Send encoded tokens with consecutive positions."""
        ...

    async def finish(self, generation: str, tokens: int) -> None:
        """End an answer that is complete.

        Args:
            generation: Identifier of the generation.
            tokens: Number of tokens in the whole answer.
        """
        ...


@attrs.frozen
class FailedRun:
    """A generation whose engine failed."""

    target: str
    """Name of the engine."""
    excluded: frozenset[str]
    """Engines on which the request failed before."""
    outcome: core.Outcome
    """Whether an engine has begun the generation."""
    delivered: int
    """Number of tokens that the caller has received."""


class Placer(typing.Protocol):
    """Assigns engines to generations and decides on retries."""

    async def place(
        self, request: core.Generation, excluded: frozenset[str]
    ) -> GenerationPlace:
        """Wait until an engine has capacity, and place the request on it.

        Args:
            request: The request.
            excluded: Engines that must not be chosen.

        Raises:
            CodedError: The request was shed, or no engine serves it.
        """
        ...

    def decide_retry(
        self, request: core.Generation, failed: FailedRun
    ) -> _retry_decisions.RetryDecision:
        """Decide whether to retry a request whose engine failed."""
        ...


class GenerationPlace(typing.Protocol):
    """The assignment of one generation to an engine."""

    @property
    def target(self) -> str:
        """Name of the engine."""
        ...

    @property
    def generation(self) -> str:
        """Identifier of the generation."""
        ...

    @property
    def client(self) -> _engine_client.EngineClient:
        """Client of the engine."""
        ...

    def record_tokens(self, count: int, size: int) -> None:
        """Count tokens received from the engine, and their size in bytes."""
        ...

    def record_preemption(self) -> None:
        """Count a preemption."""
        ...

    def record_loss(self, crashed: bool) -> None:
        """Record that the engine failed.

        Args:
            crashed: Whether the process of the engine ended.
        """
        ...

    def release(self, complete: bool) -> None:
        """Release the capacity of the engine.

        Args:
            complete: Whether the answer is complete, so that its length may
                be learned.
        """
        ...
