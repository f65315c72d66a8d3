"""Limits on the memory of an engine that placement may use."""

from __future__ import annotations

import attrs

from laburnumstep import core


@attrs.frozen
class MemoryPolicy:
    """Limits on the expected memory use of an engine."""

    quantile: float
    """Quantile of the length estimates, from 0 to 1."""
    threshold: float
    """Fraction of the memory that may be expected to be in use."""
    reserve: float
    """Fraction of the memory, below `threshold`, that requests of low priority
    must leave free."""

    @classmethod
    def from_weights(cls, weights: core.PolicyWeights) -> MemoryPolicy:
        """Derive the policy from the weights of a deployment.

        A higher weight of preemptions uses a higher quantile of the lengths
        and leaves more memory free. A higher weight of stall time reserves
        more memory for requests that are not of low priority, which costs
        some goodput. docs/decisions.md gives the figures behind the
        numbers.

        Args:
            weights: Weights of the deployment.
        """
        total = weights.stall + weights.preemption + weights.tail
        if total <= 0:
            weights, total = core.PolicyWeights(1.0, 1.0, 1.0), 3.0
        preemption_weight = weights.preemption / total
        stall_weight = weights.stall / total
        return cls(
            0.5 + 0.3 * preemption_weight,
            0.98 - 0.1 * preemption_weight,
            0.2 + 0.25 * stall_weight,
        )

    def get_memory_fraction(self, priority: int) -> float:
        """Return the fraction of the memory that may be in use.

        Requests of high priority are usually short and may use half of the
        memory above the threshold.

        Args:
            priority: Priority of the request to be placed; 0 is normal.
        """
        if priority < 0:
            return self.threshold - self.reserve
        if priority > 0:
            return (1.0 + self.threshold) / 2
        return self.threshold
