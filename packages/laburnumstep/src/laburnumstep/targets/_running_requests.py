"""Requests on each target that may explain a crash of it."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep import core
    from laburnumstep.targets import _traits

SURVIVAL_SECONDS = 0.5
"""How long a target streams the answer of a request before it counts as having
survived it, in seconds. A request that crashes engines does so when its answer
begins."""


@attrs.define
class RunningRequest:
    """A request that a target has not survived yet."""

    traits: _traits.Traits
    """Traits of the request."""
    sent_at: float
    """When it was sent, in epoch seconds."""
    survived_at: float | None = None
    """When the target has survived it, in epoch seconds; None before its
    first event."""


class RunningRequests:
    """Requests that targets run and have not survived yet, by target.

    Args:
        clock: Clock of the survival time.
        record_survival: Called with the traits of each request that a target
            has survived.
    """

    def __init__(
        self,
        clock: core.Clock,
        record_survival: typing.Callable[[_traits.Traits], None],
    ) -> None:
        self._clock = clock
        self._record_survival = record_survival
        self._by_target: dict[str, dict[str, RunningRequest]] = {}

    def add(self, target: str, run: str, traits: _traits.Traits) -> None:
        """Add a request that is about to be sent to a target.

        Args:
            target: Name of the target.
            run: Identifier of this run of the request.
            traits: Traits of the request.
        """
        runs = self._by_target.setdefault(target, {})
        runs[run] = RunningRequest(traits, self._clock.now())

    def record_progress(self, target: str, run: str) -> None:
        """Record that a part of the answer has arrived."""
        running = self._by_target.get(target, {}).get(run)
        if running is None:
            return
        now = self._clock.now()
        if running.survived_at is None:
            running.survived_at = now + SURVIVAL_SECONDS
        elif running.survived_at <= now:
            self.remove(target, run, complete=True)

    def remove(self, target: str, run: str, complete: bool) -> None:
        """Remove a request that has ended.

        Args:
            target: Name of the target.
            run: Identifier of the run.
            complete: Whether the target completed it.
        """
        runs = self._by_target.get(target, {})
        running = runs.pop(run, None)
        if not runs:
            self._by_target.pop(target, None)
        if running is not None and complete:
            self._record_survival(running.traits)

    def pop_suspects(self, target: str) -> list[RunningRequest]:
        """Remove and return the requests that may have crashed a target."""
        return list(self._by_target.pop(target, {}).values())
