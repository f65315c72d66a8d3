"""Builds and runs the entry VM's process on the platform."""

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
from laburnumstep.platform import _evacuations
from laburnumstep.platform import _fleet
from laburnumstep.platform import _front
from laburnumstep.platform import _health
from laburnumstep.platform import _memory
from laburnumstep.platform import _pages
from laburnumstep.platform import _reports
from laburnumstep.platform import _servers
from laburnumstep.platform import _settings
from laburnumstep import targets
from laburnumstep.targets import limits
from laburnumstep.targets import places
from laburnumstep.targets import relay
from laburnumstep import transport

if typing.TYPE_CHECKING:
    from starlette import types

MIN_SERVERS_PAUSE_SECONDS = 0.4
"""Minimum pause between reads of the servers' entries, in seconds. Each
server renews its entry about once a second, and the platform charges for
every read."""
MAX_SERVERS_PAUSE_SECONDS = 1.0
"""Maximum pause between reads of the servers' entries, in seconds. An engine
is reclaimed two seconds after its entry announces it."""
PAUSE_PER_SERVER_SECONDS = 0.025
"""Pause between reads of the entries per registered server, in seconds.
Large deployments have many VMs that read, and each VM has few streams on any
one leaving server."""
REPORT_INTERVAL_SECONDS = 4.0
"""Interval of the load reports of an engine, in seconds. The platform charges
for every report; placement refreshes the reports of its candidates."""
SHARED_SERVERS_PAUSE_SECONDS = 0.3
"""Pause between reads of the servers' entries for a whole data centre, in
seconds."""
CONFIGURATION_PAUSE_SECONDS = 0.1
"""Minimum pause between reads of the configuration, in seconds."""
BALANCER_DELAY_SECONDS = 3.0
"""How long the platform's load balancer may send new callers to a VM that is
not ready, in seconds: two readiness probes, a second apart, and their
timeouts."""
ANSWER_SECONDS = 0.2
"""How long before the process exits the requests without an answer are
answered, in seconds."""
STOP_MARGIN_SECONDS = 0.6
"""How long before SIGKILL the process exits, in seconds."""
KEEP_ALIVE_SECONDS = 120
"""Idle timeout of a caller's connection, in seconds. It exceeds every idle
timeout in the configuration, so that callers close connections first."""
BODIES_FRACTION = 12
"""Part of the memory that answers of servers may take while they are read,
as a divisor. Beyond 200 MB of memory the limit of 16 MiB is the lower one."""
MIN_BODIES_BYTES = 2 * _servers.MAX_RESPONSE_BYTES
"""Least limit on answers that are read at once, in bytes."""
CALLER_MARGIN_SECONDS = 1.0
"""What a caller may exceed a timeout of the configuration by, in seconds: its
bytes wait while the process is busy."""
DEFAULT_CALLER_TIMEOUTS = transport.CallerTimeouts(10.0, 30.0)
"""Timeouts of callers before a configuration is known."""
PLACEMENT_WEIGHTS = core.PolicyWeights(stall=0.0, preemption=0.0, tail=1.0)
"""Weights of placement. It plans for median lengths, because callers send
length hints and a run without capacity can migrate. Memory reserved for
longer runs would delay first tokens."""

_LOGGER = core.get_logger('platform')


