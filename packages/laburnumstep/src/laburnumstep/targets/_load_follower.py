"""Polling of load reports, with one task for each engine."""

from __future__ import annotations

import typing

import anyio
import attrs

from laburnumstep import core
from laburnumstep.targets import _engine_client
from laburnumstep.targets import _engine_events

if typing.TYPE_CHECKING:
    import anyio.abc

    from laburnumstep.targets import _hints
    from laburnumstep.targets import _reports
    from laburnumstep.targets import _view

MIN_POLL_SECONDS = 0.5
"""Shortest time between two load reports of an engine, in seconds."""
POLL_BYTES_PER_SECOND = 4000.0
"""Rate at which a VM may read load reports, in bytes a second. All control
traffic of a VM may use 10 KB/s."""
REPORT_BYTES = 430.0
"""Size of one load report with its request, in bytes."""
CACHE_EVERY = 5
"""Number of load reports of an engine for each read of its cache events."""
REPLY_SECONDS = 2.0
"""Longest wait for a load report, in seconds."""
RECLAIM_REPEAT_SECONDS = 2.0
"""Shortest time between two calls for the reclaim of one engine, in seconds.
Load reports that siblings distribute arrive several times a second."""
URGENT_POLL_SECONDS = 0.4
"""Interval of the reports of an engine that may leave unannounced, in seconds.
An engine that is reclaimed has about two seconds left."""
MIN_WAIT_SECONDS = 0.5
"""Shortest time until the interval of an engine is evaluated again, in
seconds. The interval becomes shorter when this VM has to read for others, or
when the engine may leave unannounced."""
WAIT_SECONDS_PER_ENGINE = 0.05
"""Time between two evaluations of the interval of any engine, in seconds. Each
costs about 0.2 ms of processor time."""
FAILED_SECONDS = 2.0
"""How long an engine that does not answer is ejected, in seconds."""

_LOGGER = core.get_logger('targets')


class CachePage(typing.Protocol):
    """Changes of an engine's prefix cache."""

    @property
    def events(self) -> list[_hints.CacheEvent]:
        """Changes in the order of their sequence numbers."""
        ...

    @property
    def next(self) -> int:
        """Sequence number after the last change."""
        ...


class LoadClient(typing.Protocol):
    """Client for the load reports and cache events of one engine."""

    async def read_load(self, deadline: float) -> _reports.LoadReport:
        """Return the engine's load.

        Args:
            deadline: When to give up, in epoch seconds.

        Raises:
            StreamBroken: The engine did not answer.
            MalformedStream: The answer does not follow the protocol.
        """
        ...

    async def read_cache_events(
        self, start: int, deadline: float
    ) -> CachePage:
        """Return changes of the engine's prefix cache.

        Args:
            start: Sequence number of the first change to return.
            deadline: When to give up, in epoch seconds.

        Raises:
            StreamBroken: The engine did not answer.
            MalformedStream: The answer does not follow the protocol.
        """
        ...


class SharedReports(typing.Protocol):
    """Exchange of load reports between VMs."""

    def find_interval(self, target: str) -> float | None:
        """Return the interval of the reports that this VM reads for others.

        Args:
            target: Name of the engine.

        Returns:
            The interval in seconds, or None if another VM reads them.
        """
        ...

    def publish(self, target: str, report: _reports.LoadReport) -> None:
        """Distribute a report that this VM has read."""
        ...


class LoadClients(typing.Protocol):
    """Clients of the engines, by name."""

    def find(self, target: str) -> LoadClient | None:
        """Return the client of an engine, or None if it is not declared."""
        ...


@attrs.define(eq=False)
class _EngineTask:
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    requested: anyio.Event = attrs.field(factory=anyio.Event)
    polled: anyio.Event = attrs.field(factory=anyio.Event)


