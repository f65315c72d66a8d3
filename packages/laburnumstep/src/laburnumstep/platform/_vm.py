"""The entry VM's process on the platform: its parts and their tasks."""

from __future__ import annotations

import os
import signal
import sys
import typing

import anyio
import anyio.abc

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import log
from laburnumstep.platform import _configuration
from laburnumstep.platform import _directory
from laburnumstep.platform import _front
from laburnumstep.platform import _pages
from laburnumstep.platform import _reports
from laburnumstep.platform import _servers
from laburnumstep.platform import _settings
from laburnumstep.platform import _store
from laburnumstep import targets
from laburnumstep.targets import relay
from laburnumstep import transport

if typing.TYPE_CHECKING:
    from starlette import types

MIN_SERVERS_PAUSE_SECONDS = 0.4
"""Shortest time between reads of the servers' entries. Each server renews
its entry about once a second, and every read is priced."""
MAX_SERVERS_PAUSE_SECONDS = 1.0
"""Longest time between reads of the servers' entries. An engine that is
reclaimed is gone two seconds after its entry says so."""
PAUSE_PER_SERVER_SECONDS = 0.025
"""Time between reads for each server. Large deployments have many VMs that
read, and a VM has few streams on any one server that leaves."""
REPORT_SECONDS = 4.0
"""Time between two load reports of an engine; each is priced. Those that
placement compares are read again when they are needed."""
USED_ENGINES = 16
"""Engines that a VM sends to and follows, so that the load reports of a
deployment grow with its VMs and not with VMs times engines."""
CONFIGURATION_PAUSE_SECONDS = 0.1
"""Shortest time between reads of the configuration."""
BALANCER_SECONDS = 3.0
"""How long the platform's balancer may send new callers to a VM that is
not ready: two questions, a second apart, and their timeouts."""
STOP_MARGIN_SECONDS = 0.6
"""How long before SIGKILL the process ends."""
KEEP_ALIVE_SECONDS = 120
"""How long an idle caller's connection is kept. It is above any limit of
the configuration, so that callers close connections and not the VM."""
WEIGHTS = core.PolicyWeights(stall=0.0, preemption=0.0, tail=1.0)
"""Placement plans for median lengths, because callers hint at them and a
run that finds no room can move; memory kept free would delay first tokens."""
EXPECTED_VMS = 96
"""VMs among which the budget for repeated sends is divided; a VM does not
know how many there are, and the largest deployments have fewer."""

_LOGGER = core.get_logger('platform')


