"""Choice of the engine to which a run is copied.

When an engine leaves, several VMs copy its runs at the same time and compare
the same reports. They would all choose the emptiest engine, so each of them
draws one, by the room that remains there.
"""

from __future__ import annotations

import typing

import attrs

from laburnumstep.targets import _forecast
from laburnumstep.targets import _lengths

if typing.TYPE_CHECKING:
    import random

    from laburnumstep.targets import _states

COPY_MEMORY_FRACTION = 0.97
"""Maximum utilization of an engine's memory with a copied run, at its
peak."""


@attrs.frozen
class CopiedRun:
    """A run of which a copy is made."""

    workspace: str
    """Name of the workspace."""
    model: str
    """Name of the model."""
    kv_tokens: float
    """Memory that it uses, in tokens."""
    remaining: float
    """Expected length of the rest of its answer, in tokens."""


@attrs.frozen
class CopyRoom:
    """Room of an engine for a copy of a run."""

    name: str
    """Name of the engine."""
    near: bool
    """Whether it is in the data centre of the run."""
    free_later: float
    """Memory that stays free at the peak with the run, in tokens; negative
    if the memory will not be enough."""
    free_now: float
    """Memory that is free now with the run, in tokens."""
    memory: float = 1.0
    """Memory of the engine, in tokens."""

    @property
    def utilization(self) -> float:
        """Fraction of the memory in use at the peak with the run."""
        return COPY_MEMORY_FRACTION - self.free_later / max(1.0, self.memory)


def estimate_remaining(
    lengths: _lengths.LengthEstimator,
    workspace: str,
    model: str,
    tokens: int,
    quantile: float,
    hinted: float | None,
    most: float,
) -> float:
    """Return the expected length of the rest of an answer, in tokens.

    Args:
        lengths: Observed lengths of answers.
        workspace: Name of the workspace.
        model: Name of the model.
        tokens: Length so far, in tokens.
        quantile: Quantile of the lengths, from 0 to 1.
        hinted: Length that the caller expects, if given.
        most: Upper bound of the length.
    """
    total = hinted or 0.0
    if total <= tokens:
        bucket = _lengths.get_bucket(tokens)
        total = lengths.estimate_total(workspace, model, bucket, quantile)
    return max(0.0, min(total, most) - tokens)


def measure_room(
    state: _states.TargetState,
    run: CopiedRun,
    lengths: _lengths.LengthEstimator,
    quantile: float,
    near: bool,
    now: float,
) -> CopyRoom:
    """Return the room of an engine for a copy.

    Runs that this VM or, as far as known, another one sends to the engine are
    counted from the moment they are sent.

    Args:
        state: State of the engine.
        run: The run.
        lengths: Observed lengths of answers.
        quantile: Quantile of the lengths, from 0 to 1.
        near: Whether it is in the data centre of the run.
        now: Current time, in epoch seconds.
    """
    load = state.estimate_load(now)
    limit = COPY_MEMORY_FRACTION * state.memory
    peak = _forecast.forecast_peak(
        state,
        load,
        lengths,
        quantile,
        (run.kv_tokens, run.remaining),
        run.model,
    )
    return CopyRoom(
        state.declared.name,
        near,
        limit - peak,
        limit - load.kv_used - run.kv_tokens,
        float(state.memory),
    )


def draw_destination(
    rooms: list[CopyRoom], rng: random.Random
) -> CopyRoom | None:
    """Return the engine to which a run is copied, or None if none has room.

    Engines in the data centre of the run come first: a copy within it takes
    half as long. Engines whose memory is enough until the run ends are
    preferred to those where it is enough for now only, where a run may be
    preempted later.

    Args:
        rooms: The engines.
        rng: Source of random numbers.
    """
    for later in (True, False):
        for near in (True, False):
            fitting = [
                room
                for room in rooms
                if room.near is near and _get_free(room, later) >= 0
            ]
            if fitting:
                weights = [1.0 + _get_free(room, later) for room in fitting]
                return rng.choices(fitting, weights)[0]
    return None


def _get_free(room: CopyRoom, later: bool) -> float:
    return room.free_later if later else room.free_now
