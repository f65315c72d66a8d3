"""How much of an engine's memory is planned for."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep import core


@attrs.frozen
class MemoryPolicy:
    """Bounds on the memory that placement plans for."""

    quantile: float
    """Quantile of the remaining lengths."""
    threshold: float
    """Part of the memory that may be expected to be in use."""

    @classmethod
    def weigh(cls, weights: core.PolicyWeights) -> MemoryPolicy:
        """Derive the policy from the weights of a deployment.

        Weight on preemptions plans for longer answers and leaves more
        memory free; weight on stall time admits sooner.
        """
        total = weights.stall + weights.preemption + weights.tail
        caution = weights.preemption / total if total > 0 else 1 / 3
        return cls(0.5 + 0.3 * caution, 0.98 - 0.1 * caution)
