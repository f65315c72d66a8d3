"""Clocks: the system's and one that tests set by hand."""

from __future__ import annotations

import heapq
import itertools
import time
import typing

import anyio
import anyio.lowlevel


class Clock(typing.Protocol):
    """Tells the time and waits for a deadline."""

    def now(self) -> float:
        """Return the time in epoch seconds."""
        ...

    async def sleep_until(self, deadline: float) -> None:
        """Wait until a time in epoch seconds."""
        ...


async def cancel_at(
    clock: Clock, deadline: float, scope: anyio.CancelScope
) -> None:
    """Cancel a scope at a time in epoch seconds."""
    await clock.sleep_until(deadline)
    scope.cancel()


class SystemClock:
    """The machine's clock."""

    def now(self) -> float:
        """Return the time in epoch seconds."""
        return time.time()

    async def sleep_until(self, deadline: float) -> None:
        """Wait until a time in epoch seconds."""
        await anyio.sleep(max(0.0, deadline - time.time()))


class SteadyClock:
    """The time since the process started, on top of the time of day then.

    Steps of the time of day do not move it, and it counts the time for
    which the machine was suspended.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> float:
        """Return the time in epoch seconds."""
        return self._offset + time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep_until(self, deadline: float) -> None:
        """Wait until a time in epoch seconds."""
        await anyio.sleep(max(0.0, deadline - self.now()))


class ManualClock:
    """A clock that only moves when it is told to, for tests.

    Args:
        now: The first reading, in epoch seconds.
    """

    def __init__(self, now: float = 1_000_000.0) -> None:
        self._now = now
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, anyio.Event]] = []

    def now(self) -> float:
        """Return the time in epoch seconds."""
        return self._now

    async def sleep_until(self, deadline: float) -> None:
        """Wait until `advance` reaches a time in epoch seconds."""
        if deadline <= self._now:
            await anyio.lowlevel.checkpoint()
            return
        event = anyio.Event()
        entry = (deadline, next(self._order), event)
        heapq.heappush(self._sleepers, entry)
        await event.wait()

    def advance(self, seconds: float) -> None:
        """Move the clock forward and wake the tasks that are due.

        Args:
            seconds: How far, not negative.
        """
        self._now += seconds
        while self._sleepers and self._sleepers[0][0] <= self._now:
            heapq.heappop(self._sleepers)[2].set()
