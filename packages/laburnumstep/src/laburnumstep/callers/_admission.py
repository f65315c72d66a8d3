"""Admission of generations: requests wait at the VM, not on engines."""

from __future__ import annotations

import math
import random
import typing

import anyio
import attrs

from laburnumstep.callers import _admission_queue
from laburnumstep import core
from laburnumstep import targets

MAX_WAITING_PER_MODEL = 1000
"""Requests that may wait for one model; more are shed."""
MAX_SKIPPED = 4
"""Requests without room behind which smaller ones are still looked at."""
PATIENCE_SECONDS = 10.0
"""How long after it was due a request may be passed by smaller ones;
afterwards the room that comes free is kept for it."""
MIN_RESEND_SECONDS = 1.0
"""Shortest time before a shed request is sent again, in seconds."""
MAX_RESEND_SECONDS = 30.0
"""Longest time before a shed request is sent again, in seconds."""
_logger = core.get_logger('callers')


class Admission:
    """Queues generations in priority order until an engine has room.

    Args:
        clock: Tells the time.
        view: Targets and their load.
        lengths: Expected lengths of answers.
        rng: Source of random numbers.
        metrics: Receives counts of admitted and shed requests.
    """

    def __init__(
        self,
        clock: core.Clock,
        view: targets.FleetView,
        lengths: targets.LengthEstimator,
        rng: random.Random | None = None,
        metrics: core.Metrics | None = None,
    ) -> None:
        self._clock = clock
        self._view = view
        self._lengths = lengths
        self._rng = rng if rng is not None else random.Random()
        self._metrics = metrics or core.Metrics(None, '')
        self._weights = core.PolicyWeights()
        self._queues: dict[str, _admission_queue.WaitQueue] = {}
        self._order = 0
        self._dispatching = False
        view.subscribe(self._dispatch_models)

    @property
    def waiting(self) -> int:
        """Number of generations that wait."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def models(self) -> list[str]:
        """Models for which the VM keeps a queue."""
        return list(self._queues)

    def apply_deployment(self, deployment: core.Deployment) -> None:
        """Use the weights of a new configuration."""
        self._weights = deployment.weights
        self._dispatch_models(self._queues)

    async def admit(
        self, request: _admission_queue.AdmissionRequest
    ) -> _admission_queue.AdmissionResult:
        """Wait until the generation has a target or is refused.

        An `Admitted` must be handed to `release` when the generation has
        ended. A cancelled caller leaves the queue and holds no place.
        """
        waiter = self._enqueue(request)
        try:
            while waiter.result is None:
                await self._wait(waiter)
        except BaseException:
            self._abandon(waiter)
            raise
        return waiter.result

    def release(self, admitted: _admission_queue.Admitted) -> None:
        """Give back the place of a generation that has ended."""
        self._view.end(admitted.send)

    def _enqueue(
        self, request: _admission_queue.AdmissionRequest
    ) -> _admission_queue.Waiter:
        """Place a request at once, refuse it or let it wait."""
        model = request.placement.model
        queue = self._queues.get(model)
        if queue is None:
            queue = self._queues[model] = _admission_queue.WaitQueue()
        waiter = self._make_waiter(request, queue)
        queue.add(waiter)
        self._view.set_waiting(model, len(queue))
        self._dispatch(model)
        if waiter.result is None:
            self._shed_early(waiter, queue)
        if not len(queue) and not len(self._view.get_pool(model)):
            # Callers choose the names of models; a queue for each unknown
            # name would grow without bound.
            del self._queues[model]
        return waiter

    def _make_waiter(
        self,
        request: _admission_queue.AdmissionRequest,
        queue: _admission_queue.WaitQueue,
    ) -> _admission_queue.Waiter:
        placement = request.placement
        now = self._clock.now()
        limit = float(request.max_tokens)
        expected = self._lengths.expect_remaining(
            placement.workspace, placement.model, 0
        )
        median = self._lengths.find_quantile(
            placement.workspace, placement.model, 0, 0.5
        )
        # A few long answers raise the mean; the median tells whether this
        # one more likely than not ends before its deadline.
        if placement.hinted_tokens is not None:
            median = placement.hinted_tokens
        pace = self._view.token_seconds or 0.0
        latest_start = request.deadline - pace * min(median, limit)
        if placement.hinted_tokens is not None:
            expected = placement.hinted_tokens
        expected = min(expected, limit)
        due_at = queue.find_due(request, expected, now)
        self._order += 1
        return _admission_queue.Waiter(
            request, expected, latest_start, now, due_at, self._order
        )

    def _shed_early(
        self,
        waiter: _admission_queue.Waiter,
        queue: _admission_queue.WaitQueue,
    ) -> None:
        """Refuse a request at once that would wait for nothing."""
        now = self._clock.now()
        wait = queue.estimate_wait(waiter.due_at, now)
        full = len(queue) > MAX_WAITING_PER_MODEL
        late = wait is not None and now + wait > waiter.latest_start
        if full or late or waiter.latest_start <= now:
            self._shed(waiter, wait or 0.0)

    async def _wait(self, waiter: _admission_queue.Waiter) -> None:
        """Wait for a result, the latest start or the next time to look."""
        now = self._clock.now()
        if waiter.latest_start <= now:
            self._shed(waiter, 0.0)
            return
        if waiter.retry_at <= now:
            waiter.retry_at = math.inf
            self._dispatch(waiter.request.placement.model)
            return
        waiter.armed_until = min(waiter.latest_start, waiter.retry_at)
        async with anyio.create_task_group() as group:
            group.start_soon(self._wake_at, waiter, waiter.armed_until)
            await waiter.event.wait()
            group.cancel_scope.cancel()
        waiter.event = anyio.Event()
        waiter.armed_until = -math.inf

    async def _wake_at(
        self, waiter: _admission_queue.Waiter, until: float
    ) -> None:
        await self._clock.sleep_until(until)
        waiter.event.set()

    def _abandon(self, waiter: _admission_queue.Waiter) -> None:
        """Undo the admission of a caller that is gone."""
        match waiter.result:
            case _admission_queue.Admitted() as admitted:
                self.release(admitted)
            case _admission_queue.Shed():
                pass
            case None:
                self._remove(waiter)
            case _ as other:
                typing.assert_never(other)

    def _dispatch_models(self, models: typing.Iterable[str]) -> None:
        for model in list(models):
            if model in self._queues:
                self._dispatch(model)

    def _dispatch(self, model: str) -> None:
        """Give room to waiters in order; small ones may pass large ones."""
        queue = self._queues.get(model)
        if queue is None or self._dispatching or not len(queue):
            return
        self._dispatching = True
        try:
            self._place_waiters(queue)
        finally:
            self._dispatching = False
        self._view.set_waiting(model, len(queue))
        first = queue.first
        if first is not None and first.retry_at < first.armed_until:
            # Only the first waiter looks again by time; its task sleeps
            # until later and must be told.
            first.event.set()

    def _place_waiters(self, queue: _admission_queue.WaitQueue) -> None:
        now = self._clock.now()
        failed: list[tuple[int, float]] = []
        for waiter in queue:
            priority = waiter.find_priority(now)
            if any(
                priority <= other and waiter.size >= size
                for other, size in failed
            ):
                continue
            if self._try_place(waiter, priority, queue):
                continue
            if len(failed) + 1 >= MAX_SKIPPED:
                return
            overdue = now > waiter.due_at + PATIENCE_SECONDS
            placement = waiter.request.placement
            if overdue:
                failed.append((priority, 0.0))
            elif placement.suspect or placement.excluded:
                # Others may find room where this one may not go.
                failed.append((priority, math.inf))
            else:
                failed.append((priority, waiter.size))

    def _try_place(
        self,
        waiter: _admission_queue.Waiter,
        priority: int,
        queue: _admission_queue.WaitQueue,
    ) -> bool:
        """Place or refuse a waiter; return False when it has no room."""
        now = self._clock.now()
        if waiter.request.deadline <= now:
            self._shed(waiter, 0.0)
            return True
        placement = targets.choose_engine(
            self._view,
            attrs.evolve(
                waiter.request.placement,
                priority=priority,
                max_tokens=waiter.request.max_tokens,
            ),
            self._lengths,
            self._weights,
            self._rng,
        )
        match placement:
            case targets.Placed():
                queue.record_departure(now)
                self._finish(waiter, self._begin(waiter, placement))
                return True
            case targets.NoRoom(retry_at=retry_at):
                waiter.retry_at = retry_at
                return False
            case targets.NoTarget(reason=reason):
                self._refuse(waiter, core.ErrorCode.NO_TARGET, 0.0, reason)
                return True
            case _ as other:
                typing.assert_never(other)

    def _begin(
        self, waiter: _admission_queue.Waiter, placed: targets.Placed
    ) -> _admission_queue.Admitted:
        request = waiter.request
        placement = request.placement
        send = self._view.begin(
            placed.target,
            request.generation_id,
            placement.workspace,
            placement.model,
            placement.prompt_tokens,
            waiter.expected,
            request.max_tokens,
            placement.suspect,
            placement.hinted_tokens,
        )
        self._metrics.count('admission.admitted')
        _logger.info(
            'placed request %s of workspace %s on target %s: %s; '
            'runners-up: %s',
            placement.request,
            placement.workspace,
            placed.target,
            placed.reason,
            ', '.join(placed.runners_up) or 'none',
        )
        return _admission_queue.Admitted(placed, send)

    def _shed(self, waiter: _admission_queue.Waiter, wait: float) -> None:
        reason = 'no room before its deadline'
        self._refuse(waiter, core.ErrorCode.OVERLOADED, wait, reason)

    def _refuse(
        self,
        waiter: _admission_queue.Waiter,
        code: core.ErrorCode,
        wait: float,
        reason: str,
    ) -> None:
        delay = min(max(wait, MIN_RESEND_SECONDS), MAX_RESEND_SECONDS)
        resend_at = self._clock.now() + delay
        placement = waiter.request.placement
        self._metrics.count('admission.shed')
        _logger.info(
            'refused request %s of workspace %s with %s: %s',
            placement.request,
            placement.workspace,
            code.value,
            reason,
        )
        self._finish(waiter, _admission_queue.Shed(code, resend_at))

    def _finish(
        self,
        waiter: _admission_queue.Waiter,
        result: _admission_queue.AdmissionResult,
    ) -> None:
        waiter.result = result
        self._remove(waiter)
        waiter.event.set()

    def _remove(self, waiter: _admission_queue.Waiter) -> None:
        model = waiter.request.placement.model
        queue = self._queues.get(model)
        if queue is None:
            return
        was_first = queue.first is waiter
        queue.remove(waiter)
        self._view.set_waiting(model, len(queue))
        if was_first and queue.first is not None and not self._dispatching:
            # The first waiter is the one that looks again by time.
            queue.first.retry_at = self._clock.now()
            queue.first.event.set()
