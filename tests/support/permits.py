"""Gates for tests in which no target has a limit."""

from __future__ import annotations

from laburnumstep import core
from laburnumstep.targets import limits


class NoIssuer:
    """Issues no permits, as `limits.PermitSource` of one VM."""

    async def request(
        self, wanted: limits.PermitRequest
    ) -> limits.PermitResult:
        return limits.Unanswered()

    def count_vms(self) -> int:
        return 1


def make_open_gate(clock: core.Clock) -> limits.PermitGate:
    """Return a gate that lets all requests pass."""
    metrics = core.Metrics(None, '')
    return limits.PermitGate(
        limits.TargetLimits(clock, metrics), NoIssuer(), clock, metrics
    )
