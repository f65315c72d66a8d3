"""Hooks that run each scenario with an event loop."""

from __future__ import annotations

from support.hooks import after_scenario  # noqa: F401
from support.hooks import before_scenario  # noqa: F401
