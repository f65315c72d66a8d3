"""Polls a condition that depends on another process."""

from __future__ import annotations

import inspect
import typing

import anyio

LIMIT_SECONDS = 30.0
"""Longest wait for a condition."""
_POLL_INTERVAL_SECONDS = 0.02

Condition = typing.Callable[[], bool | typing.Awaitable[bool]]


async def wait_until(condition: Condition) -> None:
    """Poll a condition until it is true.

    Raises:
        TimeoutError: If it is still false after `LIMIT_SECONDS`.
    """
    with anyio.fail_after(LIMIT_SECONDS):
        while True:
            satisfied = condition()
            if inspect.isawaitable(satisfied):
                satisfied = await satisfied
            if satisfied:
                return
            await anyio.sleep(_POLL_INTERVAL_SECONDS)
