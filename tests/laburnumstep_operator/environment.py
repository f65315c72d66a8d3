"""Behave hooks of the features of the operators' package."""

from support.hooks import after_scenario  # noqa: F401
from support.hooks import before_scenario  # noqa: F401
