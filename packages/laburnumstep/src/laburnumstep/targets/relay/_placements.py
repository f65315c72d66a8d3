"""Interfaces through which the relay places requests on targets."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _retry_decisions
    from laburnumstep.targets.relay import _ports


@attrs.frozen
class FailedSend:
    """A dispatch that produced no answer for the caller."""

    target: str
    """Name of the target."""
    excluded: frozenset[str]
    """Targets on which the request failed earlier."""
    outcome: core.Outcome
    """Whether the target ran the request."""


class RelayPlacement(typing.Protocol):
    """Placement of one request on a target."""

    @property
    def target(self) -> core.Target:
        """The target on which the request is placed."""
        ...

    def record_tokens(self, count: int, size: int) -> None:
        """Count tokens that the target sent.

        Args:
            count: Number of tokens.
            size: Their encoded size, in bytes.
        """
        ...

    def record_arrival(
        self, read_at: float, now: float, tokens: list[int]
    ) -> None:
        """Record when events arrived, to learn the pace of the target.

        Args:
            read_at: When the read of the events began, in epoch seconds.
            now: When it returned, in epoch seconds.
            tokens: Number of tokens of each event.
        """
        ...

    def record_failure(self, crashed: bool) -> None:
        """Eject the target, which failed.

        Args:
            crashed: Whether the target failed while it ran the request.
        """
        ...

    def record_held(self, until: float) -> None:
        """Record that the target takes no further request for now.

        Args:
            until: When it may take another one, in epoch seconds.
        """
        ...

    def record_break(self) -> None:
        """Record that the target closed the connection without an answer."""
        ...

    def release(self, complete: bool) -> None:
        """Release the target's capacity.

        Args:
            complete: Whether the answer is complete, so that its length may
                be learned.
        """
        ...


class RelayPlacer(typing.Protocol):
    """Places relayed requests on targets."""

    def record_request(self, request: _ports.RelayRequest) -> None:
        """Count a request of a caller before it is placed."""
        ...

    async def place(
        self, request: _ports.RelayRequest, excluded: frozenset[str]
    ) -> RelayPlacement:
        """Wait for capacity on a target and return the placement.

        Args:
            request: The request.
            excluded: Targets that must not be used.

        Raises:
            CodedError: The request is shed or no target serves it.
        """
        ...

    def place_on(
        self, request: _ports.RelayRequest, target: str, tokens: int
    ) -> RelayPlacement | None:
        """Return a placement on a target, or None if it is not declared.

        Args:
            request: The request.
            target: Name of the target.
            tokens: Length of its answer so far, in tokens.
        """
        ...

    def choose_backup(
        self, request: _ports.RelayRequest, target: core.Target, tokens: int
    ) -> core.EngineTarget | None:
        """Return an engine that can hold a backup of a run, if any.

        Args:
            request: The request that runs.
            target: Target that runs it.
            tokens: Length of its answer so far, in tokens.
        """
        ...

    def choose_destination(
        self,
        request: _ports.RelayRequest,
        source: core.Target,
        refused: frozenset[str],
        tokens: int,
    ) -> core.EngineTarget | None:
        """Return an engine to which a run can be migrated, if any.

        Args:
            request: The request that runs.
            source: Engine that runs it.
            refused: Engines that refused the copy.
            tokens: Length of its answer so far, in tokens.
        """
        ...

    def find_stop_time(self, target: str) -> float | None:
        """Return when a leaving engine stops, in epoch seconds, if known."""
        ...

    def estimate_copy(self, source: core.Target, tokens: int) -> float:
        """Return the estimated time to copy a run, in seconds.

        Args:
            source: Engine that runs it.
            tokens: Memory of the run, in tokens.
        """
        ...

    def is_usable(self, target: str) -> bool:
        """Return whether a target accepts new work."""
        ...

    async def decide_retry(
        self, request: _ports.RelayRequest, failed: FailedSend
    ) -> _retry_decisions.RetryDecision:
        """Decide whether to send a failed request to another target."""
        ...

    def record_resend(self, request: _ports.RelayRequest) -> None:
        """Count a dispatch that continues a run on another engine."""
        ...
