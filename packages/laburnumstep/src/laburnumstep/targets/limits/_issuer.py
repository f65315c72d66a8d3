"""Issues the permits of the limited targets that this VM owns."""

from __future__ import annotations

import math
import random
import typing

import attrs

from laburnumstep.targets.limits import _bucket
from laburnumstep.targets.limits import _knowledge
from laburnumstep.targets.limits import _pacing
from laburnumstep.targets.limits import _permits
from laburnumstep.targets.limits import _words

if typing.TYPE_CHECKING:
    from laburnumstep import core

TAKEOVER_SECONDS = 3.0
"""How long a VM that has just become the owner of a target issues a part of
its permits, in seconds."""
IDLE_SECONDS = 10.0
"""Time without a request after which the permits of a target are forgotten, in
seconds."""
SETTLED_SECONDS = 10.0
"""How long a VM must have run to know that a limit it learns of is new, in
seconds."""
MAX_ASKS_PER_SECOND = 50.0
"""Questions a second, about one target, up to which VMs are told to ask again
as soon as a permit is available."""


@attrs.define
class _Issued:
    """State of the permits of one target."""

    bucket: _bucket.PermitBucket
    owned_from: float
    """When this VM began to issue them, in epoch seconds."""
    asked_at: float
    """When a VM last asked, in epoch seconds."""
    askers: dict[str, float] = attrs.field(factory=dict)
    """When each VM last asked, in epoch seconds."""


class PermitIssuer:
    """Issues permits at the rate that a target has named.

    Args:
        target_limits: The limits known to this VM.
        clock: Clock of the rates.
        rng: Source of random numbers.
    """

    def __init__(
        self,
        target_limits: _knowledge.TargetLimits,
        clock: core.Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._target_limits = target_limits
        self._clock = clock
        self._rng = rng if rng is not None else random.Random()
        self._issued: dict[str, _Issued] = {}
        self._started_at = clock.now()

    def issue(
        self, wanted: _permits.PermitRequest, vm: str
    ) -> _permits.PermitAnswer:
        """Answer a request for permits.

        Args:
            wanted: The request.
            vm: Name of the VM that asks.
        """
        self._target_limits.merge(wanted.target, wanted.limit, vm)
        now = self._clock.now()
        pacing = self._find_pacing(wanted, now)
        issued = self._find_issued(wanted.target, now, pacing)
        issued.asked_at = issued.askers[vm] = now
        rate = self._find_rate(wanted, issued, now, pacing)
        count = issued.bucket.take(
            max(1, wanted.count), rate, now, pacing.compute_capacity(rate)
        )
        if count:
            return _permits.Granted(count, now + pacing.lease_seconds)
        return _permits.Withheld(self._schedule_return(issued, rate, now))

    def _find_pacing(
        self, wanted: _permits.PermitRequest, now: float
    ) -> _pacing.Pacing:
        """Return the pacing of a target; the VM that asks may know better."""
        if _is_unnamed(wanted.limit, now):
            return _pacing.COLD_PACING
        return self._target_limits.find_pacing(wanted.target)

    def _find_issued(
        self, target: str, now: float, pacing: _pacing.Pacing
    ) -> _Issued:
        issued = self._issued.get(target)
        if issued is None or now >= issued.asked_at + IDLE_SECONDS:
            self._drop_idle(now)
            issued = self._issued[target] = self._make_issued(
                target, now, pacing
            )
        return issued

    def _make_issued(
        self, target: str, now: float, pacing: _pacing.Pacing
    ) -> _Issued:
        """Begin to issue the permits of a target.

        Another VM may have issued some a moment ago, unless the limit is new.
        """
        since = self._target_limits.find_begin(target)
        settled = since >= self._started_at + SETTLED_SECONDS
        new = settled and now < since + TAKEOVER_SECONDS
        if new and pacing.trusts_begin:
            bucket = _bucket.PermitBucket(now, pacing.burst_permits)
            return _Issued(bucket, -math.inf, now)
        return _Issued(_bucket.PermitBucket(now, 1), now, now)

    def _drop_idle(self, now: float) -> None:
        for target, issued in list(self._issued.items()):
            if now >= issued.asked_at + IDLE_SECONDS:
                del self._issued[target]

    def _find_rate(
        self,
        wanted: _permits.PermitRequest,
        issued: _Issued,
        now: float,
        pacing: _pacing.Pacing,
    ) -> float:
        """Return the permits a second that are issued now."""
        # A VM that still asks although the limit has ended keeps to it.
        known = self._target_limits.find_rate(wanted.target)
        rate = known or wanted.limit.rate or _words.MIN_RATE
        if wanted.limit.rate and _is_unnamed(wanted.limit, now):
            # This VM may not know yet that the target is cold.
            rate = min(rate, wanted.limit.rate)
        if now < issued.owned_from + TAKEOVER_SECONDS:
            return rate * pacing.takeover_fraction
        return rate

    def _schedule_return(
        self, issued: _Issued, rate: float, now: float
    ) -> float:
        """Return when a VM may ask again, in epoch seconds.

        The VMs of a large fleet return at different times, so that they do
        not all ask at the moment at which one permit is available.
        """
        oldest = now - IDLE_SECONDS
        issued.askers = {
            vm: at for vm, at in issued.askers.items() if at >= oldest
        }
        spread = len(issued.askers) / MAX_ASKS_PER_SECOND
        next_at = issued.bucket.find_next(rate)
        return next_at + self._rng.uniform(0.0, spread)


def _is_unnamed(limit: _knowledge.KnownLimit, now: float) -> bool:
    """Return whether a limit follows from the cold time of its target."""
    return now >= limit.named_at + _knowledge.LIMIT_SECONDS
