"""Load reports of model engines."""

from __future__ import annotations

import attrs


@attrs.frozen
class LoadReport:
    """Load of an engine as it reports it, with a lag."""

    measured_at: float
    """When the engine measured its load, in epoch seconds."""
    running: int
    """Number of generations in the running batch."""
    waiting: int
    """Number of generations that wait for memory on the engine."""
    kv_used: int
    """Memory in use by running generations, in tokens."""
    kv_total: int
    """Memory for running generations, in tokens."""
    preemptions: int
    """Number of preemptions since the engine started."""
    models: list[str]
    """Names of the loaded models."""
    reclaim_at: float | None = None
    """When the platform reclaims the engine, in epoch seconds; None if no
    reclaim is announced."""
    versions: dict[str, str] = attrs.field(factory=dict)
    """Version of each loaded model by name, empty if not reported."""
