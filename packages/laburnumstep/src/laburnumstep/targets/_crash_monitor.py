"""Confirms crashes of targets and names the requests that explain them."""

from __future__ import annotations

import math
import typing

import anyio
import attrs

from laburnumstep import core
from laburnumstep.targets import _crashes
from laburnumstep.targets import _running_requests
from laburnumstep.targets import _traits
from laburnumstep import transport

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _crash_ledger
    from laburnumstep.targets import _view

CONFIRMATION_SECONDS = 0.5
"""How long a target has to accept or refuse a connection after it has broken
one off, in seconds."""
MAX_REPORTED_REQUESTS = 16
"""Most requests in one crash report. A report is one gossip entry of at most
4 KB."""
MAX_REPORTED_TRAITS = 16
"""Most traits of one request in a crash report; those that a target has
survived least recently are kept."""
RECHECK_SECONDS = 0.1
"""Time after which a target that accepts connections is asked again, in
seconds."""

_LOGGER = core.get_logger('targets')

IsRefusing = typing.Callable[[str, float], typing.Awaitable[bool]]
"""Returns whether a target refuses connections, given its name and the
deadline of the answer in epoch seconds."""


@attrs.define(eq=False)
class _PendingCrash:
    """A target that broke off an exchange and may have crashed."""

    target: str
    broken_at: float
    suspects: list[_running_requests.RunningRequest]
    confirmed: anyio.Event = attrs.field(factory=anyio.Event)


class CrashMonitor:
    """Observes broken exchanges and reports the crashes among them.

    A broken exchange alone is no crash: a link fails, or a faulty target
    breaks off single answers. A target whose process has ended refuses
    connections as well.

    Args:
        ledger: Receives the reports.
        is_refusing: Asks whether a target refuses connections.
        clock: Clock of the reports.
        metrics: Counts the crashes.
    """

    def __init__(
        self,
        ledger: _crash_ledger.CrashLedger,
        is_refusing: IsRefusing,
        clock: core.Clock,
        metrics: core.Metrics,
    ) -> None:
        self._ledger = ledger
        self._is_refusing = is_refusing
        self._clock = clock
        self._metrics = metrics
        self._running = _running_requests.RunningRequests(
            clock, ledger.record_survival
        )
        self._pending: dict[str, _PendingCrash] = {}
        self._sender, self._broken = anyio.create_memory_object_stream[
            _PendingCrash
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
        pending = self._pending.get(target)
        if pending is not None:
            pending.suspects += suspects
            return
        pending = _PendingCrash(target, self._clock.now(), suspects)
        self._pending[target] = pending
        self._sender.send_nowait(pending)

    def record_crash(self, target: str) -> None:
        """Report a crash of a target that is known to have crashed."""
        suspects = self._running.pop_suspects(target)
        if suspects:
            self._report(_PendingCrash(target, self._clock.now(), suspects))

    async def wait_confirmed(self, names: typing.Iterable[str]) -> None:
        """Wait until it is known whether targets have crashed.

        Args:
            names: Names of the targets.
        """
        for name in names:
            pending = self._pending.get(name)
            if pending is not None:
                await pending.confirmed.wait()

    async def run(self) -> None:
        """Confirm crashes until cancelled.

        Targets that fail together are asked at the same time, as one that has
        lost power answers nothing.
        """
        async with anyio.create_task_group() as tasks:
            async for pending in self._broken:
                tasks.start_soon(self._confirm, pending)

    async def _confirm(self, pending: _PendingCrash) -> None:
        """Report a crash if the target refuses connections."""
        target = pending.target
        deadline = self._clock.now() + CONFIRMATION_SECONDS
        refusing = await self._is_refusing(target, deadline)
        if not refusing:
            # A process that ends may close its connections first.
            recheck_at = pending.broken_at + RECHECK_SECONDS
            await self._clock.sleep_until(recheck_at)
            refusing = await self._is_refusing(target, deadline)
        del self._pending[target]
        if refusing:
            self._report(pending)
        else:
            _LOGGER.info(
                'exchange broken off without a crash; target=%s', target
            )
        pending.confirmed.set()

    def _report(self, crash: _PendingCrash) -> None:
        _LOGGER.info(
            'target crashed; target=%s suspects=%s age_ms=%d',
            crash.target,
            ' '.join(
                _traits.describe_traits(i.traits) for i in crash.suspects
            ),
            (self._clock.now() - crash.broken_at) * 1000,
        )
        self._metrics.count('targets.crashes_confirmed')
        self._ledger.record(
            _crashes.CrashReport(
                crash.target,
                crash.broken_at,
                max(item.sent_at for item in crash.suspects),
                tuple(
                    self._limit(item.traits)
                    for item in crash.suspects[:MAX_REPORTED_REQUESTS]
                ),
            )
        )

    def _limit(self, traits: _traits.Traits) -> _traits.Traits:
        """Return the traits of a request that are most likely to matter."""
        if len(traits) <= MAX_REPORTED_TRAITS:
            return traits
        by_survival = sorted(
            traits,
            key=lambda item: (
                self._ledger.get_survived_at(item),
                _traits.encode_trait(item),
            ),
        )
        return frozenset(by_survival[:MAX_REPORTED_TRAITS])


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
