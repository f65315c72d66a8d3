"""Load reports of model engines."""

from __future__ import annotations

import attrs


@attrs.frozen
class LoadReport:
    """What an engine reports of its load, with a lag."""

    measured_at: float
    """When the engine measured it, in epoch seconds."""
    running: int
    """Generations in the batch."""
    waiting: int
    """Generations that wait for memory on the engine."""
    kv_used: int
    """Memory in use by running generations, in tokens."""
    kv_total: int
    """Memory for running generations, in tokens."""
    preemptions: int
    """Preemptions since the engine started."""
    models: list[str]
    """Models that are loaded."""
    reclaim_at: float | None = None
    """When the platform takes the engine back, in epoch seconds."""
    versions: dict[str, str] = attrs.field(factory=dict)
    """Version of each loaded model, where the engine reports it."""
