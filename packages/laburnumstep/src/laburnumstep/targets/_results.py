"""Results of placement."""

from __future__ import annotations

import attrs


@attrs.frozen
class PlacementRequest:
    """A request for a target."""

    request: str
    """Identifier of the request, for logs."""
    workspace: str
    """Name of the workspace."""
    model: str
    """Name of the model."""
    prompt_tokens: int
    """Length of the prompt, in tokens."""
    prefixes: list[str] = attrs.field(factory=list)
    """Prefixes of the prompt, shortest first."""
    priority: int = 0
    """Higher goes first."""
    excluded: frozenset[str] = frozenset()
    """Targets on which it has failed."""
    max_tokens: int | None = None
    """Upper bound of the answer, in tokens, if known."""
    hinted_tokens: float | None = None
    """Length of the answer that the caller expects, in tokens, if any."""
    candidates: tuple[str, ...] = ()
    """Engines that are compared first, whose reports are new; empty leaves
    the choice of them to placement."""
    avoided: frozenset[str] = frozenset()
    """Targets that are chosen only where others have much less room."""
    memory_part: float | None = None
    """Part of an engine's memory that may be in use with it; None leaves
    the bound to the policy."""
    suspect: bool = False
    """Whether it has crashed a target before; suspects are kept apart, so
    that the next crash shows which of them causes it."""


@attrs.frozen
class Placed:
    """A target was chosen."""

    target: str
    """Name of the target."""
    reason: str
    """Why it was chosen."""
    runners_up: list[str]
    """Other candidates, best first."""


@attrs.frozen
class NoRoom:
    """Targets serve the model, but none has room."""

    retry_at: float
    """When to look again without news, in epoch seconds."""


@attrs.frozen
class NoTarget:
    """No usable target serves the model or service."""

    reason: str
    """What is missing."""


Placement = Placed | NoRoom | NoTarget