class PlatformVM:
    """One entry VM on the platform.

    Args:
        settings: Settings of the VM.
        clock: Source of the current time.
    """

    def __init__(
        self, settings: _settings.PlatformVMSettings, clock: core.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics_page = core.MetricsPage()
        self._metrics = core.Metrics(None, '', self._metrics_page)
        self._cold_targets = limits.ColdTargets(clock, self._metrics)
        self._target_limits = limits.TargetLimits(
            clock, self._metrics, self._cold_targets
        )
        self._fleet_view = targets.FleetView(clock, settings.data_centre)
        self._evacuations = self._fleet_view.places.evacuations
        self._evacuations.subscribe(self._apply_evacuations)
        length_estimator = targets.LengthEstimator()
        self._admission = callers.Admission(
            clock, self._fleet_view, length_estimator, metrics=self._metrics
        )
        self._crash_ledger = targets.CrashLedger(
            clock,
            self._metrics,
            lambda subject: self._fleet.owns(subject),
        )
        self._crashes = targets.CrashMonitor(
            self._crash_ledger,
            targets.make_refusal_check(self._fleet_view, clock),
            clock,
            self._metrics,
        )
        self._routing_state = callers.RoutingState(
            clock,
            self._fleet_view,
            length_estimator,
            targets.RetryBudget(),
            self._crash_ledger,
            callers.WorkspaceLimits(clock),
            targets.EngineClients(self._target_limits),
            self._crashes,
            self._metrics,
        )
        self._active_routes = callers.ActiveRoutes()
        self._gate = callers.RequestGate(clock)
        self._running_streams = relay.RunningStreams()
        self._server_client = _servers.ServerClient(
            clock,
            self._get_tokens_per_event,
            self._target_limits,
            lambda *report: self._target_notices.record(*report),
            self._choose_bodies_limit(),
        )
        self._services: _configuration.Services = {}
        self._region_names: frozenset[str] = frozenset()
        self._deployment = core.Deployment(
            '', places=settings.places, weights=PLACEMENT_WEIGHTS
        )
        self._registry = targets.TargetRegistry(
            clock,
            self._deployment,
            self._apply_targets,
            self._evacuate,
            self._handle_restart,
        )
        self._leaving_targets = targets.LeavingTargets(
            clock, self._registry.find_registration, self._apply_leaving
        )
        self._target_notices = targets.TargetNotices(
            clock,
            self._fleet_view,
            self._leaving_targets,
            self._cold_targets,
            self._metrics,
        )
        self._directory = _directory.Directory(
            self._registry,
            self._leaving_targets.apply_entry,
            self._cold_targets.apply_entry,
        )
        self._fleet = _fleet.Fleet(
            settings,
            clock,
            self._metrics,
            self._registry,
            self._target_limits,
        )
        self._health_watch = _health.HealthWatch(
            self._server_client,
            self._registry,
            self._directory,
            self._fleet.permits.owns,
            clock,
        )
        self._permit_gate = limits.PermitGate(
            self._target_limits, self._fleet.permits, clock, self._metrics
        )
        self._target_limits.subscribe(
            lambda target, named: self._fleet_view.set_limit(
                target, named.rate
            )
        )
        self._crash_archive = self._fleet.share_crashes(self._crash_ledger)
        self._load_follower = targets.LoadFollower(
            _reports.ReportClients(self._server_client, self._registry),
            self._fleet_view,
            clock,
            lambda target, reclaim_at: self._evacuate(target),
            min_poll_seconds=REPORT_INTERVAL_SECONDS,
            cache_every=0,
            shared=self._fleet.loads,
            is_urgent=self._may_leave_unannounced,
        )
        self._fleet.loads.subscribe(
            self._load_follower.apply_report,
            self._fleet_view.record_sibling_send,
        )
        self._fleet_view.subscribe_sends(self._fleet.loads.publish_send)
        self._fleet.share_paces(self._fleet_view.paces)
        self._tasks: anyio.abc.TaskGroup | None = None
        self._front = self._build_front()
        self._caller_server = transport.HttpServer(
            self._front,
            settings.callers_address,
            keep_alive_seconds=KEEP_ALIVE_SECONDS,
            guard=self._build_caller_guard(),
        )
        self._readiness_server = transport.HttpServer(
            self._serve_readiness, settings.ready_address
        )
        self._metrics_server = self._build_metrics_server()

    @property
    def addresses(self) -> dict[str, str]:
        """IP address and port of each of the VM's servers.

        The address of `metrics` is empty if metrics are not served.
        """
        return {
            'callers': self._caller_server.address,
            'ready': self._readiness_server.address,
            'metrics': self._metrics_server.address
            if self._metrics_server is not None
            else '',
        }

    @property
    def is_ready(self) -> bool:
        """Whether the VM accepts new callers."""
        configured = (
            self._active_routes.table is not None and self._registry.loaded
        )
        return configured and not self._front.leaving

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
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
            stopping: Set when the VM has to shut down.
        """
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for follower in self._build_followers():
                tasks.start_soon(follower.run)
            tasks.start_soon(self._registry.run)
            tasks.start_soon(self._health_watch.run)
            tasks.start_soon(self._crashes.run)
            tasks.start_soon(self._crash_archive.run)
            tasks.start_soon(self._fleet.run)
            tasks.start_soon(self._fleet.loads.run)
            tasks.start_soon(self._caller_server.run)
            tasks.start_soon(self._readiness_server.run)
            if self._metrics_server is not None:
                tasks.start_soon(self._metrics_server.run)
            _LOGGER.info(
                'started; name=%s callers=%s',
                self._settings.name,
                self._caller_server.address,
            )
            await stopping.wait()
            await self._stop()
            tasks.cancel_scope.cancel()

    async def _stop(self) -> None:
        """Shut down gracefully, within the grace time.

        The VM reports that it is not ready, serves callers until the load
        balancer has noticed, and then waits for the requests in progress.
        """
        now = self._clock.now()
        deadline = now + self._settings.grace_seconds - STOP_MARGIN_SECONDS
        self._front.leave(deadline - ANSWER_SECONDS)
        self._fleet.announce_stopping()
        await self._clock.sleep_until(
            min(now + BALANCER_DELAY_SECONDS, deadline)
        )
        await self._drain(deadline)
        self._caller_server.abort()
        self._readiness_server.abort()
        if self._metrics_server is not None:
            self._metrics_server.abort()
        _LOGGER.info('stopped; unfinished=%d', self._gate.in_progress)

    async def _drain(self, deadline: float) -> None:
        """Wait until no request is in progress, or until a deadline.

        Another VM cannot continue a request on the platform, so requests
        are not cancelled before the process is about to exit. Callers whose
        answer has not begun by then are told that its outcome is unknown.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                core.cancel_at, self._clock, deadline, tasks.cancel_scope
            )
            await self._gate.drain(deadline - ANSWER_SECONDS)
            tasks.cancel_scope.cancel()

    def _build_metrics_server(self) -> transport.HttpServer | None:
        async def serve(
            scope: types.Scope, receive: types.Receive, send: types.Send
        ) -> None:
            self._metrics.set_gauge(
                'targets.registered', len(self._registry.targets)
            )
            self._metrics.set_gauge('callers.waiting', self._admission.waiting)
            self._metrics.set_gauge(
                'places.evacuated', len(self._evacuations.names)
            )
            await _pages.serve_metrics(self._metrics_page, send)

        try:
            return transport.HttpServer(serve, self._settings.metrics_address)
        except OSError as error:
            # A VM without metrics can still serve callers.
            _LOGGER.warning('metrics are not served; reason=%s', error)
            return None

    def _build_front(self) -> _front.FrontEnd:
        retries = self._settings.retries

        def make_retry_budget() -> targets.RetryBudget:
            return targets.RetryBudget(
                retries.share,
                lambda: retries.extra / self._fleet.count_vms(),
                retries.window,
            )

        placer = callers.RelayPlacer(
            self._routing_state,
            self._admission,
            make_retry_budget,
            PLACEMENT_WEIGHTS,
            self._load_follower.refresh,
            self._permit_gate,
        )
        # A request may wait for a permit, so where it may run is checked
        # after that.
        port = relay.LimitedPort(
            relay.CheckedPort(self._server_client, self._fleet_view.places),
            self._permit_gate,
            self._target_notices.find_back_off,
        )
        return _front.FrontEnd(
            self._active_routes,
            relay.CallRelay(placer, port, self._clock),
            relay.StreamRelay(
                placer, port, self._running_streams, self._clock
            ),
            self._gate,
            self._clock,
            self._metrics,
        )

    def _choose_bodies_limit(self) -> int:
        """Return the limit on answers that are read at once, in bytes."""
        memory = self._settings.memory_bytes
        if memory is None:
            return _servers.MAX_BODIES_BYTES
        share = memory // BODIES_FRACTION
        return min(_servers.MAX_BODIES_BYTES, max(share, MIN_BODIES_BYTES))

    def _build_caller_guard(self) -> transport.CallerGuard:
        limits = transport.make_limits(
            self._settings.memory_bytes, self._settings.max_descriptors
        )
        return transport.CallerGuard(
            transport.CallerBudget(limits),
            self._clock,
            self._find_caller_timeouts,
        )

    def _find_caller_timeouts(self) -> transport.CallerTimeouts:
        table = self._active_routes.table
        if table is None:
            return DEFAULT_CALLER_TIMEOUTS
        return transport.CallerTimeouts(
            table.head_timeout_seconds + CALLER_MARGIN_SECONDS,
            table.idle_timeout_seconds + CALLER_MARGIN_SECONDS,
        )

    def _build_followers(self) -> list[log.KeyedFollower]:
        clock = self._clock
        configuration = self._fleet.share_topic('op', bytes)
        servers = self._fleet.share_topic(
            'servers', _fleet.find_entry_fingerprint, _fleet.is_entry_changed
        )
        reader = _evacuations.OperatorsReader(
            self._evacuations,
            _configuration.ConfigurationReader(
                self._active_routes,
                self._apply_services,
                self._apply_cold,
            ),
        )
        return [
            log.KeyedFollower(
                'configuration',
                configuration,
                reader,
                clock,
                lambda: CONFIGURATION_PAUSE_SECONDS,
            ),
            log.KeyedFollower(
                'servers',
                servers,
                self._directory,
                clock,
                lambda: servers.find_pause(
                    self._choose_servers_pause(), SHARED_SERVERS_PAUSE_SECONDS
                ),
            ),
        ]

    def _choose_servers_pause(self) -> float:
        pause = PAUSE_PER_SERVER_SECONDS * len(self._registry.targets)
        return min(
            max(MIN_SERVERS_PAUSE_SECONDS, pause), MAX_SERVERS_PAUSE_SECONDS
        )

    def _apply_services(self, services: _configuration.Services) -> None:
        self._services = services
        self._front.apply_services(services)
        self._directory.apply_services(services)
        self._apply_regions()

    def _apply_regions(self) -> None:
        """Use engines of the regions to which requests are restricted."""
        table = self._active_routes.table
        names = places.list_names(table.regions if table is not None else [])
        if names != self._region_names:
            self._region_names = names
            self._apply_targets(self._deployment)

    def _apply_evacuations(self, begun: frozenset[str]) -> None:
        """Use other targets, and migrate the streams that can migrate."""
        self._apply_targets(self._deployment)
        for name, target in self._deployment.targets.items():
            if target.data_centre in begun:
                self._evacuate(name)

    def _apply_cold(self, services: _configuration.ColdServices) -> None:
        self._cold_targets.apply_starts(
            {name: service.start for name, service in services.items()}
        )
        self._health_watch.apply_paths(
            {name: service.health_path for name, service in services.items()}
        )

    def _apply_targets(self, deployment: core.Deployment) -> None:
        self._deployment = deployment
        limited = targets.limit_engines(
            deployment,
            self._settings.name,
            self._settings.data_centre,
            regions=self._region_names,
            evacuated=self._evacuations.names,
        )
        self._fleet_view.apply_deployment(limited)
        self._admission.apply_deployment(limited)
        if self._tasks is not None:
            self._load_follower.apply_deployment(limited, self._tasks)
        self._server_client.close_removed(deployment.targets)
        self._target_limits.drop_expired()

    def _may_leave_unannounced(self, target: str) -> bool:
        """Return whether only its reports can tell that an engine leaves.

        This concerns engines that run requests of this VM while their
        entries cannot be read.
        """
        state = self._fleet_view.find(target)
        return not self._registry.reliable and bool(state and state.sends)

    def _evacuate(self, target: str) -> None:
        self._running_streams.evacuate(target)

    def _apply_leaving(self, target: str, leaving: bool) -> None:
        self._fleet_view.set_leaving(target, leaving)
        if leaving:
            self._evacuate(target)

    def _handle_restart(self, target: str) -> None:
        """Forget what is known of a target from before it started again."""
        self._target_limits.forget(target)
        self._fleet_view.forget_restarted(target)
        self._target_notices.record_restart(target)

    def _get_tokens_per_event(self, service: str) -> int:
        engine = self._services.get(service)
        return engine.tokens_per_event if engine is not None else 1

    async def _serve_readiness(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        await _pages.serve_readiness(lambda: self.is_ready, send)


async def _wait_for_stop(
    signals: typing.AsyncIterator[signal.Signals], stopping: anyio.Event
) -> None:
    async for received in signals:
        _LOGGER.info('signal received; signal=%s', received.name)
        # SIGHUP is ignored: a running process does not reload its settings.
        if received is not signal.SIGHUP:
            stopping.set()


def run_vm() -> None:
    """Run an entry VM with the settings file named by the environment.

    Raises:
        FindingsError: The settings are invalid.
    """
    path = os.environ.get(_settings.SETTINGS_VARIABLE, '')
    settings = _settings.load_settings(path)
    stream = core.DroppingStream(sys.stdout.fileno())
    core.configure_logging('info', 'json', stream)
    if not _memory.return_large_blocks():
        _LOGGER.info('the allocator keeps its defaults')
    vm = PlatformVM(settings, core.SteadyClock())
    _memory.collect_sooner()
    anyio.run(vm.run)
