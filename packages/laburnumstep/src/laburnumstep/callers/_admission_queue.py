"""Admission queue of one model."""

from __future__ import annotations

import bisect
import collections
import math
import typing

import anyio
import attrs

from laburnumstep import targets

if typing.TYPE_CHECKING:
    from laburnumstep import core

AGING_SECONDS = 10.0
"""Waiting time that raises a request by one priority level, in seconds."""
SHORT_ANSWER_TOKENS = 128.0
"""Expected answer length up to which a request counts as interactive, in
tokens. Each doubling beyond it lowers the priority by one level."""
WORKSPACE_BACKLOG_SECONDS = 0.25
"""Delay of a request's due time for each queued request of its workspace, in
seconds, so that a burst of one workspace does not delay the others."""
DEPARTURE_WINDOW_SECONDS = 20.0
"""Window over which the departure rate is averaged, in seconds."""
MIN_DEPARTURES = 2.0
"""Departures in the window below which no rate is estimated."""


@attrs.frozen
class AdmissionRequest:
    """A generation to be placed on an engine."""

    placement: targets.PlacementRequest
    """Input of the placement decision."""
    generation_id: str
    """Identifier of the generation on the engine."""
    deadline: float
    """Deadline of the answer, in epoch seconds."""
    max_tokens: int
    """Upper bound of the answer, in tokens."""


@attrs.frozen(eq=False)
class Admitted:
    """The generation is placed and may be sent to its target now."""

    placed: targets.Placed
    """The target and why it was chosen."""
    send: targets.Send
    """The dispatch, already counted in the load of the target."""


@attrs.frozen
class Shed:
    """The generation is refused and was not sent to any target."""

    code: core.ErrorCode
    """Why it is refused."""
    resend_at: float
    """Earliest time for the caller to resend, in epoch seconds."""


AdmissionResult = Admitted | Shed


@attrs.define(eq=False)
class Waiter:
    """A queued generation and the state of its task."""

    request: AdmissionRequest
    """The request."""
    expected: float
    """Expected length of its answer, in tokens."""
    latest_start: float
    """Start time after which it would probably miss its deadline, in epoch
    seconds."""
    arrived_at: float
    """Arrival time, in epoch seconds."""
    due_at: float
    """Virtual time by which the queue is ordered, in epoch seconds."""
    order: int
    """Arrival number, which orders requests with the same due time."""
    event: anyio.Event = attrs.field(factory=anyio.Event)
    """Wakes the waiting task."""
    result: AdmissionResult | None = None
    """Result of the admission; None while it waits."""
    recheck_at: float = math.inf
    """When to recheck for capacity unless an event comes first, in epoch
    seconds."""
    sleeps_until: float = -math.inf
    """Time at which the waiting task wakes, in epoch seconds; minus infinity
    while it does not sleep."""

    @property
    def size(self) -> float:
        """Expected memory use on an engine, in tokens."""
        return self.request.placement.prompt_tokens + self.expected

    def get_aged_priority(self, now: float) -> int:
        """Return the priority, raised by the time spent in the queue."""
        waited = max(0.0, now - self.arrived_at)
        return self.request.placement.priority + int(waited / AGING_SECONDS)

    @property
    def key(self) -> tuple[float, int]:
        """Sort key in the queue."""
        return (self.due_at, self.order)


class WaitQueue:
    """Queue of generations for one model, ordered by due time.

    The due time is the arrival time plus a penalty for low priority and for
    a long expected answer. All waiting requests age at the same rate, so
    their order never changes. A request of low priority goes before every
    request that arrives later by more than the difference of their
    penalties.
    """

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._workspaces: dict[str, int] = {}
        self._regions: collections.Counter[core.Regions] = (
            collections.Counter()
        )
        self._departures = targets.EventRate(DEPARTURE_WINDOW_SECONDS)

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> typing.Iterator[Waiter]:
        return iter(list(self._waiters))

    @property
    def first(self) -> Waiter | None:
        """The waiter with the earliest due time, if any."""
        return self._waiters[0] if self._waiters else None

    @property
    def restrictions(self) -> int:
        """Number of different sets of regions that the waiters allow."""
        return len(self._regions)

    def compute_due_time(
        self, request: AdmissionRequest, expected: float, now: float
    ) -> float:
        """Return the due time of a request, in epoch seconds.

        Args:
            request: The request.
            expected: Expected length of its answer, in tokens.
            now: Time of arrival, in epoch seconds.
        """
        placement = request.placement
        length_penalty = max(
            0.0, math.log2(max(1.0, expected) / SHORT_ANSWER_TOKENS)
        )
        backlog = self._workspaces.get(placement.workspace, 0)
        penalty = AGING_SECONDS * (length_penalty - placement.priority)
        return now + penalty + WORKSPACE_BACKLOG_SECONDS * backlog

    def add(self, waiter: Waiter) -> None:
        """Insert a waiter by its due time."""
        bisect.insort(self._waiters, waiter, key=lambda item: item.key)
        workspace = waiter.request.placement.workspace
        self._workspaces[workspace] = self._workspaces.get(workspace, 0) + 1
        self._regions[waiter.request.placement.regions] += 1

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter if it is in the queue."""
        index = bisect.bisect_left(
            self._waiters, waiter.key, key=lambda item: item.key
        )
        if self._waiters[index : index + 1] != [waiter]:
            return
        del self._waiters[index]
        workspace = waiter.request.placement.workspace
        self._workspaces[workspace] -= 1
        if not self._workspaces[workspace]:
            del self._workspaces[workspace]
        regions = waiter.request.placement.regions
        self._regions[regions] -= 1
        if not self._regions[regions]:
            del self._regions[regions]

    def record_departure(self, now: float) -> None:
        """Count a request that was placed, whether or not it waited."""
        self._departures.record(now)

    def estimate_wait(
        self, due_at: float, now: float, limit: float = math.inf
    ) -> float | None:
        """Estimate how long a request with a due time will wait.

        Args:
            due_at: Due time of the request, in epoch seconds.
            now: The time, in epoch seconds.
            limit: Requests a second that the engines take at most.

        Returns:
            The wait in seconds, or None if too few requests were placed for
            an estimate.
        """
        rate = min(self._departures.measure(now), limit)
        if rate * DEPARTURE_WINDOW_SECONDS < MIN_DEPARTURES:
            if limit == math.inf:
                return None
            rate = limit
        ahead = bisect.bisect_right(
            self._waiters, due_at, key=lambda item: item.due_at
        )
        return (ahead + 1) / rate
