"""Request and results of a placement."""

from __future__ import annotations

import attrs

from laburnumstep import core
from laburnumstep.targets import _cost
from laburnumstep.targets import _residency


@attrs.frozen
class PlacementRequest:
    """A request to be placed on a target."""

    request: str
    """Identifier of the request, for logs."""
    workspace: str
    """Name of the workspace."""
    model: str
    """Name of the model."""
    prompt_tokens: int
    """Length of the prompt, in tokens."""
    prefixes: list[str] = attrs.field(factory=list)
    """Digests of the prompt's prefixes, shortest first."""
    parts: tuple[_residency.PromptPart, ...] = ()
    """Parts of the prompt with their lengths, in order, as far as known."""
    objectives: _cost.Objectives = _cost.Objectives()
    """Objectives of the request."""
    priority: int = 0
    """Priority of the request; higher goes first."""
    excluded: frozenset[str] = frozenset()
    """Targets on which the request has failed; they are never chosen."""
    max_tokens: int | None = None
    """Upper bound of the answer, in tokens, if known."""
    hinted_tokens: float | None = None
    """Length of the answer that the caller expects, in tokens, if any."""
    candidates: tuple[str, ...] = ()
    """Engines that are compared first, with new reports. If empty, placement
    samples the candidates."""
    substitutes: tuple[str, ...] = ()
    """Engines that take the place of candidates without capacity, in order."""
    avoided: frozenset[str] = frozenset()
    """Targets that are chosen only if all others have much less capacity."""
    regions: core.Regions = core.AnyRegion()
    """Regions in which the request may run."""
    suspect: bool = False
    """Whether the request has crashed a target before. Crash suspects are
    placed on different targets, so that the next crash identifies the
    cause."""


@attrs.frozen
class Placed:
    """A target was chosen."""

    target: str
    """Name of the target."""
    reason: str
    """Explanation of the choice, for logs."""
    runners_up: list[str]
    """Other candidates, best first."""


@attrs.frozen
class NoRoom:
    """Targets serve the model, but none of them has capacity."""

    retry_at: float
    """When to recheck if no change is reported, in epoch seconds."""


@attrs.frozen
class NoTarget:
    """No usable target serves the model or service."""

    reason: str
    """Description of what is missing."""


PlacementResult = Placed | NoRoom | NoTarget
