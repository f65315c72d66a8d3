"""How strictly the permits of a target keep to its rate."""

from __future__ import annotations

import attrs


@attrs.frozen
class Pacing:
    """Parameters of the permits of one kind of limit."""

    burst_seconds: float
    """Unused permits of this time are kept, in seconds."""
    burst_permits: float
    """Unused permits that are kept in addition. The VMs that want one may
    take a moment to ask again."""
    lease_seconds: float
    """How long permits may be used after they were issued, in seconds."""
    takeover_fraction: float
    """Fraction of the permits that a new owner of a target issues for a
    while. VMs that have not noticed the change may still receive permits from
    the former owner."""
    safe_fraction: float
    """Fraction of an equal share that a VM uses if it cannot reach the VM that
    issues permits. That VM does not know about it and issues all of them."""
    trusts_begin: bool
    """Whether a VM that sees a limit begin issues all permits at once."""

    def compute_capacity(self, rate: float) -> float:
        """Return the most unused permits that are kept.

        Args:
            rate: Permits a second.
        """
        return rate * self.burst_seconds + self.burst_permits


NAMED_PACING = Pacing(
    burst_seconds=0.25,
    burst_permits=3,
    lease_seconds=0.25,
    takeover_fraction=0.5,
    safe_fraction=0.5,
    trusts_begin=True,
)
"""For limits that targets name. They are kept over four seconds."""
COLD_PACING = Pacing(
    burst_seconds=0.1,
    burst_permits=2,
    lease_seconds=0.15,
    takeover_fraction=0.3,
    safe_fraction=0.3,
    trusts_begin=False,
)
"""For cold targets, whose limit holds in each second. A former and a new owner
issue 1.3 times the rate together; with two bursts and the permits of the
lease and of requests on their way, the arrivals of a second stay below 1.5
times the limit and five."""
