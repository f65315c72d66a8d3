"""Manual clock on which tests can await the sleeps of tasks."""

from __future__ import annotations

import typing

import anyio

from laburnumstep import core

WAIT_SECONDS = 10.0
"""Longest wait in real time for an event before a test fails."""
START = 4_000_000_000.0
"""Initial time of the clock, in epoch seconds. It is the same in every run.
It lies after the system time, with which clients compare deadlines too, so
that no request times out because a test ran slowly.
"""


class ObservedClock(core.ManualClock):
    """Manual clock that counts the calls of `sleep_until`."""

    def __init__(self) -> None:
        super().__init__(START)
        self.sleeps = 0
        """Number of sleeps that tasks have started."""
        self._slept = anyio.Event()

    async def sleep_until(self, deadline: float) -> None:
        """Count the sleep and wait as `ManualClock` does."""
        self.sleeps += 1
        self._slept.set()
        self._slept = anyio.Event()
        await super().sleep_until(deadline)

    async def wait_for_sleeps(self, count: int) -> None:
        """Wait until tasks have started `count` sleeps in total."""
        while self.sleeps < count:
            await self._slept.wait()

    async def advance_and_settle(self, seconds: float) -> None:
        """Advance the clock and wait until every woken task sleeps again.

        Args:
            seconds: Time by which the clock advances.
        """
        until = self.now() + seconds
        woken = sum(deadline <= until for deadline, _, _ in self._sleepers)
        expected_sleeps = self.sleeps + woken
        self.advance(seconds)
        await self.wait_for_sleeps(expected_sleeps)


async def await_bounded(
    function: typing.Callable[..., typing.Awaitable[typing.Any]],
    *args: typing.Any,
) -> typing.Any:
    """Await a coroutine function with its arguments.

    Raises:
        TimeoutError: If it takes longer than `WAIT_SECONDS`, so that a
            missing event fails the test instead of blocking it.
    """
    with anyio.fail_after(WAIT_SECONDS):
        return await function(*args)


def run_bounded(context: typing.Any, *call: typing.Any) -> typing.Any:
    """Run `await_bounded` in the event loop of a scenario."""
    return context.portal.call(await_bounded, *call)
