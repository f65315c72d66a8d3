"""Behave hooks of the features about reading logs."""

from support.hooks import after_scenario  # noqa: F401
from support.hooks import before_scenario  # noqa: F401
