"""Process of the entry VM: builds its components and runs their tasks."""

from __future__ import annotations

import random
import signal
import typing

import anyio

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import fleet
from laburnumstep import log
from laburnumstep import operations
from laburnumstep import operators
from laburnumstep import services
from laburnumstep import siblings
from laburnumstep import targets
from laburnumstep.targets import limits
from laburnumstep import transport
from laburnumstep import vmlist
from laburnumstep import weights

DEFAULT_VMS = 400
"""Assumed number of VMs as long as no sibling has been heard of. It exceeds
the largest deployment, so that shares of a common limit stay small."""
FLUSH_SECONDS = 5.0
"""Timeout for appending the last settlements as the VM stops, in seconds."""

_LOGGER = core.get_logger('vm')


class EntryVM:
    """One entry VM.

    Args:
        settings: Validated settings.
        clock: Clock of all components.
    """

    def __init__(self, settings: core.Settings, clock: core.Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = core.Metrics(
            settings.statsd.address, settings.statsd.prefix
        )
        self._log = log.LogClient(settings.log.address, clock)
        self._follower = log.ConfigurationFollower(self._log, clock)
        self._claims = self._build_claims()
        self._target_limits = limits.TargetLimits(clock, self._metrics)
        self._gate = callers.RequestGate(clock)
        self._state = self._build_state()
        self._admission = callers.Admission(
            clock,
            self._state.view,
            self._state.lengths,
            metrics=self._metrics,
        )
        self._abandoned = targets.AbandonedGenerations(
            self._state.clients, clock
        )
        self._membership = self._build_membership()
        fleet.CrashExchange(self._state.ledger, self._membership)
        self._permits = self._build_permits()
        self._permit_gate = limits.PermitGate(
            self._target_limits, self._permits, clock, self._metrics
        )
        self._target_limits.subscribe(
            lambda target, named: self._state.view.set_limit(
                target, named.rate
            )
        )
        self._operations = operations.VMOperations(
            settings.vm, self._follower, self._membership, self._gate, clock
        )
        self._gossip = fleet.RoutingGossip(
            self._state,
            self._membership,
            settings.vm.name,
            self._operations.stop,
        )
        self._vmlist = vmlist.VMListFollower(
            vmlist.VMListClient(settings.vmlist.address),
            clock,
            self._membership.apply_vm_list,
            random.Random(),
        )
        self._snapshots = log.SnapshotRepublisher(
            self._log,
            clock,
            self._follower,
            settings.vm.name,
            self._membership.live_vms,
            settings.log.retention_seconds,
        )
        self._loads = targets.LoadFollower(
            self._state.clients,
            self._state.view,
            clock,
            self._handle_reclaim,
        )
        self._shares = fleet.ShareExchange(
            self._state.limits,
            self._membership,
            self._follower,
            clock,
            settings.vm.name,
        )
        self._leases = log.LeaseKeeper(self._log, settings.vm.name, clock)
        self._orders = self._build_orders()
        self._decisions = operators.DecisionLog()
        self._placer = callers.EnginePlacer(
            self._state,
            self._admission,
            self._decisions.record,
            self._permit_gate,
        )
        self._runner = targets.GenerationRunner(
            self._placer, clock, self._abandoned
        )
        self._operators_server = transport.HttpServer(
            self._build_operators_app().app, settings.operators.address
        )
        self._callers_server = transport.HttpServer(
            self._build_callers_app().app,
            settings.callers.address,
            settings.callers.certificate,
            settings.callers.private_key,
        )
        self._started = anyio.Event()

    @property
    def addresses(self) -> dict[str, str]:
        """IP address and port of each server, after its start."""
        return {
            'callers': self._callers_server.address,
            'operators': self._operators_server.address,
            'siblings': self._membership.address,
        }

    async def wait_started(self) -> None:
        """Wait until every server listens."""
        await self._started.wait()

    async def run(self) -> None:
        """Serve until SIGTERM, then shut down gracefully."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async with anyio.create_task_group() as tasks:
                await tasks.start(self._membership.run)
                tasks.start_soon(self._follower.run)
                tasks.start_soon(self._apply_configurations)
                tasks.start_soon(self._snapshots.run)
                tasks.start_soon(self._claims.run)
                tasks.start_soon(self._vmlist.run)
                tasks.start_soon(self._gossip.run)
                tasks.start_soon(self._abandoned.run)
                tasks.start_soon(self._shares.run)
                tasks.start_soon(self._leases.run)
                tasks.start_soon(self._orders.run)
                tasks.start_soon(self._callers_server.run)
                tasks.start_soon(self._operators_server.run)
                self._started.set()
                _LOGGER.info(
                    'running; name=%s callers=%s siblings=%s',
                    self._settings.vm.name,
                    self._callers_server.address,
                    self._membership.address,
                )
                async with anyio.create_task_group() as waiting:
                    waiting.start_soon(
                        self._wait_for_signal, signals, waiting.cancel_scope
                    )
                    await self._operations.wait_for_drain()
                    waiting.cancel_scope.cancel()
                await self._shut_down()
                tasks.cancel_scope.cancel()

    async def _wait_for_signal(
        self,
        signals: typing.AsyncIterator[signal.Signals],
        scope: anyio.CancelScope,
    ) -> None:
        async for received in signals:
            _LOGGER.info('stopping; signal=%s', received.name)
            scope.cancel()

    async def _shut_down(self) -> None:
        self._membership.announce_stopping()
        deadline = self._clock.now() + self._settings.vm.stop_seconds
        await self._gate.drain(deadline)
        self._callers_server.stop()
        self._operators_server.stop()
        await self._claims.flush(self._clock.now() + FLUSH_SECONDS)
        _LOGGER.info('stopped; every request has ended')

    async def _apply_configurations(self) -> None:
        current = None
        async with anyio.create_task_group() as tasks:
            while True:
                current = await self._follower.wait_for_change(current)
                self._state.clients.apply_deployment(current.deployment)
                used = targets.limit_engines(
                    current.deployment,
                    self._settings.vm.name,
                    self._settings.vm.data_centre,
                )
                self._state.view.apply_deployment(used)
                self._state.limits.apply_deployment(current.deployment)
                self._admission.apply_deployment(current.deployment)
                self._target_limits.drop_expired()
                self._loads.apply_deployment(used, tasks)
                self._orders.apply_engines(
                    self._list_local_engines(current.deployment)
                )
                self._membership.announce_configuration()
                _LOGGER.info(
                    'configuration in force; version=%d digest=%s',
                    current.version,
                    current.digest,
                )

    def _build_state(self) -> callers.RoutingState:
        clock = self._clock
        view = targets.FleetView(clock, self._settings.vm.data_centre)
        ledger = targets.CrashLedger(
            clock,
            self._metrics,
            lambda subject: self._membership.owns(subject),
        )
        return callers.RoutingState(
            clock,
            view,
            targets.LengthEstimator(),
            targets.RetryBudget(),
            ledger,
            callers.WorkspaceLimits(clock),
            targets.EngineClients(self._target_limits),
            targets.CrashMonitor(
                ledger,
                targets.make_refusal_check(view, clock),
                clock,
                self._metrics,
            ),
            self._metrics,
        )

    def _build_claims(self) -> log.ClaimStore:
        name = self._settings.vm.name
        forwarder = fleet.SiblingClaims(name, lambda: self._membership)
        return log.ClaimStore(self._log, name, self._clock, forwarder)

    def _build_membership(self) -> siblings.Membership:
        settings = self._settings
        return siblings.Membership(
            siblings.Identity(settings.vm.name, settings.vm.data_centre),
            siblings.GrpcLinks(
                settings.siblings.address, settings.siblings.key, self._clock
            ),
            settings.siblings.seeds,
            siblings.MembershipCallbacks(
                lambda: self._follower.current,
                self._follower.adopt,
                self._serve_claims,
                receive_permits=lambda message: self._permits.receive(message),
            ),
            self._clock,
            self._metrics,
            random.Random(),
        )

    def _build_permits(self) -> fleet.PermitExchange:
        assumed_vms = DEFAULT_VMS if self._settings.siblings.seeds else 1
        return fleet.PermitExchange(
            self._settings.vm.name,
            self._membership,
            self._target_limits,
            limits.PermitIssuer(self._target_limits, self._clock),
            self._clock,
            assumed_vms,
        )

    async def _serve_claims(
        self, request: siblings.ClaimForward
    ) -> core.DocumentObject:
        return await fleet.serve_claims(self._claims, request)

    def _build_orders(self) -> targets.OrderReconciler:
        """Return the component that sends orders to engines.

        Of the VMs in a data centre, only the holder of its lease sends them.
        """
        settings = self._settings
        resource = f'orders-{settings.vm.data_centre}'
        self._leases.request(resource)
        permits = weights.FetchPermits(
            self._log,
            settings.vm.name,
            self._clock,
            settings.weights.fetches_per_second,
        )
        client = weights.WeightClient(settings.weights.address)
        return targets.OrderReconciler(
            resource,
            self._leases,
            weights.WeightFetcher(client, permits, self._clock),
            self._find_report,
            self._clock,
            self._metrics,
        )

    def _find_report(self, target: str) -> targets.LoadReport | None:
        state = self._state.view.find(target)
        return state.report if state is not None else None

    def _list_local_engines(
        self, deployment: core.Deployment
    ) -> list[core.EngineTarget]:
        return [
            target
            for target in deployment.targets.values()
            if isinstance(target, core.EngineTarget)
            and target.data_centre == self._settings.vm.data_centre
        ]

    def _handle_reclaim(self, target: str, reclaim_at: float) -> None:
        """Place no new work on a target and migrate what it cannot finish."""
        self._gossip.announce_reclaim(target, reclaim_at)
        unfinished = targets.list_unfinished(
            self._state.view, target, self._state.lengths
        )
        self._runner.move([send.generation_id for send in unfinished])

    def _build_operators_app(self) -> operators.OperatorsApp:
        return operators.OperatorsApp(
            self._settings.operators.key,
            self._operations,
            self._decisions,
            self._operations,
            self._state.ledger,
        )

    def _build_callers_app(self) -> callers.CallersApp:
        calls = targets.CallRunner(
            targets.ServiceClients(self._target_limits, self._clock),
            self._claims,
            self._state.budget,
            self._permit_gate,
            self._state.view.set_held,
            self._clock,
            self._metrics,
        )
        return callers.CallersApp(
            services.VMServices(
                self._state,
                self._placer,
                self._runner,
                calls,
                self._claims,
                self._follower,
                self._decisions.record,
            ),
            self._gate,
            callers.HandleSigner(self._settings.siblings.signing_key),
            self._clock,
            self._metrics,
        )
