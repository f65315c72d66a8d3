"""Evidence about requests that crash targets."""

from __future__ import annotations

import attrs

from laburnumstep.targets import _traits


@attrs.frozen
class CrashReport:
    """A crash of a target, as one VM observed it."""

    target: str
    """Name of the target."""
    crashed_at: float
    """When it crashed, in epoch seconds."""
    last_sent_at: float
    """When the newest of the requests below was sent, in epoch seconds."""
    requests: tuple[_traits.Traits, ...]
    """Traits of the requests that the target was about to begin or had just
    begun."""


@attrs.frozen
class Clearance:
    """A target began a request with this trait and survived it."""

    trait: _traits.Trait
    """The trait."""
    cleared_at: float
    """When it was observed, in epoch seconds. Crashes before this time have
    another cause."""


CrashEvidence = CrashReport | Clearance
