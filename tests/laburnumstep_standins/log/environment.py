"""Hooks of the features of the log stand-in."""

from support.hooks import after_scenario  # noqa: F401
from support.hooks import before_scenario  # noqa: F401
