"""Schedules the copies of the runs on a leaving engine.

All VMs compute the same schedule, so their copies do not compete for the link.
"""

from __future__ import annotations

import typing

import anyio
import attrs

from laburnumstep import core
from laburnumstep.targets.relay import _ports

if typing.TYPE_CHECKING:
    from laburnumstep.targets.relay import _placements

LIST_TIMEOUT_SECONDS = 0.3
"""Timeout of the request for an engine's list of runs, in seconds."""
COPY_TIME_FACTOR = 0.95
"""Time scheduled for a copy, as a multiple of its estimate. Below 1, so that
the next copy already waits in the queue of the link when one ends."""
SCHEDULE_SECONDS = 10.0
"""How long a schedule is used, in seconds; a leaving engine has stopped by
then."""

_LOGGER = core.get_logger('relay')


@attrs.frozen
class _Schedule:
    """Times at which the runs of one engine are copied, in epoch seconds."""

    starts: dict[str, float]
    """Start of the copy by request key."""
    unlisted_start: float
    """Start for runs that the engine did not list, after all others."""
    expires_at: float
    """When the schedule is no longer used."""


class EvacuationSchedules:
    """Schedules the copies of runs on leaving engines one after another.

    Every VM reads the same list of runs from the engine and sorts it the same
    way, so the VMs need not coordinate.

    Args:
        port: Lists the runs of engines.
        placer: Estimates how long a copy takes.
        clock: Clock for the start times.
    """

    def __init__(
        self,
        port: _ports.TargetPort,
        placer: _placements.RelayPlacer,
        clock: core.Clock,
    ) -> None:
        self._port = port
        self._placer = placer
        self._clock = clock
        self._schedules: dict[str, _Schedule] = {}
        self._locks: dict[str, anyio.Lock] = {}

    async def schedule_copy(
        self, request: _ports.RelayRequest, source: core.Target
    ) -> float:
        """Return when the copy of a run may begin, in epoch seconds.

        Args:
            request: The request that runs.
            source: Engine that runs it.
        """
        now = self._clock.now()
        lock = self._locks.setdefault(source.name, anyio.Lock())
        async with lock:
            # All streams of a leaving engine ask at the same time; the lock
            # lets the first one fetch the list for all.
            schedule = self._schedules.get(source.name)
            if schedule is None or schedule.expires_at < now:
                schedule = await self._make_schedule(source)
                self._schedules[source.name] = schedule
        start = schedule.starts.get(request.key, schedule.unlisted_start)
        _LOGGER.info(
            'copy scheduled; request=%s target=%s wait_ms=%d runs=%d',
            request.key,
            source.name,
            max(0.0, start - now) * 1000,
            len(schedule.starts),
        )
        return start

    async def _make_schedule(self, source: core.Target) -> _Schedule:
        now = self._clock.now()
        result = await self._port.list_runs(source, now + LIST_TIMEOUT_SECONDS)
        runs = result.runs if isinstance(result, _ports.RunList) else []
        self._drop_expired(now)
        starts: dict[str, float] = {}
        start = now
        for run in order_runs(runs):
            starts[run.key] = start
            seconds = self._placer.estimate_copy(source, run.tokens)
            start += COPY_TIME_FACTOR * seconds
        return _Schedule(starts, start, now + SCHEDULE_SECONDS)

    def _drop_expired(self, now: float) -> None:
        for name, schedule in list(self._schedules.items()):
            if schedule.expires_at < now:
                del self._schedules[name]
                self._locks.pop(name, None)


def order_runs(runs: list[_ports.EngineRun]) -> list[_ports.EngineRun]:
    """Return runs in the order in which they are copied.

    Small runs come first, because more runs are copied in time this way.
    """
    return sorted(runs, key=lambda run: (run.tokens, run.key))
