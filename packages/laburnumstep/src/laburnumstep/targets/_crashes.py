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


@attrs.frozen
class OperatorRefusal:
    """An operator's order to refuse requests, or to refuse them no longer."""

    traits: _traits.Traits
    """Requests that have all of these traits are refused."""
    refused_until: float
    """When the refusal ends, in epoch seconds."""
    ordered_at: float
    """When it was ordered, in epoch seconds; the last order is in force."""


CrashEvidence = CrashReport | Clearance | OperatorRefusal
