"""VMs that give orders to engines under leases from the log."""

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

RESOURCE = 'orders/lima-1'
TICK_SECONDS = 0.25
TICK_EXCHANGES = 3
HANG_SECONDS = 30


class PausableClock:
    """A clock of one VM; a paused VM does not wake up."""

    def __init__(self, clock: core.ManualClock) -> None:
        self._clock = clock
        self._resumed = anyio.Event()
        self._resumed.set()

    def now(self) -> float:
        """Return the time in epoch seconds."""
        return self._clock.now()

    async def sleep_until(self, deadline: float) -> None:
        """Wait until a time, and as long as the VM is paused."""
        await self._clock.sleep_until(deadline)
        await self._resumed.wait()

    def pause(self) -> None:
        """Stop waking up."""
        self._resumed = anyio.Event()

    def resume(self) -> None:
        """Wake up again."""
        self._resumed.set()


@attrs.define
class VM:
    """One entry VM, as far as orders concern it."""

    clock: PausableClock
    leases: log.LeaseKeeper
    orders: targets.OrderReconciler
    fetcher: weights.WeightFetcher
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


class Rig:
    """A log, a weight store, an engine and VMs."""

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
        self._engines = targets.EngineClients()
        self.addresses: dict[str, str] = {}
        self.vms: dict[str, VM] = {}
        self.reports: dict[str, targets.LoadReport] = {}
        self.orders: list[tuple[int, str]] = []
        """Fencing number and version of each order that was sent."""

    def add_vm(self, name: str) -> None:
        """Start a VM that wants the lease."""
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
        """End a VM."""
        self.vms.pop(name).scope.cancel()

    def pause(self, name: str) -> None:
        """Stop a VM's tasks at their next wait for the clock."""
        self.vms[name].clock.pause()

    def resume(self, name: str) -> None:
        """Let a paused VM go on."""
        self.vms[name].clock.resume()

    def declare(self, vm: str, version: str) -> None:
        """Put a declared version of the engine's model in force at a VM."""
        self.vms[vm].orders.apply_engines([self._declare(version)])

    def _declare(self, version: str) -> core.EngineTarget:
        address = self.addresses['engine']
        return core.EngineTarget(
            'gang-1', 'lima-1', address, ['plan'], 1000, True, version
        )

    def list_holders(self) -> list[str]:
        """Return the VMs that hold the lease by their own reading."""
        return [
            name
            for name, vm in self.vms.items()
            if vm.leases.find_fencing_token(RESOURCE) is not None
        ]

    async def run_for(self, seconds: float) -> None:
        """Let the clock run, with time for the exchanges of each tick."""
        for _ in range(round(seconds / TICK_SECONDS)):
            await self.tick()

    async def run_until(self, condition: typing.Callable[[], bool]) -> None:
        """Let the clock run until a condition holds."""
        with anyio.fail_after(HANG_SECONDS):
            while not condition():
                await self.tick()

    async def tick(self) -> None:
        """Advance the clock and read the engine's report.

        The exchanges with the engine give the VMs' exchanges time to end.
        """
        self.clock.advance(TICK_SECONDS)
        client = self._engines.get('gang-1')
        for _ in range(TICK_EXCHANGES):
            self.reports['gang-1'] = await client.read_load(time.time() + 5)

    def reported_version(self) -> str:
        """Return the version that the engine reports."""
        return self.reports['gang-1'].versions['plan']

    async def serve(self, stack: contextlib.AsyncExitStack) -> None:
        """Serve the stand-ins until the stack is left."""
        for name, app in {
            'log': self.log.app,
            'store': self.store.app,
            'engine': self._record_orders(self.engine.app),
        }.items():
            server = await stack.enter_async_context(transport.serve_app(app))
            self.addresses[name] = server.address
        self._engines.apply_deployment(
            core.Deployment('cuadrilla', targets={'gang-1': self._declare('')})
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
async def open_rig(
    checks_fence: bool = True, order_seconds: float = 0.0
) -> typing.AsyncIterator[Rig]:
    """Serve the stand-ins of a rig while the context is open."""
    async with anyio.create_task_group() as tasks:
        rig = Rig(tasks, checks_fence, order_seconds)
        async with contextlib.AsyncExitStack() as stack:
            await rig.serve(stack)
            yield rig
            tasks.cancel_scope.cancel()
