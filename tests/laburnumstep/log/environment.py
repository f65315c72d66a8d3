"""Behave hooks of the log's features."""

from support.hooks import after_scenario  # noqa: F401
from support.hooks import before_scenario  # noqa: F401
