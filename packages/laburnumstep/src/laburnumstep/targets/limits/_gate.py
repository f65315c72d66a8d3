"""The gate that each request to a target passes before it is sent."""

from __future__ import annotations

import math
import random
import typing

import anyio
import attrs

from laburnumstep import core
from laburnumstep.targets import _event_rate
from laburnumstep.targets.limits import _permits

if typing.TYPE_CHECKING:
    from laburnumstep.targets.limits import _knowledge

PREFETCH_SECONDS = 0.25
"""Time for which permits are requested in advance, in seconds, at the rate at
which this VM uses them."""
MAX_PERMITS = 64
"""Most permits that are requested at once."""

_LOGGER = core.get_logger('targets')


@attrs.define
class _GateState:
    """Permits of one target on this VM."""

    lock: anyio.Lock = attrs.field(factory=anyio.Lock)
    """Held while permits are requested."""
    waiting: int = 0
    """Number of requests that wait for a permit."""
    permits: int = 0
    """Number of permits left."""
    permits_until: float = 0.0
    """When the permits expire, in epoch seconds."""
    withheld_until: float = 0.0
    """Until when no permit is available, in epoch seconds."""
    safe_from: float | None = None
    """When the next request may be sent without a permit of another VM, in
    epoch seconds; None as long as permits are issued."""
    used: _event_rate.EventRate = attrs.field(
        factory=lambda: _event_rate.EventRate(2.0)
    )
    """Rate at which this VM uses permits."""


class PermitGate:
    """Lets requests to limited targets pass only with a permit.

    Args:
        target_limits: The limits known to this VM.
        source: Issues permits for all VMs together.
        clock: Clock of the permits.
        metrics: Counts permits.
        rng: Source of random numbers.
    """

    def __init__(
        self,
        target_limits: _knowledge.TargetLimits,
        source: _permits.PermitSource,
        clock: core.Clock,
        metrics: core.Metrics,
        rng: random.Random | None = None,
    ) -> None:
        self._target_limits = target_limits
        self._source = source
        self._clock = clock
        self._metrics = metrics
        self._rng = rng if rng is not None else random.Random()
        self._states: dict[str, _GateState] = {}
        target_limits.subscribe(self._handle_change)

    async def acquire(self, target: str) -> _permits.Withheld | None:
        """Use one permit to send a request to a target.

        Args:
            target: Name of the target.

        Returns:
            Until when no permit is available, or None if the request may be
            sent now.
        """
        if self._target_limits.find_rate(target) is None:
            return None
        state = self._states.setdefault(target, _GateState())
        state.waiting += 1
        try:
            async with state.lock:
                withheld = await self._acquire(target, state)
        finally:
            state.waiting -= 1
        name = 'used' if withheld is None else 'withheld'
        self._metrics.count(f'permits.{name}')
        return withheld

    def estimate_rate(self, target: str) -> float:
        """Estimate the permits a second that this VM can expect for a target.

        Args:
            target: Name of a limited target.
        """
        rate = self._target_limits.find_rate(target) or 0.0
        equal = rate / max(1, self._source.count_vms())
        state = self._states.get(target)
        if state is None:
            return equal
        return min(rate, max(equal, state.used.measure(self._clock.now())))

    async def _acquire(
        self, target: str, state: _GateState
    ) -> _permits.Withheld | None:
        known = self._target_limits.find(target)
        now = self._clock.now()
        if known is None or known.rate is None:
            return None
        if state.permits and now < state.permits_until:
            self._use_permit(state, now)
            return None
        if now < state.withheld_until:
            return _permits.Withheld(state.withheld_until)
        result = await self._source.request(
            _permits.PermitRequest(
                target, known, self._count_wanted(state, now)
            )
        )
        now = self._clock.now()
        match result:
            case _permits.Granted():
                state.safe_from = None
                state.permits = result.count
                state.permits_until = result.until
                self._use_permit(state, now)
                return None
            case _permits.Withheld():
                state.safe_from = None
                state.withheld_until = result.until
                return result
            case _permits.Unanswered():
                return self._use_safe_share(target, state, known.rate, now)
            case _:
                typing.assert_never(result)

    def _use_permit(self, state: _GateState, now: float) -> None:
        state.permits -= 1
        state.used.record(now)

    def _count_wanted(self, state: _GateState, now: float) -> int:
        expected = state.used.measure(now) * PREFETCH_SECONDS
        return min(max(state.waiting, math.floor(expected)), MAX_PERMITS)

    def _use_safe_share(
        self, target: str, state: _GateState, rate: float, now: float
    ) -> _permits.Withheld | None:
        """Send at a fraction of an equal share of the limit."""
        fraction = self._target_limits.find_pacing(target).safe_fraction
        interval = self._source.count_vms() / (rate * fraction)
        if state.safe_from is None:
            # VMs that lose the issuer at the same time begin at different
            # ones.
            state.safe_from = now + self._rng.uniform(0.0, interval)
            _LOGGER.info(
                'permits are not issued; target=%s one_each_s=%.3f',
                target,
                interval,
            )
        state.safe_from = min(state.safe_from, now + interval)
        if now < state.safe_from:
            return _permits.Withheld(state.safe_from)
        state.safe_from = now + interval
        return None

    def _handle_change(
        self, target: str, named: _knowledge.KnownLimit
    ) -> None:
        """Ask anew after a limit has changed; forget it after its end."""
        state = self._states.get(target)
        if state is None:
            return
        state.withheld_until = 0.0
        if named.rate is None and not state.waiting:
            del self._states[target]