class PlatformVM:
    """One entry VM on the platform.

    Args:
        settings: Checked settings.
        clock: The time.
    """

    def __init__(
        self, settings: _settings.NodeSettings, clock: core.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._page = core.MetricsPage()
        self._metrics = core.Metrics(None, '', self._page)
        self._view = targets.FleetView(clock, settings.data_centre)
        lengths = targets.LengthEstimator()
        self._admission = callers.Admission(
            clock, self._view, lengths, metrics=self._metrics
        )
        self._state = callers.RoutingState(
            clock,
            self._view,
            lengths,
            targets.RetryBudget(),
            targets.CrashSuspects(clock=clock),
            callers.WorkspaceLimits(clock),
            targets.EngineClients(),
            self._metrics,
        )
        self._book = callers.RouteBook()
        self._gate = callers.RequestGate(clock)
        self._running = relay.RunningStreams()
        self._port = _servers.ServerPort(clock, self._find_tokens)
        self._services: _configuration.Services = {}
        self._registry = targets.TargetRegistry(
            clock,
            core.Deployment('', places=settings.places, weights=WEIGHTS),
            self._apply_targets,
            self._note_leaving,
        )
        self._directory = _directory.Directory(self._registry)
        self._loads = targets.LoadFollower(
            _reports.ReportClients(self._port, self._registry),
            self._view,
            clock,
            lambda target, reclaim_at: self._note_leaving(target),
            min_poll_seconds=REPORT_SECONDS,
            cache_every=0,
        )
        self._tasks: anyio.abc.TaskGroup | None = None
        self._front = self._build_front()
        self._callers = transport.HttpServer(
            self._front,
            settings.callers_address,
            keep_alive_seconds=KEEP_ALIVE_SECONDS,
        )
        self._ready = transport.HttpServer(
            self._serve_ready, settings.ready_address
        )
        self._metrics_server = self._build_metrics_server()

    @property
    def addresses(self) -> dict[str, str]:
        """IP number and port of each server."""
        return {
            'callers': self._callers.address,
            'ready': self._ready.address,
            'metrics': self._metrics_server.address
            if self._metrics_server is not None
            else '',
        }

    @property
    def is_ready(self) -> bool:
        """Whether the VM takes new callers."""
        known = self._book.table is not None and self._registry.known
        return known and not self._front.leaving

    async def run(self) -> None:
        """Serve until SIGTERM, then shut down gracefully."""
        stopping = anyio.Event()
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_wait_for_stop, signals, stopping)
                await self.serve(stopping)
                tasks.cancel_scope.cancel()

    async def serve(self, stopping: anyio.Event) -> None:
        """Serve until an event is set, then shut down gracefully.

        Args:
            stopping: Set when the process has to end.
        """
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for follower in self._build_followers():
                tasks.start_soon(follower.run)
            tasks.start_soon(self._registry.run)
            tasks.start_soon(self._callers.run)
            tasks.start_soon(self._ready.run)
            if self._metrics_server is not None:
                tasks.start_soon(self._metrics_server.run)
            _LOGGER.info(
                'started; name=%s callers=%s',
                self._settings.name,
                self._callers.address,
            )
            await stopping.wait()
            await self._stop()
            tasks.cancel_scope.cancel()

    async def _stop(self) -> None:
        """Let callers go elsewhere, and end when the last one has."""
        now = self._clock.now()
        deadline = now + self._settings.grace_seconds - STOP_MARGIN_SECONDS
        self._front.leaving = True
        await self._clock.sleep_until(min(now + BALANCER_SECONDS, deadline))
        await self._drain(deadline)
        self._callers.abort()
        self._ready.abort()
        if self._metrics_server is not None:
            self._metrics_server.abort()
        _LOGGER.info('stopped; unfinished=%d', self._gate.in_progress)

    async def _drain(self, deadline: float) -> None:
        """Wait until no request is in progress, but not beyond a deadline.

        Requests of the platform cannot go on at another VM, so nothing
        ends them before the process ends.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                core.cancel_at, self._clock, deadline, tasks.cancel_scope
            )
            await self._gate.drain(deadline)
            tasks.cancel_scope.cancel()

    def _build_metrics_server(self) -> transport.HttpServer | None:
        async def serve(
            scope: types.Scope, receive: types.Receive, send: types.Send
        ) -> None:
            self._metrics.set_gauge(
                'targets.registered', len(self._registry.targets)
            )
            self._metrics.set_gauge('callers.waiting', self._admission.waiting)
            await _pages.serve_metrics(self._page, send)

        try:
            return transport.HttpServer(serve, self._settings.metrics_address)
        except OSError as error:
            # Callers are served all the same.
            _LOGGER.warning('metrics are not served; reason=%s', error)
            return None

    def _build_front(self) -> _front.Front:
        retries = self._settings.retries

        def make_budget() -> targets.RetryBudget:
            return targets.RetryBudget(
                retries.share, retries.extra / EXPECTED_VMS, retries.window
            )

        placer = callers.RelayPlacer(
            self._state,
            self._admission,
            make_budget,
            WEIGHTS,
            self._loads.refresh,
        )
        return _front.Front(
            self._book,
            relay.CallRelay(placer, self._port, self._clock),
            relay.StreamRelay(placer, self._port, self._running, self._clock),
            self._gate,
            self._clock,
            self._metrics,
        )

    def _build_followers(self) -> list[log.KeyedFollower]:
        address, clock = self._settings.store_address, self._clock
        reader = _configuration.ConfigurationReader(
            self._book, self._apply_services
        )
        return [
            log.KeyedFollower(
                'configuration',
                _store.KeyedTopicClient(address, 'op', clock),
                reader,
                clock,
                lambda: CONFIGURATION_PAUSE_SECONDS,
            ),
            log.KeyedFollower(
                'servers',
                _store.KeyedTopicClient(address, 'servers', clock),
                self._directory,
                clock,
                self._find_servers_pause,
            ),
        ]

    def _find_servers_pause(self) -> float:
        pause = PAUSE_PER_SERVER_SECONDS * len(self._registry.targets)
        return min(
            max(MIN_SERVERS_PAUSE_SECONDS, pause), MAX_SERVERS_PAUSE_SECONDS
        )

    def _apply_services(self, services: _configuration.Services) -> None:
        self._services = services
        self._front.apply_services(services)
        self._directory.apply_services(services)

    def _apply_targets(self, deployment: core.Deployment) -> None:
        used = targets.limit_engines(
            deployment,
            self._settings.name,
            self._settings.data_centre,
            USED_ENGINES,
        )
        self._view.apply_deployment(used)
        self._admission.apply_deployment(used)
        if self._tasks is not None:
            self._loads.apply_deployment(used, self._tasks)
        self._port.forget(deployment.targets)

    def _note_leaving(self, target: str) -> None:
        self._running.move_away(target)

    def _find_tokens(self, service: str) -> int:
        engine = self._services.get(service)
        return engine.tokens_per_event if engine is not None else 1

    async def _serve_ready(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        await _pages.ask_ready(lambda: self.is_ready, send)


async def _wait_for_stop(
    signals: typing.AsyncIterator[signal.Signals], stopping: anyio.Event
) -> None:
    async for received in signals:
        _LOGGER.info('signal received; signal=%s', received.name)
        # The settings of a running process do not change what it serves.
        if received is not signal.SIGHUP:
            stopping.set()


def run_vm() -> None:
    """Run an entry VM with the settings that the environment names.

    Raises:
        FindingsError: The settings cannot be used.
    """
    path = os.environ.get(_settings.SETTINGS_VARIABLE, '')
    settings = _settings.load_settings(path)
    stream = core.DroppingStream(sys.stdout.fileno())
    core.configure_logging('info', 'json', stream)
    anyio.run(PlatformVM(settings, core.SteadyClock()).run)
