"""Admission of generations: requests wait at the VM, not on engines."""

from __future__ import annotations

import math
import random
import typing

import anyio
import attrs

from laburnumstep import core
from laburnumstep import targets

MAX_WAITING_PER_MODEL = 1000
"""Requests that may wait for one model; more are shed."""
AGING_SECONDS = 10.0
"""Time of waiting that raises a request by one priority, in seconds."""
LONG_ANSWER_TOKENS = 128.0
"""Each doubling of the expected length beyond this lowers the rank."""
MAX_SKIPPED = 8
"""Requests that may be looked at behind one that finds no room."""
MIN_RESEND_SECONDS = 1.0
"""Shortest time before a shed request is sent again, in seconds."""


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
class _Waiter:
    request: AdmissionRequest
    rank: float
    order: int
    event: anyio.Event
    result: AdmissionResult | None = None
    retry_at: float = math.inf


class Admission:
    """Queues generations in priority order until an engine has room.

    Args:
        clock: Tells the time.
        view: Targets and their load.
        lengths: Expected lengths of answers.
        rng: Source of random numbers.
    """

    def __init__(
        self,
        clock: core.Clock,
        view: targets.FleetView,
        lengths: targets.LengthEstimator,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._view = view
        self._lengths = lengths
        self._rng = rng if rng is not None else random.Random()
        self._weights = core.PolicyWeights()
        self._queues: dict[str, list[_Waiter]] = {}
        self._order = 0
        self._dispatching = False
        view.subscribe(self._dispatch_all)

    @property
    def waiting(self) -> int:
        """Number of generations that wait."""
        return sum(len(queue) for queue in self._queues.values())

    def apply_deployment(self, deployment: core.Deployment) -> None:
        """Use the weights of a new configuration."""
        self._weights = deployment.weights
        self._dispatch_all()

    async def admit(self, request: AdmissionRequest) -> AdmissionResult:
        """Wait until the generation has a target or is refused.

        An `Admitted` must be handed to `release` when the generation has
        ended. A cancelled caller leaves the queue and holds no place.
        """
        waiter = self._enqueue(request)
        try:
            self._dispatch(request.placement.model)
            while waiter.result is None:
                await self._wait(waiter)
        except BaseException:
            match waiter.result:
                case Admitted() as admitted:
                    self.release(admitted)
                case _:
                    self._remove(waiter)
            raise
        return waiter.result

    def release(self, admitted: Admitted) -> None:
        """Give back the place of a generation that has ended."""
        self._view.end(admitted.send)

    def _enqueue(self, request: AdmissionRequest) -> _Waiter:
        queue = self._queues.setdefault(request.placement.model, [])
        self._order += 1
        waiter = _Waiter(
            request, self._rank(request), self._order, anyio.Event()
        )
        if len(queue) >= MAX_WAITING_PER_MODEL:
            resend_at = self._clock.now() + MIN_RESEND_SECONDS
            waiter.result = Shed(core.ErrorCode.OVERLOADED, resend_at)
            return waiter
        queue.append(waiter)
        queue.sort(key=lambda item: (item.rank, item.order))
        return waiter

    def _rank(self, request: AdmissionRequest) -> float:
        """Return the virtual time at which a request is due.

        Ordering by arrival plus a handicap ages all waiters alike, so the
        order of two waiters never changes and the queue stays sorted.
        """
        placement = request.placement
        expected = self._expect_tokens(request)
        length = max(0.0, math.log2(expected / LONG_ANSWER_TOKENS))
        handicap = length - placement.priority
        return self._clock.now() + AGING_SECONDS * handicap

    def _expect_tokens(self, request: AdmissionRequest) -> float:
        placement = request.placement
        expected = self._lengths.expect_remaining(
            placement.workspace, placement.model, 0
        )
        return max(1.0, min(expected, float(request.max_tokens)))

    async def _wait(self, waiter: _Waiter) -> None:
        """Wait for a result, the deadline or the next time to look."""
        until = min(waiter.request.deadline, waiter.retry_at)
        async with anyio.create_task_group() as group:
            group.start_soon(self._wake_at, waiter, until)
            await waiter.event.wait()
            group.cancel_scope.cancel()
        waiter.event = anyio.Event()
        if waiter.result is not None:
            return
        now = self._clock.now()
        if waiter.request.deadline <= now:
            self._remove(waiter)
            resend_at = now + MIN_RESEND_SECONDS
            waiter.result = Shed(core.ErrorCode.OVERLOADED, resend_at)
            return
        self._dispatch(waiter.request.placement.model)

    async def _wake_at(self, waiter: _Waiter, until: float) -> None:
        await self._clock.sleep_until(until)
        waiter.event.set()

    def _remove(self, waiter: _Waiter) -> None:
        queue = self._queues.get(waiter.request.placement.model, [])
        if waiter in queue:
            queue.remove(waiter)

    def _dispatch_all(self) -> None:
        for model in list(self._queues):
            self._dispatch(model)

    def _dispatch(self, model: str) -> None:
        """Give room to waiters in order; small ones may pass a large one."""
        if self._dispatching:
            return
        self._dispatching = True
        try:
            skipped = 0
            for waiter in list(self._queues.get(model, [])):
                if not self._try_place(waiter):
                    skipped += 1
                if skipped > MAX_SKIPPED:
                    break
        finally:
            self._dispatching = False
        if not self._queues.get(model):
            self._queues.pop(model, None)

    def _try_place(self, waiter: _Waiter) -> bool:
        """Place a waiter; return False when there is no room for it."""
        request = waiter.request
        now = self._clock.now()
        if request.deadline <= now:
            self._finish(waiter, Shed(core.ErrorCode.OVERLOADED, now + 1.0))
            return True
        placement = targets.choose_engine(
            self._view,
            request.placement,
            self._lengths,
            self._weights,
            self._rng,
        )
        match placement:
            case targets.Placed():
                self._finish(waiter, self._begin(request, placement))
                return True
            case targets.NoRoom(retry_at=retry_at):
                waiter.retry_at = retry_at
                return False
            case targets.NoTarget():
                self._finish(
                    waiter,
                    Shed(core.ErrorCode.NO_TARGET, now + MIN_RESEND_SECONDS),
                )
                return True
            case _ as other:
                typing.assert_never(other)

    def _begin(
        self, request: AdmissionRequest, placed: targets.Placed
    ) -> Admitted:
        placement = request.placement
        send = self._view.begin(
            placed.target,
            request.generation_id,
            placement.workspace,
            placement.model,
            placement.prompt_tokens,
            self._expect_tokens(request),
        )
        return Admitted(placed, send)

    def _finish(self, waiter: _Waiter, result: AdmissionResult) -> None:
        waiter.result = result
        self._remove(waiter)
        waiter.event.set()
