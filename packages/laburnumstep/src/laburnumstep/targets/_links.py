"""Byte budgets of the links between regions."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep import core

BURST_SECONDS = 10.0
"""Time over which the budget of a direction is averaged, in seconds."""


@attrs.define
class _Direction:
    bytes_per_second: float
    available: float
    updated_at: float

    def refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        limit = self.bytes_per_second * BURST_SECONDS
        gained = elapsed * self.bytes_per_second
        self.available = min(limit, self.available + gained)
        self.updated_at = now


class LinkMeter:
    """Meters the traffic between regions against a byte budget.

    Each direction of a link has a token bucket.

    Args:
        clock: Clock for refilling the buckets.
        fraction: Fraction of the deployment's budget that this VM may use.
    """

    def __init__(self, clock: core.Clock, fraction: float = 1.0) -> None:
        self._clock = clock
        self._fraction = fraction
        self._budget: core.LinkBudget | None = None
        self._directions: dict[tuple[str, str], _Direction] = {}

    def apply_budget(self, budget: core.LinkBudget, fraction: float) -> None:
        """Replace the budget and the fraction of it that this VM may use."""
        if budget != self._budget or fraction != self._fraction:
            self._budget = budget
            self._fraction = fraction
            self._directions.clear()

    def has_capacity(self, source: str, destination: str) -> bool:
        """Return whether new work may be sent over a direction."""
        direction = self._find_direction(source, destination)
        return direction is None or direction.available > 0

    def get_utilization(self, source: str, destination: str) -> float:
        """Return the used fraction of a direction's budget, from 0 to 1."""
        direction = self._find_direction(source, destination)
        if direction is None:
            return 0.0
        limit = direction.bytes_per_second * BURST_SECONDS
        if limit <= 0:
            return 1.0
        return min(1.0, max(0.0, 1.0 - direction.available / limit))

    def record_bytes(self, source: str, destination: str, count: int) -> None:
        """Count bytes that were sent.

        Streams in progress may exceed the budget of their direction.
        """
        direction = self._find_direction(source, destination)
        if direction is not None:
            direction.available -= count

    def _find_direction(
        self, source: str, destination: str
    ) -> _Direction | None:
        if self._budget is None or source == destination:
            return None
        limit = self._budget.find(source, destination)
        if limit is None:
            return None
        now = self._clock.now()
        direction = self._directions.get((source, destination))
        if direction is None:
            rate = limit * self._fraction
            direction = _Direction(rate, rate * BURST_SECONDS, now)
            self._directions[source, destination] = direction
        direction.refill(now)
        return direction
