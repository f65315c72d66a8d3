"""Admission control for generations, with a queue for each model.

Requests that no engine has capacity for wait on the VM instead of in the
queues of engines.
"""

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
"""Maximum length of the queue of one model; further requests are shed."""
MAX_SKIPPED = 4
"""Number of waiters without capacity at which a pass over the queue stops.
Behind fewer of them, smaller requests are still placed."""
MAX_OVERTAKING_SECONDS = 10.0
"""How long after its due time a request may be overtaken by smaller ones, in
seconds. Afterwards, capacity that becomes free is reserved for it."""
MIN_RESEND_SECONDS = 1.0
"""Minimum delay before the caller resends a shed request, in seconds."""
MAX_RESEND_SECONDS = 30.0
"""Maximum delay before the caller resends a shed request, in seconds."""
_LOGGER = core.get_logger('callers')


class Admission:
    """Queues generations in priority order until an engine has capacity.

    Args:
        clock: Clock for deadlines and waits.
        view: Targets and their load.
        lengths: Length estimates of answers.
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
        """Number of queued generations."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def models(self) -> list[str]:
        """Models that have a queue on this VM."""
        return list(self._queues)

    def apply_deployment(self, deployment: core.Deployment) -> None:
        """Apply the policy weights of a new configuration."""
        self._weights = deployment.weights
        self._dispatch_models(self._queues)

    async def admit(
        self, request: _admission_queue.AdmissionRequest
    ) -> _admission_queue.AdmissionResult:
        """Wait until the generation is placed on a target or shed.

        The caller must pass an `Admitted` to `release` when the generation
        has ended. Cancellation removes the request from the queue and
        releases any placement that it already has.

        Args:
            request: The generation to admit.

        Returns:
            The placement, or why the request was shed.
        """
        waiter = self._enqueue(request)
        try:
            while waiter.result is None:
                await self._wait(waiter)
        except BaseException:
            self._cancel(waiter)
            raise
        return waiter.result

    def release(self, admitted: _admission_queue.Admitted) -> None:
        """Release the capacity of a generation that has ended."""
        self._view.end(admitted.send)

    def _enqueue(
        self, request: _admission_queue.AdmissionRequest
    ) -> _admission_queue.Waiter:
        """Place a request immediately, shed it or leave it in the queue."""
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
            # Callers choose model names freely: keeping a queue for each
            # unknown name would let memory grow without bound.
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
        expected = self._lengths.estimate_remaining(
            placement.workspace, placement.model, 0
        )
        median = self._lengths.estimate_quantile(
            placement.workspace, placement.model, 0, 0.5
        )
        # The median decides whether the answer will probably end before the
        # deadline; the mean is skewed by a few long answers.
        if placement.hinted_tokens is not None:
            median = placement.hinted_tokens
        seconds_per_token = self._view.token_seconds or 0.0
        latest_start = request.deadline - seconds_per_token * min(
            median, limit
        )
        if placement.hinted_tokens is not None:
            expected = placement.hinted_tokens
        expected = min(expected, limit)
        due_at = queue.compute_due_time(request, expected, now)
        self._order += 1
        return _admission_queue.Waiter(
            request, expected, latest_start, now, due_at, self._order
        )

    def _shed_early(
        self,
        waiter: _admission_queue.Waiter,
        queue: _admission_queue.WaitQueue,
    ) -> None:
        """Shed a request that cannot start in time or exceeds the queue."""
        now = self._clock.now()
        limited = self._view.list_limited(waiter.request.placement.model)
        rate = sum(self._view.get_limit(name) or 0.0 for name in limited)
        wait = queue.estimate_wait(waiter.due_at, now, rate or math.inf)
        full = len(queue) > MAX_WAITING_PER_MODEL
        late = wait is not None and now + wait > waiter.latest_start
        if full or late or waiter.latest_start <= now:
            self._shed(waiter, wait or 0.0)

    async def _wait(self, waiter: _admission_queue.Waiter) -> None:
        """Wait for a result, the latest start time or the next recheck."""
        now = self._clock.now()
        if waiter.latest_start <= now:
            self._shed(waiter, 0.0)
            return
        if waiter.recheck_at <= now:
            waiter.recheck_at = math.inf
            self._dispatch(waiter.request.placement.model)
            return
        waiter.sleeps_until = min(waiter.latest_start, waiter.recheck_at)
        async with anyio.create_task_group() as group:
            group.start_soon(self._wake_at, waiter, waiter.sleeps_until)
            await waiter.event.wait()
            group.cancel_scope.cancel()
        waiter.event = anyio.Event()
        waiter.sleeps_until = -math.inf

    async def _wake_at(
        self, waiter: _admission_queue.Waiter, until: float
    ) -> None:
        await self._clock.sleep_until(until)
        waiter.event.set()

    def _cancel(self, waiter: _admission_queue.Waiter) -> None:
        """Remove a waiter whose caller has disconnected."""
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
        """Place waiters in order; smaller ones may overtake larger ones."""
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
        if first is not None and first.recheck_at < first.sleeps_until:
            # Only the first waiter rechecks at a time. Its task sleeps beyond
            # that time, so it is woken to compute a new one.
            first.event.set()

    def _place_waiters(self, queue: _admission_queue.WaitQueue) -> None:
        now = self._clock.now()
        # Requests for other regions compete for other engines, so they do
        # not hold one another up.
        by_regions: dict[core.Regions, list[tuple[int, float]]] = {}
        exhausted = 0
        for waiter in queue:
            unplaced = by_regions.setdefault(
                waiter.request.placement.regions, []
            )
            if len(unplaced) >= MAX_SKIPPED:
                continue
            priority = waiter.get_aged_priority(now)
            if any(
                priority <= other and waiter.size >= size
                for other, size in unplaced
            ):
                continue
            if self._try_place(waiter, priority, queue):
                continue
            if len(unplaced) + 1 >= MAX_SKIPPED:
                exhausted += 1
                if exhausted >= queue.restrictions:
                    return
            overdue = now > waiter.due_at + MAX_OVERTAKING_SECONDS
            placement = waiter.request.placement
            if overdue:
                unplaced.append((priority, 0.0))
            elif placement.suspect or placement.excluded:
                # Targets that this request must avoid may have capacity for
                # any other request, whatever its size.
                unplaced.append((priority, math.inf))
            else:
                unplaced.append((priority, waiter.size))

    def _try_place(
        self,
        waiter: _admission_queue.Waiter,
        priority: int,
        queue: _admission_queue.WaitQueue,
    ) -> bool:
        """Place or refuse a waiter; return False if no engine has capacity."""
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
            case targets.NoRoom(retry_at=recheck_at):
                waiter.recheck_at = recheck_at
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
            placement.parts,
            placement.objectives.gap_seconds,
        )
        self._metrics.count('admission.admitted')
        _LOGGER.info(
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
        reason = 'no capacity before its deadline'
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
        _LOGGER.info(
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
            # Only the first waiter rechecks at a time, so the new first one
            # rechecks now and schedules the next time itself.
            queue.first.recheck_at = self._clock.now()
            queue.first.event.set()
