"""Where relayed requests run, as the relay sees it."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _retry_decisions
    from laburnumstep.targets.relay import _ports


@attrs.frozen
class FailedSend:
    """A send that gave no answer for the caller."""

    target: str
    """Name of the target."""
    excluded: frozenset[str]
    """Targets on which the request failed before."""
    outcome: core.Outcome
    """Whether the target began the request."""


class RelayPlace(typing.Protocol):
    """One request's place on a target."""

    @property
    def target(self) -> core.Target:
        """The target."""
        ...

    def record_tokens(self, count: int, size: int) -> None:
        """Count tokens that the target sent, and their size in bytes."""
        ...

    def record_loss(self, crashed: bool) -> None:
        """Tell that the target failed, and whether it cut the request."""
        ...

    def release(self, complete: bool) -> None:
        """Give the target's room back."""
        ...


class RelayPlacer(typing.Protocol):
    """Finds targets for relayed requests."""

    async def place(
        self, request: _ports.RelayRequest, excluded: frozenset[str]
    ) -> RelayPlace:
        """Wait for room and return a target.

        Raises:
            CodedError: When the request is shed or no target serves it.
        """
        ...

    def place_on(
        self, request: _ports.RelayRequest, target: str
    ) -> RelayPlace | None:
        """Return a place on a named target, or None if it is not usable."""
        ...

    def choose_backup(
        self, request: _ports.RelayRequest, target: core.Target
    ) -> core.EngineTarget | None:
        """Return an engine that may keep a copy of a run on a target."""
        ...

    def choose_destination(
        self,
        request: _ports.RelayRequest,
        source: core.Target,
        refused: frozenset[str],
    ) -> core.EngineTarget | None:
        """Return an engine to which a run may be moved, if any.

        Args:
            request: The request that runs.
            source: Engine that runs it.
            refused: Engines that had no room for it.
        """
        ...

    def estimate_copy(self, source: core.Target, tokens: int) -> float:
        """Return how long the copy of a run takes, in seconds."""
        ...

    def is_usable(self, target: str) -> bool:
        """Tell whether a target may get new work."""
        ...

    def decide_retry(
        self, request: _ports.RelayRequest, failed: FailedSend
    ) -> _retry_decisions.RetryDecision:
        """Decide whether a request is sent to another target."""
        ...

    def record_resend(self, request: _ports.RelayRequest) -> None:
        """Count a send that carries a run on at another engine."""
        ...
