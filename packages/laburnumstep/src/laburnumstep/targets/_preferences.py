"""Engines that are sampled first for a request, by their pace."""

from __future__ import annotations

import typing

import attrs

from laburnumstep.targets import _cost
from laburnumstep.targets import _lengths
from laburnumstep.targets import _results
from laburnumstep.targets import _view

if typing.TYPE_CHECKING:
    import random

LONG_CHANCE = 0.3
"""Chance that a prompt is prefilled beside a stream from which the stream
counts as long."""
MISS_CHANCE = 0.5
"""Chance to miss the objective of the time between events from which an
engine counts as slow."""
OVERSAMPLING = 3
"""Number of engines drawn for each one that is compared, if some are
preferred. Only the pace, which all VMs know alike and which does not follow
the load, decides among them, so VMs with the same reports still choose
different engines."""


@attrs.frozen
class Preference:
    """Engines that are sampled before others."""

    accepts: typing.Callable[[str], bool]
    """Returns whether an engine is sampled first."""
    count: int | None = None
    """How many engines are sampled first; None for as many as there are."""

    def select(self, names: list[str], count: int) -> list[str]:
        """Return some of the names, preferred ones first.

        Args:
            names: Names in random order.
            count: Number of names to return.
        """
        preferred = [name for name in names if self.accepts(name)]
        first = preferred if self.count is None else preferred[: self.count]
        return (first + [n for n in names if n not in first])[:count]


def find_preference(
    view: _view.FleetView,
    request: _results.PlacementRequest,
    lengths: _lengths.LengthEstimator,
) -> Preference | None:
    """Return which engines are sampled first for a request, if any.

    Long streams with an objective of the time between events are compared
    on the engines that keep it. Of the engines for other requests, one is a
    slow one, which few long streams use.

    Args:
        view: Targets and their load.
        request: The request.
        lengths: Observed lengths of answers.
    """
    gap_seconds = request.objectives.gap_seconds
    if gap_seconds is not None:
        view.gap_objectives[request.model] = gap_seconds
    objective = view.gap_objectives.get(request.model)
    if objective is None:
        return None
    usual = view.estimate_usual_pace(request.model)
    if usual.token_seconds is None:
        return None
    tokens = estimate_tokens(request, lengths, 0.5)
    rate = view.measure_prompt_rate(request.model)
    chance = _cost.estimate_prompt_chance(rate, tokens * usual.token_seconds)

    def is_slow(name: str) -> bool:
        return not keeps_gap(view, name, objective)

    if gap_seconds is not None and chance >= LONG_CHANCE:
        return Preference(lambda name: not is_slow(name))
    return Preference(is_slow, 1)


def keeps_gap(view: _view.FleetView, engine: str, gap_seconds: float) -> bool:
    """Return whether a long stream on an engine probably keeps its objective.

    Args:
        view: Targets and their pace.
        engine: Name of the engine.
        gap_seconds: Objective of the time between events, in seconds.
    """
    pause = view.estimate_pace(engine).pause_seconds
    return _cost.grade_pause(pause, gap_seconds) < MISS_CHANCE


def estimate_tokens(
    request: _results.PlacementRequest,
    lengths: _lengths.LengthEstimator,
    quantile: float,
) -> float:
    """Return the expected length of an answer, in tokens.

    Args:
        request: The request.
        lengths: Observed lengths of answers.
        quantile: Quantile of the observed lengths, from 0 to 1.
    """
    expected = request.hinted_tokens
    if expected is None:
        expected = lengths.estimate_total(
            request.workspace, request.model, 0, quantile
        )
    if request.max_tokens is not None:
        expected = min(expected, float(request.max_tokens))
    return expected


def choose_cache_holder(
    view: _view.FleetView,
    request: _results.PlacementRequest,
    rng: random.Random,
) -> str | None:
    """Return a usable engine that probably has much of a prompt cached.

    Args:
        view: Targets and their load.
        request: The request.
        rng: Source of random numbers.
    """
    name = view.residency.choose_holder(request.parts, rng)
    if name is None or name in request.excluded:
        return None
    pool = view.get_pool(request.model, request.regions)
    return name if name in pool else None
