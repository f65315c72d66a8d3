"""Limits of workspaces that hold across the VMs of a deployment."""

from __future__ import annotations

import math
import typing

import attrs

from laburnumstep.callers import _shares
from laburnumstep import core

BURST_SECONDS = 1.0
"""Time over which a rate is averaged, in seconds."""
CONCURRENCY_RETRY_SECONDS = 1.0
"""When to resend after too many requests in progress, in seconds."""
QUIET_PART = 0.5
"""Part of an equal share below which a demand is not worth reporting."""


@attrs.frozen
class Allowed:
    """The request is within the limits and counts as in progress."""


@attrs.frozen
class Refused:
    """The request is over a limit and was not counted."""

    code: core.ErrorCode
    """Why it is refused."""
    resend_at: float
    """Earliest time to send it again, in epoch seconds."""


LimitResult = Allowed | Refused


@attrs.define
class _Bucket:
    """Tokens that come back at a rate, up to a burst."""

    available: float
    updated_at: float

    def refill(self, rate: float, burst: float, now: float) -> None:
        gained = max(0.0, now - self.updated_at) * rate
        self.available = min(burst, self.available + gained)
        self.updated_at = max(self.updated_at, now)


@attrs.define
class _Usage:
    """One workspace's use on this VM."""

    requests: _Bucket
    tokens: _Bucket
    measured_at: float
    share: _shares.Share | None = None
    in_progress: int = 0
    peak: int = 0
    attempts: int = 0
    generated: int = 0
    refused: int = 0


