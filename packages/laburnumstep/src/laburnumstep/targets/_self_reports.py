"""What targets say about themselves in the heads of their answers."""

from __future__ import annotations

import attrs

MAX_BACK_OFF_SECONDS = 300.0
"""Longest back-off that a target can ask for, in seconds. A faulty value must
not exclude a target for longer than a restart takes."""


@attrs.frozen
class SelfReport:
    """What one answer says about its target."""

    leaving: bool = False
    """Whether the target accepts no new work and will stop."""
    back_off_seconds: float | None = None
    """How long it wants no request from this VM, in seconds, if it says so."""
    cold_seconds: float | None = None
    """How long it stays cold, in seconds, if it says so."""
