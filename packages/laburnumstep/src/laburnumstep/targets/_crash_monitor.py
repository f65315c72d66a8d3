"""Confirms crashes of targets and names the requests that explain them."""

from __future__ import annotations

import math
import typing

import anyio

from laburnumstep import core
from laburnumstep.targets import _crashes
from laburnumstep.targets import _running_requests
from laburnumstep.targets import _traits
from laburnumstep import transport

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _view

CONFIRMATION_SECONDS = 0.5
"""How long a target has to accept or refuse a connection after it has broken
one off, in seconds."""
RECHECK_SECONDS = 0.1
"""Time after which a target that accepts connections is asked again, in
seconds."""

_LOGGER = core.get_logger('targets')

IsRefusing = typing.Callable[[str, float], typing.Awaitable[bool]]
"""Returns whether a target refuses connections, given its name and the
deadline of the answer in epoch seconds."""


class CrashMonitor:
    """Observes broken exchanges and reports the crashes among them.

    A broken exchange alone is no crash: a link fails, or a faulty target
    breaks off single answers. A target whose process has ended refuses
    connections as well.

    Args:
        record: Receives the reports.
        is_refusing: Asks whether a target refuses connections.
        clock: Clock of the reports.
        metrics: Counts the crashes.
    """

    def __init__(
        self,
        record: typing.Callable[[_crashes.CrashReport], None],
        is_refusing: IsRefusing,
        clock: core.Clock,
        metrics: core.Metrics,
    ) -> None:
        self._record = record
        self._is_refusing = is_refusing
        self._clock = clock
        self._metrics = metrics
        self._running = _running_requests.RunningRequests(
            clock, lambda traits: None
        )
        self._suspects: dict[str, list[_running_requests.RunningRequest]] = {}
        self._sender, self._broken = anyio.create_memory_object_stream[
            tuple[str, float]
        ](math.inf)

    @property
    def running(self) -> _running_requests.RunningRequests:
        """The requests that targets run and have not survived yet."""
        return self._running

    def observe_break(self, target: str) -> None:
        """Record that a target broke off an exchange.

        All requests that it has not survived become suspects of one crash,
        whichever of them observes it first.
        """
        suspects = self._running.pop_suspects(target)
        if not suspects:
            return
        known = self._suspects.get(target)
        if known is not None:
            known += suspects
            return
        self._suspects[target] = suspects
        self._sender.send_nowait((target, self._clock.now()))

    async def run(self) -> None:
        """Confirm crashes until cancelled.

        Targets that fail together are asked at the same time, as one that has
        lost power answers nothing.
        """
        async with anyio.create_task_group() as tasks:
            async for target, broken_at in self._broken:
                tasks.start_soon(self.confirm, target, broken_at)

    async def confirm(self, target: str, broken_at: float) -> None:
        """Report a crash if the target refuses connections.

        Args:
            target: Name of the target.
            broken_at: When it broke off an exchange, in epoch seconds.
        """
        deadline = self._clock.now() + CONFIRMATION_SECONDS
        refusing = await self._is_refusing(target, deadline)
        if not refusing:
            # A process that ends may close its connections first.
            await self._clock.sleep_until(broken_at + RECHECK_SECONDS)
            refusing = await self._is_refusing(target, deadline)
        suspects = self._suspects.pop(target, [])
        _LOGGER.info(
            'exchange broken off; target=%s crashed=%s suspects=%s age_ms=%d',
            target,
            refusing,
            ' '.join(_traits.describe_traits(i.traits) for i in suspects),
            (self._clock.now() - broken_at) * 1000,
        )
        if refusing:
            self._metrics.count('targets.crashes_confirmed')
            self._record(
                _crashes.CrashReport(
                    target,
                    broken_at,
                    max(item.sent_at for item in suspects),
                    tuple(item.traits for item in suspects),
                )
            )


def make_refusal_check(view: _view.FleetView, clock: core.Clock) -> IsRefusing:
    """Return a check that opens a connection to a target.

    Args:
        view: The targets and their addresses.
        clock: Measures the deadlines.
    """

    async def is_refusing(target: str, deadline: float) -> bool:
        state = view.find(target)
        if state is None or state.leaving:
            # The process of a target that leaves ends as planned.
            return False
        address = state.declared.address
        return await transport.is_refusing(address, clock, deadline)

    return is_refusing
