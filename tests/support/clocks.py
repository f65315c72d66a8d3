"""A clock that tells tests when tasks wait for it."""

from __future__ import annotations

import typing

import anyio

from laburnumstep import core

WAIT_SECONDS = 10.0
"""Longest wait for an event before a test fails, in seconds."""
START = 4_000_000_000.0
"""First reading, in epoch seconds. It is the same in every run, and ahead
of the machine's time, with which clients compare deadlines as well: no
request times out because a test ran slowly.
"""


class ObservedClock(core.ManualClock):
    """A manual clock that counts the sleeps that tasks begin."""

    def __init__(self) -> None:
        super().__init__(START)
        self.sleeps = 0
        self._slept = anyio.Event()

    async def sleep_until(self, deadline: float) -> None:
        """Wait as `ManualClock` does, and count the sleep."""
        self.sleeps += 1
        self._slept.set()
        self._slept = anyio.Event()
        await super().sleep_until(deadline)

    async def wait_for_sleeps(self, count: int) -> None:
        """Wait until tasks have begun `count` sleeps altogether."""
        while self.sleeps < count:
            await self._slept.wait()

    async def advance_and_settle(self, seconds: float) -> None:
        """Move the clock and wait until each woken task sleeps again."""
        until = self.now() + seconds
        woken = sum(deadline <= until for deadline, _, _ in self._sleepers)
        begun = self.sleeps + woken
        self.advance(seconds)
        await self.wait_for_sleeps(begun)


async def await_bounded(
    waits: typing.Callable[..., typing.Awaitable[typing.Any]],
    *args: typing.Any,
) -> typing.Any:
    """Await a coroutine; fail where its event never comes."""
    with anyio.fail_after(WAIT_SECONDS):
        return await waits(*args)


def wait(context: typing.Any, *call: typing.Any) -> typing.Any:
    """Await a coroutine function with its arguments in a scenario."""
    return context.portal.call(await_bounded, *call)
