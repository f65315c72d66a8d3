"""Recent routing decisions, kept for operators."""

from __future__ import annotations

import collections

import attrs

DECISIONS = 10_000
"""Decisions kept. At 20 requests a second, a node's share of 7,500 over 370
nodes, this covers 8 minutes in about 10 MB."""


@attrs.frozen
class Decision:
    """Why a request was routed where it was."""

    request: str
    """Idempotency key of the request."""
    workspace: str
    """Workspace of the request."""
    target: str | None
    """Chosen target; None where the request was refused."""
    reason: str
    """Why, for people."""
    runners_up: list[str]
    """Targets that came next, best first."""
    decided_at: float
    """Time of the decision, in epoch seconds."""


class DecisionLog:
    """A ring buffer of decisions.

    Args:
        capacity: Decisions kept; the oldest go first.
    """

    def __init__(self, capacity: int = DECISIONS) -> None:
        self._capacity = capacity
        self._order: collections.deque[Decision] = collections.deque()
        self._by_request: dict[str, list[Decision]] = {}

    def __len__(self) -> int:
        return len(self._order)

    def record(self, decision: Decision) -> None:
        """Keep a decision, in place of the oldest when there is no room."""
        if len(self._order) >= self._capacity:
            oldest = self._order.popleft()
            kept = self._by_request[oldest.request]
            kept.pop(0)
            if not kept:
                del self._by_request[oldest.request]
        self._order.append(decision)
        self._by_request.setdefault(decision.request, []).append(decision)

    def find(self, request: str) -> list[Decision]:
        """Return the decisions about a request, oldest first.

        A request has several where it was rerun on another target.
        """
        return list(self._by_request.get(request, []))
