"""Clocks of the process, and a clock that tests advance by hand."""

from __future__ import annotations

import heapq
import itertools
import time
import typing

import anyio
import anyio.lowlevel


class Clock(typing.Protocol):
    """A source of the current time that can sleep until a deadline."""

    def now(self) -> float:
        """Return the current time, in epoch seconds."""
        ...

    async def sleep_until(self, deadline: float) -> None:
        """Sleep until a deadline, in epoch seconds."""
        ...


async def cancel_at(
    clock: Clock, deadline: float, scope: anyio.CancelScope
) -> None:
    """Cancel a scope when a deadline passes.

    Args:
        clock: Measures the deadline.
        deadline: When to cancel, in epoch seconds.
        scope: The scope to cancel.
    """
    await clock.sleep_until(deadline)
    scope.cancel()


async def wait_until(
    clock: Clock, event: anyio.Event, deadline: float
) -> None:
    """Wait for an event, or until a deadline passes.

    Args:
        clock: Measures the deadline.
        event: The event.
        deadline: When to give up, in epoch seconds.
    """
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cancel_at, clock, deadline, tasks.cancel_scope)
        await event.wait()
        tasks.cancel_scope.cancel()


class SystemClock:
    """The wall clock, including adjustments of the system time."""

    def now(self) -> float:
        """Return the current time, in epoch seconds."""
        return time.time()

    async def sleep_until(self, deadline: float) -> None:
        """Sleep until a deadline, in epoch seconds."""
        await anyio.sleep(max(0.0, deadline - time.time()))


class SteadyClock:
    """The wall-clock time at creation, advanced by a monotonic clock.

    Adjustments of the system time do not affect it. Time during which the
    machine was suspended is counted.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> float:
        """Return the current time, in epoch seconds."""
        return self._offset + time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep_until(self, deadline: float) -> None:
        """Sleep until a deadline, in epoch seconds."""
        await anyio.sleep(max(0.0, deadline - self.now()))


class ManualClock:
    """A clock that moves only when `advance` is called, for tests.

    Args:
        now: The initial time, in epoch seconds.
    """

    def __init__(self, now: float = 1_000_000.0) -> None:
        self._now = now
        self._sequence = itertools.count()
        self._sleepers: list[tuple[float, int, anyio.Event]] = []

    def now(self) -> float:
        """Return the current time, in epoch seconds."""
        return self._now

    async def sleep_until(self, deadline: float) -> None:
        """Sleep until `advance` reaches a deadline, in epoch seconds."""
        if deadline <= self._now:
            await anyio.lowlevel.checkpoint()
            return
        event = anyio.Event()
        entry = (deadline, next(self._sequence), event)
        heapq.heappush(self._sleepers, entry)
        await event.wait()

    def advance(self, seconds: float) -> None:
        """Move the clock forward and wake tasks whose deadline has passed.

        Args:
            seconds: Seconds to add, not negative.
        """
        self._now += seconds
        while self._sleepers and self._sleepers[0][0] <= self._now:
            heapq.heappop(self._sleepers)[2].set()
