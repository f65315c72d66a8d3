"""Limits of workspaces, shared among the VMs of a deployment."""

from __future__ import annotations

import math
import typing

import attrs

from laburnumstep.callers import _shares
from laburnumstep import core

BURST_SECONDS = 1.0
"""Burst allowed by a rate limit, as seconds at that rate."""
CONCURRENCY_RESEND_SECONDS = 1.0
"""Delay before the caller resends after reaching the concurrency limit, in
seconds."""
MIN_REPORTED_FRACTION = 0.5
"""Fraction of an equal share below which a demand is not reported."""


@attrs.frozen
class Allowed:
    """The request is within the limits and is counted as in progress."""


@attrs.frozen
class Refused:
    """The request exceeds a limit and is not counted as in progress."""

    code: core.ErrorCode
    """Why it is refused."""
    resend_at: float
    """Earliest time for the caller to resend, in epoch seconds."""


LimitResult = Allowed | Refused


@attrs.define
class _TokenBucket:
    """Token bucket; its rate and burst are passed to each refill."""

    available: float
    updated_at: float

    def refill(self, rate: float, burst: float, now: float) -> None:
        refilled = max(0.0, now - self.updated_at) * rate
        self.available = min(burst, self.available + refilled)
        self.updated_at = max(self.updated_at, now)


@attrs.define
class _Usage:
    """Usage of one workspace on this VM."""

    requests: _TokenBucket
    tokens: _TokenBucket
    measured_at: float
    share: _shares.Share | None = None
    in_progress: int = 0
    peak_in_progress: int = 0
    arrivals: int = 0
    generated_tokens: int = 0
    refused: int = 0


