"""Waits for a state of another process, within a limit."""

from __future__ import annotations

import inspect
import typing

import anyio

LIMIT_SECONDS = 30.0
"""Longest wait for a state, in seconds."""
_PAUSE_SECONDS = 0.02

Condition = typing.Callable[[], bool | typing.Awaitable[bool]]


async def wait_until(condition: Condition) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: It does not hold in time.
    """
    with anyio.fail_after(LIMIT_SECONDS):
        while True:
            held = condition()
            if inspect.isawaitable(held):
                held = await held
            if held:
                return
            await anyio.sleep(_PAUSE_SECONDS)
