"""Limits of workspaces that hold across the VMs of a deployment."""

from __future__ import annotations

import math

import attrs

from laburnumstep import core

BURST_SECONDS = 1.0
"""Time over which a rate is averaged, in seconds."""
CONCURRENCY_RETRY_SECONDS = 1.0
"""When to resend after too many requests in progress, in seconds."""


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
    in_progress: int = 0
    fraction: float = 0.0
    share_until: float = 0.0
    demanded: float = 0.0


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
            until: In epoch seconds; an equal share holds afterwards.
        """
        if workspace in self._workspaces:
            usage = self._find_usage(workspace, self._clock.now())
            usage.fraction = fraction
            usage.share_until = until

    def try_begin(self, workspace: str, now: float) -> LimitResult:
        """Count a request that begins, unless a limit is reached."""
        limits = self._workspaces.get(workspace)
        if limits is None:
            return Refused(core.ErrorCode.UNAUTHORIZED, now)
        usage = self._find_usage(workspace, now)
        usage.demanded += 1
        fraction = self.get_fraction(workspace, now)
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
        usage.requests.available -= 1
        usage.in_progress += 1
        return Allowed()

    def record_tokens(self, workspace: str, count: int) -> None:
        """Count generated tokens.

        A stream in progress may overdraw: its length is not known before,
        and it is not interrupted. The debt delays later requests.
        """
        usage = self._usages.get(workspace)
        if usage is not None:
            usage.tokens.available -= count

    def end(self, workspace: str) -> None:
        """Count the end of a request that was allowed."""
        usage = self._usages.get(workspace)
        if usage is not None and usage.in_progress > 0:
            usage.in_progress -= 1

    def get_fraction(self, workspace: str, now: float) -> float:
        """Return the part of the limits that holds on this VM."""
        usage = self._usages.get(workspace)
        if usage is not None and usage.share_until > now:
            return usage.fraction
        return 1.0 / self._known_vms

    def _limit_concurrency(
        self, limits: core.Workspace, usage: _Usage, now: float
    ) -> int:
        if usage.share_until > now:
            return math.floor(limits.concurrency * usage.fraction + 1e-9)
        # Cut off, a VM may run one request even where the equal share is
        # less than one; otherwise it would refuse all of them.
        return max(1, limits.concurrency // self._known_vms)

    def _find_usage(self, workspace: str, now: float) -> _Usage:
        usage = self._usages.get(workspace)
        if usage is None:
            limits = self._workspaces[workspace]
            part = BURST_SECONDS / self._known_vms
            usage = _Usage(
                _Bucket(max(1.0, limits.requests_per_second * part), now),
                _Bucket(max(1.0, limits.tokens_per_second * part), now),
            )
            self._usages[workspace] = usage
        return usage


def _refuse(resend_at: float) -> Refused:
    return Refused(core.ErrorCode.LIMIT_EXCEEDED, resend_at)


def _find_refill(
    bucket: _Bucket, wanted: float, rate: float, now: float
) -> float:
    if rate <= 0:
        return now + CONCURRENCY_RETRY_SECONDS
    return now + max(0.0, wanted - bucket.available) / rate
