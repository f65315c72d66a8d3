"""Queue of generations that wait for one model."""

from __future__ import annotations

import bisect
import math
import typing

import anyio
import attrs

from laburnumstep import targets

if typing.TYPE_CHECKING:
    from laburnumstep import core

AGING_SECONDS = 10.0
"""Time of waiting that raises a request by one priority, in seconds."""
SHORT_ANSWER_TOKENS = 128.0
"""Expected length up to which a request counts as interactive. Each
doubling beyond it lowers a request by one priority."""
CROWDING_SECONDS = 0.25
"""How much later a request is due for each one of its workspace that
waits, so that a burst of one workspace does not delay the others."""
DRAIN_WINDOW_SECONDS = 20.0
"""Time over which the rate of leaving the queue is averaged, in seconds."""
MIN_DRAIN_EVENTS = 2.0
"""Departures in the window below which the rate says nothing."""


@attrs.frozen
class AdmissionRequest:
    """A generation that asks for a place on an engine."""

    placement: targets.PlacementRequest
    """What placement needs to know."""
    generation_id: str
    """Identifier of the generation on the engine."""
    deadline: float
    """Time after which the answer is useless, in epoch seconds."""
    max_tokens: int
    """Upper bound of the answer, in tokens."""


@attrs.frozen(eq=False)
class Admitted:
    """A generation may be sent to a target now."""

    placed: targets.Placed
    """The target and why it was chosen."""
    send: targets.Send
    """The send, already counted by the view."""


@attrs.frozen
class Shed:
    """A generation is refused and was sent to no target."""

    code: core.ErrorCode
    """Why it is refused."""
    resend_at: float
    """Earliest time to send it again, in epoch seconds."""


AdmissionResult = Admitted | Shed


@attrs.define(eq=False)
class Waiter:
    """A generation in the queue."""

    request: AdmissionRequest
    """What it asks for."""
    expected: float
    """Expected length of its answer, in tokens."""
    latest_start: float
    """After which it would probably miss its deadline, in epoch seconds."""
    arrived_at: float
    """When it arrived, in epoch seconds."""
    due_at: float
    """Virtual time by which the queue is ordered, in epoch seconds."""
    order: int
    """Order of arrival."""
    event: anyio.Event = attrs.field(factory=anyio.Event)
    """Set when its task must look again."""
    result: AdmissionResult | None = None
    """What became of it."""
    retry_at: float = math.inf
    """When to look for room without news, in epoch seconds."""
    armed_until: float = -math.inf
    """Time at which its sleeping task wakes, in epoch seconds."""

    @property
    def size(self) -> float:
        """Memory that it will need, in tokens."""
        return self.request.placement.prompt_tokens + self.expected

    def find_priority(self, now: float) -> int:
        """Return its priority, raised by the time that it has waited."""
        waited = max(0.0, now - self.arrived_at)
        return self.request.placement.priority + int(waited / AGING_SECONDS)

    @property
    def key(self) -> tuple[float, int]:
        """Position in the queue."""
        return (self.due_at, self.order)


class WaitQueue:
    """Generations that wait for one model, the first one due in front.

    A request is due at its arrival plus a handicap for low priority and a
    long expected answer. Waiting ages all requests alike, so their order
    never changes, and a request of low priority passes each request that
    arrives later by more than its handicap.
    """

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._workspaces: dict[str, int] = {}
        self._departures = targets.EventRate(DRAIN_WINDOW_SECONDS)

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> typing.Iterator[Waiter]:
        return iter(list(self._waiters))

    @property
    def first(self) -> Waiter | None:
        """The waiter in front, if any."""
        return self._waiters[0] if self._waiters else None

    def find_due(
        self, request: AdmissionRequest, expected: float, now: float
    ) -> float:
        """Return the virtual time at which a request is due."""
        placement = request.placement
        length = max(0.0, math.log2(max(1.0, expected) / SHORT_ANSWER_TOKENS))
        crowd = self._workspaces.get(placement.workspace, 0)
        handicap = AGING_SECONDS * (length - placement.priority)
        return now + handicap + CROWDING_SECONDS * crowd

    def add(self, waiter: Waiter) -> None:
        """Put a waiter in its place."""
        bisect.insort(self._waiters, waiter, key=lambda item: item.key)
        workspace = waiter.request.placement.workspace
        self._workspaces[workspace] = self._workspaces.get(workspace, 0) + 1

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

    def record_departure(self, now: float) -> None:
        """Count a request that found room, whether it waited or not."""
        self._departures.record(now)

    def estimate_wait(self, due_at: float, now: float) -> float | None:
        """Return how long a request due at a time waits, in seconds.

        Returns:
            None when too few requests found room to tell.
        """
        rate = self._departures.measure(now)
        if rate * DRAIN_WINDOW_SECONDS < MIN_DRAIN_EVENTS:
            return None
        ahead = bisect.bisect_right(
            self._waiters, due_at, key=lambda item: item.due_at
        )
        return (ahead + 1) / rate
