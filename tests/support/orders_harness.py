"""Runs VMs that send orders to an engine under a lease from the log."""

from __future__ import annotations

import contextlib
import json
import random
import time
import typing

import anyio
import attrs

from laburnumstep import core
from laburnumstep import log
from laburnumstep import targets
from laburnumstep import transport
from laburnumstep import weights
from laburnumstep_standins import engine
from laburnumstep_standins import log as log_standin
from laburnumstep_standins import weights as weights_standin
from support import permits

RESOURCE = 'orders/lima-1'
"""Resource that the lease covers."""
TICK_SECONDS = 0.25
"""Time by which a tick advances the clock, in seconds."""
TICK_EXCHANGES = 3
"""Load reports that are read in each tick."""
TIMEOUT_SECONDS = 30
"""Longest wait before a hanging scenario fails, in seconds."""


class PausableClock:
    """The clock of one VM, which does not wake up while it is paused.

    Args:
        clock: Clock of the harness.
    """

    def __init__(self, clock: core.ManualClock) -> None:
        self._clock = clock
        self._resumed = anyio.Event()
        self._resumed.set()

    def now(self) -> float:
        """Return the time in epoch seconds."""
        return self._clock.now()

    async def sleep_until(self, deadline: float) -> None:
        """Wait until a time and, if paused, until the resumption."""
        await self._clock.sleep_until(deadline)
        await self._resumed.wait()

    def pause(self) -> None:
        """Let waiting tasks sleep until `resume`."""
        self._resumed = anyio.Event()

    def resume(self) -> None:
        """Wake tasks whose deadline has passed."""
        self._resumed.set()


@attrs.define
class VM:
    """The parts of an entry VM that send orders."""

    clock: PausableClock
    leases: log.LeaseKeeper
    orders: targets.OrderReconciler
    fetcher: weights.WeightFetcher
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


class OrdersHarness:
    """Runs a log, a weight store, an engine and VMs.

    Args:
        tasks: Group of the tasks of the VMs.
        checks_fence: Whether the engine refuses old fencing tokens.
        order_seconds: Time that an order takes on the engine, in seconds.
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        checks_fence: bool,
        order_seconds: float,
    ) -> None:
        self._tasks = tasks
        self.clock = core.ManualClock(time.time())
        self.log = log_standin.LogStandIn(self.clock)
        self.store = weights_standin.WeightStandIn(self.clock)
        self.engine = engine.EngineStandIn(
            self.clock,
            engine.EngineConfig(
                model='plan',
                version='1',
                checks_fence=checks_fence,
                order_seconds=order_seconds,
            ),
        )
        self._engines = targets.EngineClients(
            permits.make_limits(core.SystemClock())
        )
        self.addresses: dict[str, str] = {}
        self.vms: dict[str, VM] = {}
        self.reports: dict[str, targets.LoadReport] = {}
        self.orders: list[tuple[int, str]] = []
        """Fencing token and version of each order that was sent."""

    def add_vm(self, name: str) -> None:
        """Start a VM that tries to acquire the lease."""
        clock = PausableClock(self.clock)
        client = log.LogClient(self.addresses['log'], clock)
        leases = log.LeaseKeeper(client, name, clock, random.Random(name))
        permits = weights.FetchPermits(client, name, clock, 1.0)
        store = weights.WeightClient(self.addresses['store'])
        fetcher = weights.WeightFetcher(store, permits, clock)
        orders = targets.OrderReconciler(
            RESOURCE,
            leases,
            fetcher,
            self.reports.get,
            clock,
            core.Metrics(None, ''),
        )
        vm = self.vms[name] = VM(clock, leases, orders, fetcher)
        leases.request(RESOURCE)
        self._tasks.start_soon(self._run_vm, vm)

    async def _run_vm(self, vm: VM) -> None:
        with vm.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(vm.leases.run)
                tasks.start_soon(vm.orders.run)

    def kill(self, name: str) -> None:
        """Kill a VM."""
        self.vms.pop(name).scope.cancel()

    def pause(self, name: str) -> None:
        """Stop the tasks of a VM at their next wait for the clock."""
        self.vms[name].clock.pause()

    def resume(self, name: str) -> None:
        """Resume a paused VM."""
        self.vms[name].clock.resume()

    def declare(self, vm: str, version: str) -> None:
        """Apply a declared version of the engine's model at a VM."""
        self.vms[vm].orders.apply_engines([self._make_target(version)])

    def _make_target(self, version: str) -> core.EngineTarget:
        address = self.addresses['engine']
        return core.EngineTarget(
            'gang-1', 'lima-1', address, ['plan'], 1000, True, version
        )

    def list_holders(self) -> list[str]:
        """Return the VMs that regard themselves as holders of the lease."""
        return [
            name
            for name, vm in self.vms.items()
            if vm.leases.find_fencing_token(RESOURCE) is not None
        ]

    async def run_for(self, seconds: float) -> None:
        """Advance the clock tick by tick."""
        for _ in range(round(seconds / TICK_SECONDS)):
            await self.tick()

    async def run_until(self, condition: typing.Callable[[], bool]) -> None:
        """Advance the clock until a condition is true.

        Raises:
            TimeoutError: It is still false after `TIMEOUT_SECONDS`.
        """
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not condition():
                await self.tick()

    async def tick(self) -> None:
        """Advance the clock and read the load report of the engine.

        Reading the report gives the VMs time to complete their requests.
        """
        self.clock.advance(TICK_SECONDS)
        client = self._engines.get('gang-1')
        for _ in range(TICK_EXCHANGES):
            self.reports['gang-1'] = await client.read_load(time.time() + 5)

    def reported_version(self) -> str:
        """Return the model version that the engine reports."""
        return self.reports['gang-1'].versions['plan']

    async def serve(self, stack: contextlib.AsyncExitStack) -> None:
        """Serve the stand-ins until the exit stack is closed."""
        for name, app in {
            'log': self.log.app,
            'store': self.store.app,
            'engine': self._record_orders(self.engine.app),
        }.items():
            server = await stack.enter_async_context(transport.serve_app(app))
            self.addresses[name] = server.address
        self._engines.apply_deployment(
            core.Deployment(
                'cuadrilla', targets={'gang-1': self._make_target('')}
            )
        )
        await self.tick()

    def _record_orders(self, app: typing.Any) -> typing.Any:
        async def record(scope, receive, send) -> None:
            if scope.get('path') != '/v1/orders':
                await app(scope, receive, send)
                return
            message = await receive()
            body = json.loads(message['body'])
            self.orders.append((body['fence'], body['version']))

            async def replay():
                return message

            await app(scope, replay, send)

        return record


@contextlib.asynccontextmanager
async def open_harness(
    checks_fence: bool = True, order_seconds: float = 0.0
) -> typing.AsyncIterator[OrdersHarness]:
    """Run a harness with its stand-ins while the context is open.

    Args:
        checks_fence: Whether the engine refuses old fencing tokens.
        order_seconds: Time that an order takes on the engine, in seconds.
    """
    async with anyio.create_task_group() as tasks:
        harness = OrdersHarness(tasks, checks_fence, order_seconds)
        async with contextlib.AsyncExitStack() as stack:
            await harness.serve(stack)
            yield harness
            tasks.cancel_scope.cancel()
