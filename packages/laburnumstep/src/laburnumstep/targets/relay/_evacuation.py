"""When the runs of a leaving engine are copied, in one order for all VMs."""

from __future__ import annotations

import typing

import anyio
import attrs

from laburnumstep import core

if typing.TYPE_CHECKING:
    from laburnumstep.targets.relay import _places
    from laburnumstep.targets.relay import _ports

LIST_SECONDS = 0.3
"""Longest wait for the list of an engine's runs, in seconds."""
MARGIN = 1.1
"""How much longer a copy may take than expected before the next begins."""
TURN_SECONDS = 0.05
"""Time between the copies of two runs. A run is copied twice, and its
second copy must enter the queue of the link before the next run's first."""
LISTED_SECONDS = 10.0
"""How long a list is used; an engine that leaves is gone by then."""

_LOGGER = core.get_logger('relay')


@attrs.frozen
class _Schedule:
    starts: dict[str, float]
    last: float
    until: float


class Evacuations:
    """Spaces out the copies of runs on engines that leave.

    Every VM reads the same list from the engine and orders it alike, so
    the VMs need not talk to one another.

    Args:
        port: Lists the runs of engines.
        placer: Estimates the time of a copy.
        clock: The time.
    """

    def __init__(
        self,
        port: _ports.TargetPort,
        placer: _places.RelayPlacer,
        clock: core.Clock,
    ) -> None:
        self._port = port
        self._placer = placer
        self._clock = clock
        self._schedules: dict[str, _Schedule] = {}
        self._locks: dict[str, anyio.Lock] = {}

    async def find_start(
        self, request: _ports.RelayRequest, source: core.Target
    ) -> float:
        """Return when the copy of a run may begin, in epoch seconds."""
        now = self._clock.now()
        lock = self._locks.setdefault(source.name, anyio.Lock())
        async with lock:
            # All streams of an engine hear of its leaving at once.
            schedule = self._schedules.get(source.name)
            if schedule is None or schedule.until < now:
                schedule = await self._make_schedule(source)
                self._schedules[source.name] = schedule
        start = schedule.starts.get(request.key, schedule.last)
        _LOGGER.info(
            'copy scheduled; request=%s target=%s wait_ms=%d runs=%d',
            request.key,
            source.name,
            max(0.0, start - now) * 1000,
            len(schedule.starts),
        )
        return start

    async def _make_schedule(self, source: core.Target) -> _Schedule:
        began = self._clock.now()
        runs = await self._port.list_runs(source, began + LIST_SECONDS)
        self._drop_old(began)
        starts: dict[str, float] = {}
        start = began
        for run in order_runs(runs):
            starts[run.key] = start
            seconds = self._placer.estimate_copy(source, run.tokens)
            start += MARGIN * seconds + TURN_SECONDS
        return _Schedule(starts, start, began + LISTED_SECONDS)

    def _drop_old(self, now: float) -> None:
        for name, schedule in list(self._schedules.items()):
            if schedule.until < now:
                del self._schedules[name]
                self._locks.pop(name, None)


def order_runs(runs: list[_ports.EngineRun]) -> list[_ports.EngineRun]:
    """Return runs in the order in which they are copied.

    Small runs go first, because more of them end in time.
    """
    return sorted(runs, key=lambda run: (run.tokens, run.key))
