"""How much of an engine's memory is planned for."""

from __future__ import annotations

import attrs

from laburnumstep import core


@attrs.frozen
class MemoryPolicy:
    """Bounds on the memory that placement plans for."""

    quantile: float
    """Quantile of the remaining lengths."""
    threshold: float
    """Part of the memory that may be expected to be in use."""
    reserve: float
    """Part of that which requests of low priority leave free."""

    @classmethod
    def weigh(cls, weights: core.PolicyWeights) -> MemoryPolicy:
        """Derive the policy from the weights of a deployment.

        Weight on preemptions plans for longer answers and leaves more
        memory free. Weight on stall time keeps more room for requests
        that callers watch; it costs some goodput. docs/decisions.md gives
        the figures behind the numbers.
        """
        total = weights.stall + weights.preemption + weights.tail
        if total <= 0:
            weights, total = core.PolicyWeights(1.0, 1.0, 1.0), 3.0
        caution = weights.preemption / total
        haste = weights.stall / total
        return cls(
            0.5 + 0.3 * caution,
            0.98 - 0.1 * caution,
            0.2 + 0.25 * haste,
        )

    def find_limit(self, priority: int) -> float:
        """Return the part of the memory that a request may fill.

        Requests of high priority are short as a rule and may use half of
        what the threshold leaves.
        """
        if priority < 0:
            return self.threshold - self.reserve
        if priority > 0:
            return (1.0 + self.threshold) / 2
        return self.threshold