class WorkspaceLimits:
    """Enforces this VM's share of the limits of each workspace.

    Args:
        clock: Clock for the expiry of shares.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._workspaces: dict[str, core.Workspace] = {}
        self._usages: dict[str, _Usage] = {}
        self._known_vms = 1

    def apply_deployment(self, deployment: core.Deployment) -> None:
        """Apply the limits of a new configuration."""
        self._workspaces = deployment.workspaces
        for name in list(self._usages):
            if name not in self._workspaces:
                del self._usages[name]

    def set_known_vms(self, count: int) -> None:
        """Set the number of VMs that share the limits, including this one."""
        self._known_vms = max(1, count)

    def set_share(self, workspace: str, fraction: float, until: float) -> None:
        """Apply a share of a workspace's limits until it expires.

        Args:
            workspace: Name of the workspace.
            fraction: Fraction of the limits, from 0 to 1.
            until: Expiry in epoch seconds; the VM uses an equal share
                afterwards. A share that expires before the present one was
                delayed on its way and is ignored.
        """
        if workspace not in self._workspaces:
            return
        usage = self._get_usage(workspace, self._clock.now())
        if usage.share is None or until >= usage.share.until:
            usage.share = _shares.Share(fraction, until)

    def try_begin(self, workspace: str, now: float) -> LimitResult:
        """Count a request as in progress unless it exceeds a limit.

        Args:
            workspace: Name of the workspace.
            now: The time, in epoch seconds.
        """
        limits = self._workspaces.get(workspace)
        if limits is None:
            return Refused(core.ErrorCode.UNAUTHORIZED, now)
        usage = self._get_usage(workspace, now)
        usage.arrivals += 1
        usage.peak_in_progress = max(
            usage.peak_in_progress, usage.in_progress + 1
        )
        result = self._check_limits(limits, usage, now)
        match result:
            case Allowed():
                usage.requests.available -= 1
                usage.in_progress += 1
            case Refused():
                usage.refused += 1
            case _ as other:
                typing.assert_never(other)
        return result

    def _check_limits(
        self, limits: core.Workspace, usage: _Usage, now: float
    ) -> LimitResult:
        fraction = self._get_fraction(usage, now)
        if usage.in_progress >= self._get_concurrency_limit(
            limits, usage, now
        ):
            return _refuse(now + CONCURRENCY_RESEND_SECONDS)
        rate = limits.tokens_per_second * fraction
        usage.tokens.refill(rate, max(1.0, rate * BURST_SECONDS), now)
        if usage.tokens.available <= 0:
            return _refuse(_get_refill_time(usage.tokens, 0.0, rate, now))
        rate = limits.requests_per_second * fraction
        usage.requests.refill(rate, max(1.0, rate * BURST_SECONDS), now)
        if usage.requests.available < 1:
            return _refuse(_get_refill_time(usage.requests, 1.0, rate, now))
        return Allowed()

    def record_tokens(self, workspace: str, count: int) -> None:
        """Count generated tokens.

        A stream in progress may exceed the limit, since its length is not
        known in advance and it is not interrupted. The bucket then becomes
        negative, which delays later requests.

        Args:
            workspace: Name of the workspace.
            count: Number of tokens.
        """
        usage = self._usages.get(workspace)
        if usage is not None:
            usage.tokens.available -= count
            usage.generated_tokens += count

    def end(self, workspace: str) -> None:
        """Remove an allowed request from those in progress."""
        usage = self._usages.get(workspace)
        if usage is not None and usage.in_progress > 0:
            usage.in_progress -= 1

    def get_fraction(self, workspace: str, now: float) -> float:
        """Return the fraction of the limits that this VM may use."""
        usage = self._usages.get(workspace)
        if usage is None:
            return 1.0 / self._known_vms
        return self._get_fraction(usage, now)

    def measure_demands(self, now: float) -> dict[str, _shares.Demand]:
        """Return the demand of each workspace since the last call.

        Workspaces that need less than `MIN_REPORTED_FRACTION` of an equal
        share are left out, so that most workspaces cause no traffic between
        VMs. A workspace with a share is always reported, since its
        aggregator waits for the share to be confirmed.

        Args:
            now: The time, in epoch seconds.
        """
        demands = {}
        for name, usage in self._usages.items():
            fraction = self._get_fraction(usage, now)
            amount = _measure_demand(
                self._workspaces[name], usage, fraction, now
            )
            held = usage.share
            if held is not None and held.until <= now:
                held = usage.share = None
            negligible = amount * self._known_vms < MIN_REPORTED_FRACTION
            if held is not None or not negligible:
                demands[name] = _shares.Demand(amount, held)
        return demands

    def _get_fraction(self, usage: _Usage, now: float) -> float:
        if usage.share is not None and usage.share.until > now:
            return usage.share.fraction
        return 1.0 / self._known_vms

    def _get_concurrency_limit(
        self, limits: core.Workspace, usage: _Usage, now: float
    ) -> int:
        share = usage.share
        if share is not None and share.until > now:
            return math.floor(limits.concurrency * share.fraction + 1e-9)
        # Without an allocated share a VM may run at least one request. If an
        # equal share is less than one request, all VMs would otherwise
        # refuse all of them.
        return max(1, limits.concurrency // self._known_vms)

    def _get_usage(self, workspace: str, now: float) -> _Usage:
        usage = self._usages.get(workspace)
        if usage is None:
            limits = self._workspaces[workspace]
            burst_fraction = BURST_SECONDS / self._known_vms
            usage = _Usage(
                _TokenBucket(
                    max(1.0, limits.requests_per_second * burst_fraction), now
                ),
                _TokenBucket(
                    max(1.0, limits.tokens_per_second * burst_fraction), now
                ),
                now,
            )
            self._usages[workspace] = usage
        return usage


def _measure_demand(
    limits: core.Workspace, usage: _Usage, fraction: float, now: float
) -> float:
    """Return the demand as a fraction of the limits and reset its counters."""
    seconds = max(now - usage.measured_at, 0.1)
    amount = max(
        usage.arrivals / seconds / max(limits.requests_per_second, 1e-9),
        usage.generated_tokens / seconds / max(limits.tokens_per_second, 1e-9),
        usage.peak_in_progress / max(limits.concurrency, 1),
    )
    if usage.refused:
        # Usage cannot exceed the current share, so it does not reflect the
        # refused requests. The demand is assumed to be twice the share.
        amount = max(amount, 2.0 * fraction)
    usage.measured_at = now
    usage.arrivals = usage.generated_tokens = usage.refused = 0
    usage.peak_in_progress = usage.in_progress
    return amount


def _refuse(resend_at: float) -> Refused:
    return Refused(core.ErrorCode.LIMIT_EXCEEDED, resend_at)


def _get_refill_time(
    bucket: _TokenBucket, wanted: float, rate: float, now: float
) -> float:
    if rate <= 0:
        return now + CONCURRENCY_RESEND_SECONDS
    return now + max(0.0, wanted - bucket.available) / rate
