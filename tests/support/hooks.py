"""Behave hooks that run an event loop in a thread for each scenario.

A folder's `environment.py` imports `before_scenario` and `after_scenario`
from here. Steps run coroutines with `context.portal.call(...)` and enter
asynchronous contexts with `enter_context(context, ...)`.
"""

from __future__ import annotations

import contextlib
import typing

import anyio.from_thread


def before_scenario(context: typing.Any, scenario: typing.Any) -> None:
    """Start the event loop and the exit stack of a scenario."""
    context.stack = contextlib.ExitStack()
    context.portal = context.stack.enter_context(
        anyio.from_thread.start_blocking_portal('asyncio')
    )


def after_scenario(context: typing.Any, scenario: typing.Any) -> None:
    """Exit the contexts that a scenario entered and stop its event loop."""
    context.stack.close()


def enter_context(context: typing.Any, manager: typing.Any) -> typing.Any:
    """Enter an asynchronous context; the scenario's end exits it.

    Returns:
        The value of the context.
    """
    wrapped = context.portal.wrap_async_context_manager(manager)
    return context.stack.enter_context(wrapped)
