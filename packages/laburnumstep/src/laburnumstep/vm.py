"""The entry VM's process: its parts and their tasks."""

from __future__ import annotations

import signal

import anyio

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import log
from laburnumstep import services
from laburnumstep import targets
from laburnumstep import transport

_LOGGER = core.get_logger('vm')


class EntryVM:
    """One entry VM.

    Args:
        settings: Checked settings.
        clock: The time.
    """

    def __init__(self, settings: core.Settings, clock: core.Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = core.Metrics(
            settings.statsd.address, settings.statsd.prefix
        )
        self._log = log.LogClient(settings.log.address, clock)
        self._follower = log.ConfigurationFollower(self._log, clock)
        self._gate = callers.RequestGate(clock)
        self._state = self._build_state()
        self._admission = callers.Admission(
            clock, self._state.view, self._state.lengths
        )
        self._loads = targets.LoadFollower(
            self._state.clients, self._state.view, clock, self._note_reclaim
        )
        self._callers = transport.HttpServer(
            self._build_callers_app().app,
            settings.callers.address,
            settings.callers.certificate,
            settings.callers.private_key,
        )

    @property
    def callers_address(self) -> str:
        """IP number and port on which callers are served."""
        return self._callers.address

    async def run(self) -> None:
        """Serve until SIGTERM, then shut down gracefully."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follower.run)
            tasks.start_soon(self._apply_configurations)
            tasks.start_soon(self._callers.run)
            _LOGGER.info(
                'running; name=%s callers=%s',
                self._settings.vm.name,
                self.callers_address,
            )
            await self._wait_for_signal()
            await self._stop()
            tasks.cancel_scope.cancel()

    async def _wait_for_signal(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for received in signals:
                _LOGGER.info('stopping; signal=%s', received.name)
                return

    async def _stop(self) -> None:
        deadline = self._clock.now() + self._settings.vm.stop_seconds
        await self._gate.drain(deadline)
        self._callers.stop()
        _LOGGER.info('stopped; every request has ended')

    async def _apply_configurations(self) -> None:
        version = 0
        async with anyio.create_task_group() as tasks:
            while True:
                await self._follower.wait_for_version(version + 1)
                current = self._follower.current
                assert current is not None
                version = current.version
                self._state.clients.apply_deployment(current.deployment)
                self._state.view.apply_deployment(current.deployment)
                self._state.limits.apply_deployment(current.deployment)
                self._admission.apply_deployment(current.deployment)
                self._loads.apply_deployment(tasks)
                _LOGGER.info(
                    'configuration in force; version=%d digest=%s',
                    version,
                    current.digest,
                )

    def _build_state(self) -> callers.RoutingState:
        clock = self._clock
        return callers.RoutingState(
            clock,
            targets.FleetView(clock, self._settings.vm.data_centre),
            targets.LengthEstimator(),
            targets.RetryBudget(),
            targets.CrashSuspects(clock=clock),
            callers.WorkspaceLimits(clock),
            targets.EngineClients(),
            self._metrics,
        )

    def _build_callers_app(self) -> callers.CallersApp:
        placer = callers.EnginePlacer(
            self._state,
            self._admission,
            lambda decision: None,
            lambda crash: None,
        )
        return callers.CallersApp(
            services.VMServices(
                self._state,
                placer,
                targets.GenerationRunner(placer, self._clock),
                self._follower,
            ),
            self._gate,
            callers.HandleSigner(self._settings.siblings.signing_key),
            self._clock,
            self._metrics,
        )

    def _note_reclaim(self, target: str, reclaim_at: float) -> None:
        self._state.view.set_leaving(target, True)
