"""A VM on loopback with servers and engines in several data centres."""

from __future__ import annotations

import contextlib
import typing

import anyio
import anyio.lowlevel
import attrs

from laburnumstep import core
from laburnumstep import platform
from laburnumstep import transport
from support import platform_engine
from support import platform_harness

PLACES = {
    'lima': core.Place('lima', ['lima-1', 'lima-2']),
    'piura': core.Place('piura', ['piura-1']),
}
"""Regions of the harness. The VM is in `lima-1`."""
DEADLY_PART = 'deadly'
"""Part of a prompt on which an engine crashes."""


def make_configuration(
    version: int, route: list[str], workspace: list[str]
) -> platform_harness.Document:
    """Return the default configuration with allowed regions.

    Args:
        version: Version of the configuration.
        route: Allowed regions of all routes.
        workspace: Allowed regions of the workspace.
    """
    document = platform_harness.make_configuration(version)
    for item in document['routes']:
        item['allowedRegions'] = route
    for item in document['tenants']:
        item['allowedRegions'] = workspace
    return document


class PlacesHarness:
    """Runs a store, a VM, and targets in several data centres.

    Args:
        members: Names and data centres of the targets. Names of engines
            begin with `e`; all others are servers of a plain service.
    """

    def __init__(self, members: dict[str, str]) -> None:
        self.store = platform_harness.FakeStore()
        self.members = members
        self.servers = {
            name: platform_harness.FakeServer(name)
            for name in members
            if not name.startswith('e')
        }
        self.engines = {
            name: platform_engine.CrashingEngine(name, DEADLY_PART)
            for name in members
            if name.startswith('e')
        }
        self.store_scope = anyio.CancelScope()
        """Ends the store when it is cancelled."""
        self.vm_started = anyio.Event()
        """Set to start the VM."""
        self.address = ''
        self.ready_address = ''
        self.metrics_address = ''

    @contextlib.asynccontextmanager
    async def run(self) -> typing.AsyncIterator[PlacesHarness]:
        """Run the store and the targets, and the VM once it is started."""
        async with contextlib.AsyncExitStack() as stack:
            tasks = await stack.enter_async_context(anyio.create_task_group())
            store = await tasks.start(self._run_store)
            for name, server in self.servers.items():
                running = await stack.enter_async_context(
                    transport.serve_app(server.app)
                )
                self._register(name, running.address)
            for name, engine in self.engines.items():
                await tasks.start(engine.run)
                self._register(
                    name,
                    engine.address,
                    service='llm',
                    models=[{'name': 'm'}],
                )
            tasks.start_soon(self._run_vm, store)
            yield self
            tasks.cancel_scope.cancel()

    def list_receivers(self) -> set[str]:
        """Return the targets that have received a request."""
        names = {n for n, server in self.servers.items() if server.received}
        return names | {
            n
            for n, engine in self.engines.items()
            if engine.answered or engine.crashed
        }

    def forget_requests(self) -> None:
        """Forget the requests that the targets have received."""
        for server in self.servers.values():
            server.received.clear()
        for engine in self.engines.values():
            engine.answered.clear()

    async def start_vm(self) -> None:
        """Start the VM and wait until it is ready."""
        self.vm_started.set()
        ready = platform_harness.encode_request('/v1/ready', 'GET', b'')
        while (
            not self.ready_address
            or (
                await platform_harness.send_raw(self.ready_address, ready)
            ).status
            != 200
        ):
            await anyio.lowlevel.checkpoint()

    async def _run_store(
        self, *, task_status: anyio.abc.TaskStatus[str]
    ) -> None:
        with self.store_scope:
            async with transport.serve_app(self.store.app) as store:
                task_status.started(store.address)
                await anyio.sleep_forever()

    async def _run_vm(self, store_address: str) -> None:
        await self.vm_started.wait()
        settings = attrs.evolve(
            platform_harness.make_settings(store_address), places=PLACES
        )
        vm = platform.PlatformVM(settings, core.SteadyClock())
        self.address = vm.addresses['callers']
        self.ready_address = vm.addresses['ready']
        self.metrics_address = vm.addresses['metrics']
        await vm.serve(anyio.Event())

    def _register(
        self, name: str, address: str, **changes: typing.Any
    ) -> None:
        entry = platform_harness.make_entry(
            address, zone=self.members[name], **changes
        )
        self.store.append_record('keyed.servers', name, entry)