class WorkspaceLimits:
    """Holds this VM's part of each workspace's limits.

    Args:
        clock: Tells when shares expire.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._workspaces: dict[str, core.Workspace] = {}
        self._usages: dict[str, _Usage] = {}
        self._known_vms = 1

    def apply_deployment(self, deployment: core.Deployment) -> None:
        """Use the limits of a new configuration."""
        self._workspaces = deployment.workspaces
        for name in list(self._usages):
            if name not in self._workspaces:
                del self._usages[name]

    def set_known_vms(self, count: int) -> None:
        """Set how many VMs share the limits, this one included."""
        self._known_vms = max(1, count)

    def set_share(self, workspace: str, fraction: float, until: float) -> None:
        """Use a part of a workspace's limits until a deadline.

        Args:
            workspace: Name of the workspace.
            fraction: From 0 to 1.
            until: In epoch seconds; an equal share holds afterwards. A
                share that expires before the one held is a late one.
        """
        if workspace not in self._workspaces:
            return
        usage = self._find_usage(workspace, self._clock.now())
        if usage.share is None or until >= usage.share.until:
            usage.share = _shares.Share(fraction, until)

    def try_begin(self, workspace: str, now: float) -> LimitResult:
        """Count a request that begins, unless a limit is reached."""
        limits = self._workspaces.get(workspace)
        if limits is None:
            return Refused(core.ErrorCode.UNAUTHORIZED, now)
        usage = self._find_usage(workspace, now)
        usage.attempts += 1
        usage.peak = max(usage.peak, usage.in_progress + 1)
        result = self._check(limits, usage, now)
        match result:
            case Allowed():
                usage.requests.available -= 1
                usage.in_progress += 1
            case Refused():
                usage.refused += 1
            case _ as other:
                typing.assert_never(other)
        return result

    def _check(
        self, limits: core.Workspace, usage: _Usage, now: float
    ) -> LimitResult:
        fraction = self._get_fraction(usage, now)
        if usage.in_progress >= self._limit_concurrency(limits, usage, now):
            return _refuse(now + CONCURRENCY_RETRY_SECONDS)
        rate = limits.tokens_per_second * fraction
        usage.tokens.refill(rate, max(1.0, rate * BURST_SECONDS), now)
        if usage.tokens.available <= 0:
            return _refuse(_find_refill(usage.tokens, 0.0, rate, now))
        rate = limits.requests_per_second * fraction
        usage.requests.refill(rate, max(1.0, rate * BURST_SECONDS), now)
        if usage.requests.available < 1:
            return _refuse(_find_refill(usage.requests, 1.0, rate, now))
        return Allowed()

    def record_tokens(self, workspace: str, count: int) -> None:
        """Count generated tokens.

        A stream in progress may overdraw: its length is not known before,
        and it is not interrupted. The debt delays later requests.
        """
        usage = self._usages.get(workspace)
        if usage is not None:
            usage.tokens.available -= count
            usage.generated += count

    def end(self, workspace: str) -> None:
        """Count the end of a request that was allowed."""
        usage = self._usages.get(workspace)
        if usage is not None and usage.in_progress > 0:
            usage.in_progress -= 1

    def get_fraction(self, workspace: str, now: float) -> float:
        """Return the part of the limits that holds on this VM."""
        usage = self._usages.get(workspace)
        if usage is None:
            return 1.0 / self._known_vms
        return self._get_fraction(usage, now)

    def measure_demands(self, now: float) -> dict[str, _shares.Demand]:
        """Return the demand of each workspace since the last call.

        Workspaces that need less than `QUIET_PART` of an equal share are
        left out, unless they hold a share, whose aggregator waits for a
        confirmation. So most workspaces cause no traffic between VMs.
        """
        demands = {}
        for name, usage in self._usages.items():
            fraction = self._get_fraction(usage, now)
            amount = _measure(self._workspaces[name], usage, fraction, now)
            held = usage.share
            if held is not None and held.until <= now:
                held = usage.share = None
            quiet = amount * self._known_vms < QUIET_PART
            if held is not None or not quiet:
                demands[name] = _shares.Demand(amount, held)
        return demands

    def _get_fraction(self, usage: _Usage, now: float) -> float:
        if usage.share is not None and usage.share.until > now:
            return usage.share.fraction
        return 1.0 / self._known_vms

    def _limit_concurrency(
        self, limits: core.Workspace, usage: _Usage, now: float
    ) -> int:
        share = usage.share
        if share is not None and share.until > now:
            return math.floor(limits.concurrency * share.fraction + 1e-9)
        # Without a share, a VM may run one request even where the equal
        # share is less than one; otherwise it would refuse all of them.
        return max(1, limits.concurrency // self._known_vms)

    def _find_usage(self, workspace: str, now: float) -> _Usage:
        usage = self._usages.get(workspace)
        if usage is None:
            limits = self._workspaces[workspace]
            part = BURST_SECONDS / self._known_vms
            usage = _Usage(
                _Bucket(max(1.0, limits.requests_per_second * part), now),
                _Bucket(max(1.0, limits.tokens_per_second * part), now),
                now,
            )
            self._usages[workspace] = usage
        return usage


def _measure(
    limits: core.Workspace, usage: _Usage, fraction: float, now: float
) -> float:
    """Return the wanted part of the limits, and begin a new measurement."""
    seconds = max(now - usage.measured_at, 0.1)
    amount = max(
        usage.attempts / seconds / max(limits.requests_per_second, 1e-9),
        usage.generated / seconds / max(limits.tokens_per_second, 1e-9),
        usage.peak / max(limits.concurrency, 1),
    )
    if usage.refused:
        # What is refused does not show in the use, which stays at the
        # share held; so the demand is taken to be twice that.
        amount = max(amount, 2.0 * fraction)
    usage.measured_at = now
    usage.attempts = usage.generated = usage.refused = 0
    usage.peak = usage.in_progress
    return amount


def _refuse(resend_at: float) -> Refused:
    return Refused(core.ErrorCode.LIMIT_EXCEEDED, resend_at)


def _find_refill(
    bucket: _Bucket, wanted: float, rate: float, now: float
) -> float:
    if rate <= 0:
        return now + CONCURRENCY_RETRY_SECONDS
    return now + max(0.0, wanted - bucket.available) / rate
