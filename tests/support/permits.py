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


def make_limits(clock: core.Clock) -> limits.TargetLimits:
    """Return the knowledge of a VM that has heard of no limit."""
    return limits.TargetLimits(clock, core.Metrics(None, ''))


def make_open_gate(clock: core.Clock) -> limits.PermitGate:
    """Return a gate that lets all requests pass."""
    return limits.PermitGate(
        make_limits(clock), NoIssuer(), clock, core.Metrics(None, '')
    )
