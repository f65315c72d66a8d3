"""A VM on loopback with servers and engines in several data centres."""

from __future__ import annotations

import contextlib
import typing

import anyio
import anyio.abc
import anyio.lowlevel
import attrs
import h11
from starlette import responses
from starlette import types

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


class MovingEngine(platform_engine.CrashingEngine):
    """Continues the runs of other engines, and copies runs to them."""

    def __init__(self, name: str, deadly_part: str) -> None:
        super().__init__(name, deadly_part)
        self.stops = False
        """Whether a new run stops after its first event."""
        self.go_on = anyio.Event()
        """Set to let a run that has stopped go on."""
        self.begun = 0
        """Number of runs that have sent their first event."""
        self.continued = 0
        """Number of runs that were continued from a copy."""

    async def _answer(
        self,
        protocol: h11.Connection,
        stream: anyio.abc.SocketStream,
        request: h11.Request,
    ) -> None:
        names = {name for name, _ in request.headers}
        if request.target == b'/v1/report':
            # With this much in use, it holds no backup. A stream without one
            # is not continued elsewhere because its engine pauses.
            report = {
                **platform_engine.REPORT,
                'running': 1,
                'kvUsed': 15_000,
            }
            await platform_engine.send_json(protocol, stream, report)
        elif request.target == b'/v1/kv-move':
            await platform_engine.send_json(protocol, stream, {'handle': 'h'})
        elif b'kv-from' in names:
            self.continued += 1
            await self._stream_events(protocol, stream, 2)
        elif self.stops:
            await self._stream_events(protocol, stream, 1)
        else:
            await super()._answer(protocol, stream, request)

    async def _stream_events(
        self,
        protocol: h11.Connection,
        stream: anyio.abc.SocketStream,
        first: int,
    ) -> None:
        """Stream the events from a first one, and stop after event 1."""
        await platform_engine.send_head(protocol, stream, 'attempt-1')
        for number in range(first, platform_engine.EVENTS + 1):
            await platform_engine.send_event(protocol, stream, number)
            if number == 1:
                self.begun += 1
                await self.go_on.wait()
        await platform_engine.send_end(protocol, stream)


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
            name: MovingEngine(name, DEADLY_PART)
            for name in members
            if name.startswith('e')
        }
        self.store_away = False
        """Whether the store refuses all reads."""
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
            store = await stack.enter_async_context(
                transport.serve_app(self._serve_store)
            )
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
            tasks.start_soon(self._run_vm, store.address)
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

    async def _serve_store(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        if self.store_away:
            answer = responses.Response(status_code=503)
            await answer(scope, receive, send)
        else:
            await self.store.app(scope, receive, send)

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