class LoadFollower:
    """Polls the engines and updates the load reports and hints of a view.

    Args:
        clients: Clients of the engines.
        view: Receives the reports and cache events.
        clock: Clock for polls and deadlines.
        on_reclaim: Called when an engine reports that it will be reclaimed,
            with its name and the time in epoch seconds.
        min_poll_seconds: Shortest time between two load reports of an
            engine, in seconds.
        cache_every: Number of load reports of an engine for each read of
            its cache events; 0 disables these reads.
        shared: Distributes reports to other VMs, if they are shared.
        is_urgent: Returns whether an engine may leave unannounced while it
            runs requests of this VM.
    """

    def __init__(
        self,
        clients: LoadClients,
        view: _view.FleetView,
        clock: core.Clock,
        on_reclaim: typing.Callable[[str, float], None],
        min_poll_seconds: float = MIN_POLL_SECONDS,
        cache_every: int = CACHE_EVERY,
        shared: SharedReports | None = None,
        is_urgent: typing.Callable[[str], bool] = lambda name: False,
    ) -> None:
        self._clients = clients
        self._view = view
        self._clock = clock
        self._on_reclaim = on_reclaim
        self._min_poll_seconds = min_poll_seconds
        self._cache_every = cache_every
        self._shared = shared
        self._is_urgent = is_urgent
        self._engines: dict[str, _EngineTask] = {}
        self._reclaim_announced_at: dict[str, float] = {}

    @property
    def poll_seconds(self) -> float:
        """Time between two load reports of an engine, in seconds."""
        cost = len(self._engines) * REPORT_BYTES
        return max(self._min_poll_seconds, cost / POLL_BYTES_PER_SECOND)

    def apply_deployment(
        self, deployment: core.Deployment, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Start tasks for new engines and cancel those of removed ones.

        Args:
            deployment: The configuration, limited to the engines in use.
            tasks: Group in which the tasks run.
        """
        names = {
            name
            for name, target in deployment.targets.items()
            if isinstance(target, core.EngineTarget)
        }
        for name in [n for n in self._engines if n not in names]:
            self._engines.pop(name).scope.cancel()
            self._reclaim_announced_at.pop(name, None)
        for name in names - set(self._engines):
            engine = self._engines[name] = _EngineTask()
            tasks.start_soon(self._follow, name, engine)

    async def refresh(
        self, names: list[str], oldest: float, deadline: float
    ) -> None:
        """Wait for new reports of those engines whose reports are stale.

        Concurrent calls for the same engine share one read.

        Args:
            names: Names of the engines.
            oldest: Reports measured before this time are stale, in epoch
                seconds.
            deadline: When to return without the missing reports, in epoch
                seconds.
        """
        stale = [
            engine
            for name in names
            if (engine := self._engines.get(name)) is not None
            and (state := self._view.find(name)) is not None
            and state.measured_at < oldest
        ]
        if not stale:
            return
        for engine in stale:
            engine.requested.set()
        async with anyio.create_task_group() as group:
            group.start_soon(
                core.cancel_at, self._clock, deadline, group.cancel_scope
            )
            for polled in [engine.polled for engine in stale]:
                await polled.wait()
            group.cancel_scope.cancel()

    async def _follow(self, name: str, engine: _EngineTask) -> None:
        reachable = True
        polls = 0
        with engine.scope:
            while True:
                client = self._clients.find(name)
                if client is not None:
                    every = self._cache_every
                    with_cache = every > 0 and polls % every == 0
                    answered = await self._poll(name, client, with_cache)
                    if answered != reachable:
                        reachable = answered
                        state = 'answers' if answered else 'does not answer'
                        _LOGGER.info('engine %s; target=%s', state, name)
                polls += 1
                await self._wait_for_next_poll(name, engine)

    async def _wait_for_next_poll(
        self, name: str, engine: _EngineTask
    ) -> None:
        """Wait until the next poll is due or `refresh` requests one.

        A report that a sibling distributes postpones the poll.
        """
        engine.polled.set()
        engine.polled = anyio.Event()
        engine.requested = anyio.Event()
        polled_at = self._clock.now()
        while not engine.requested.is_set():
            now = self._clock.now()
            due = self._compute_due_time(name, polled_at)
            if due <= now:
                return
            wait_seconds = max(
                MIN_WAIT_SECONDS, WAIT_SECONDS_PER_ENGINE * len(self._engines)
            )
            until = min(due, now + wait_seconds)
            await core.wait_until(self._clock, engine.requested, until)

    def _compute_due_time(self, name: str, polled_at: float) -> float:
        """Return when an engine is polled next, in epoch seconds."""
        interval = None
        if self._shared is not None:
            interval = self._shared.find_interval(name)
        if interval is not None:
            return polled_at + interval
        interval = self.poll_seconds
        if self._is_urgent(name):
            interval = min(interval, URGENT_POLL_SECONDS)
        state = self._view.find(name)
        measured_at = state.measured_at if state is not None else 0.0
        return max(polled_at, measured_at) + interval

    async def _poll(
        self,
        name: str,
        client: LoadClient,
        with_cache: bool,
    ) -> bool:
        deadline = self._clock.now() + REPLY_SECONDS
        try:
            report = await client.read_load(deadline)
            self.apply_report(name, report)
            if self._shared is not None:
                self._shared.publish(name, report)
            if with_cache:
                page = await client.read_cache_events(
                    self._view.hints.get_next_seq(name), deadline
                )
                self._view.hints.apply_events(name, page.events, page.next)
        except _engine_client.StreamBroken:
            self._view.set_failed(name, self._clock.now() + FAILED_SECONDS)
            return False
        except _engine_events.MalformedStream as error:
            _LOGGER.warning('malformed report; target=%s: %s', name, error)
        return True

    def apply_report(self, name: str, report: _reports.LoadReport) -> None:
        """Apply a report that this VM or a sibling has read.

        Args:
            name: Name of the engine.
            report: The report.
        """
        self._view.record_report(name, report)
        if report.reclaim_at is None or name not in self._engines:
            return
        now = self._clock.now()
        announced_at = self._reclaim_announced_at.get(name, 0.0)
        if now >= announced_at + RECLAIM_REPEAT_SECONDS:
            self._reclaim_announced_at[name] = now
            self._on_reclaim(name, report.reclaim_at)
