"""What the run of a generation asks of its caller's and its engine's side."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep import core
    from laburnumstep.targets import _engine_client
    from laburnumstep.targets import _retry_decisions


@attrs.frozen
class PlacedGeneration:
    """A generation on an engine."""

    request: core.Generation
    """The caller's request."""
    generation: str
    """Identifier of the generation."""
    target: str
    """Name of the engine."""


class GenerationSink(typing.Protocol):
    """Where the tokens of one answer go."""

    async def accept(self, placed: PlacedGeneration) -> None:
        """Announce the generation that the tokens belong to."""
        ...

    async def send(self, events: list[bytes]) -> None:
        """Hand over encoded tokens with consecutive positions."""
        ...

    async def finish(self, generation: str, tokens: int) -> None:
        """Hand over the end of a whole answer."""
        ...


@attrs.frozen
class FailedRun:
    """A generation whose engine failed."""

    target: str
    """Name of the engine."""
    excluded: frozenset[str]
    """Engines on which it failed before."""
    outcome: core.Outcome
    """Whether an engine began it."""
    delivered: int
    """Tokens that the caller has received."""


class Placer(typing.Protocol):
    """Finds engines for generations and learns what became of them."""

    async def place(
        self, request: core.Generation, excluded: frozenset[str]
    ) -> GenerationPlace:
        """Wait for room and return an engine.

        Raises:
            CodedError: When the request is shed or no engine serves it.
        """
        ...

    def decide_retry(
        self, request: core.Generation, failed: FailedRun
    ) -> _retry_decisions.RetryDecision:
        """Decide whether a request whose engine failed is tried again."""
        ...


class GenerationPlace(typing.Protocol):
    """One generation's place on an engine."""

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
        """Count tokens that the engine sent, and their size in bytes."""
        ...

    def record_preemption(self) -> None:
        """Count a preemption."""
        ...

    def record_loss(self, crashed: bool) -> None:
        """Tell that the engine failed, and whether its process ended."""
        ...

    def release(self, complete: bool) -> None:
        """Give the engine's room back."""
        ...
