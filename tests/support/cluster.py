"""Entry VMs as processes, with stand-ins in the process of the test."""

from __future__ import annotations

import contextlib
import pathlib
import time
import typing

import anyio
import anyio.abc
import attrs

from laburnumstep import core
from laburnumstep import log
from laburnumstep import transport
from laburnumstep_standins import caller
from laburnumstep_standins import engine
from laburnumstep_standins import log as log_stand_in
from laburnumstep_standins import processes
from laburnumstep_standins import service
from laburnumstep_standins import settings
from laburnumstep_standins import vmlist
from laburnumstep_standins import weights
from support import link
from support import polling

if typing.TYPE_CHECKING:
    import collections.abc

ENGINES = ('gang-1', 'gang-2', 'gang-3')
MODEL = 'planner'
SERVICE = 'booking'
WORKSPACE = 'callao'
SECRET = 'callao-key'
DEADLINE_SECONDS = polling.LIMIT_SECONDS
"""Longest wait for a response or an event, in seconds."""


@attrs.define
class EngineHost:
    """An engine and the forwarder in front of it."""

    stand_in: engine.EngineStandIn
    path: link.Link


class Cluster:
    """Runs stand-ins, and entry VMs that are started by name.

    Args:
        directory: Directory for settings and log files.
        tasks: Group of the tasks that run processes and servers.
    """

    def __init__(
        self, directory: pathlib.Path, tasks: anyio.abc.TaskGroup
    ) -> None:
        self._directory = directory
        self._tasks = tasks
        self._stopping = anyio.Event()
        self.clock = core.SystemClock()
        self.log = log_stand_in.LogStandIn(self.clock, 100_000.0)
        self.vmlist = vmlist.VMListStandIn(self.clock)
        self.service = service.ServiceStandIn()
        self.weights = weights.WeightStandIn(self.clock, 10.0)
        self.engines: dict[str, EngineHost] = {}
        self.vms: dict[str, processes.Child] = {}
        self.log_paths: dict[str, link.Link] = {}
        self.version = 0
        self.deployment = core.Deployment('cuadrilla')

    async def start(self, tokens: int) -> None:
        """Start the stand-ins and publish a configuration.

        Args:
            tokens: Length of each answer, in tokens.
        """
        self._log_address = await self._serve(self.log.app)
        self._vmlist_address = await self._serve(self.vmlist.app)
        self._weights_address = await self._serve(self.weights.app)
        service_address = await self._serve(self.service.app)
        for name in ENGINES:
            await self._start_engine(name, tokens)
        self.deployment = self._make_deployment(service_address)
        await self.publish(self.deployment)

    def stop(self) -> None:
        """Stop all processes and servers."""
        self._stopping.set()

    async def publish(
        self, deployment: core.Deployment, made_from: int | None = None
    ) -> log.PublishResult:
        """Publish a configuration and return the result.

        Args:
            deployment: Configuration to publish.
            made_from: Version that it is based on; None for the version
                that was published last.
        """
        client = log.LogClient(self._log_address, self.clock)
        base = self.version if made_from is None else made_from
        result = await log.ConfigurationPublisher(client, self.clock).publish(
            deployment, base, self.clock.now() + DEADLINE_SECONDS
        )
        match result:
            case log.Published(version=version):
                self.version = version
                self.deployment = deployment
            case log.Conflict():
                pass
        await client.close()
        return result

    async def start_vm(self, name: str, ready: bool = True) -> None:
        """Start an entry VM.

        Args:
            name: Name of the VM.
            ready: Whether to wait until the VM is ready.
        """
        path = link.Link(self._log_address)
        await self._enter(path.serve())
        self.log_paths[name] = path
        seeds = ','.join(
            vm.addresses['siblings']
            for vm in self.vms.values()
            if vm.process.returncode is None
        )
        text = settings.render_settings(
            name=name,
            log=path.address,
            vmlist=self._vmlist_address,
            weights=self._weights_address,
            seeds=seeds,
        )
        child = await self._enter(
            processes.run_vm(name, text, self._directory)
        )
        self.vms[name] = child
        if ready:
            await processes.wait_until_ready(child.addresses['callers'])

    async def cut_log(self, name: str) -> None:
        """Disconnect one VM from the log."""
        await self.log_paths[name].refuse()
        self.log_paths[name].cut()

    async def is_ready(self, name: str) -> bool:
        """Return whether a VM reports that it is ready."""
        client = transport.JsonClient(self.vms[name].addresses['callers'])
        try:
            reply = await client.request('GET', '/readyz', time.time() + 2)
        except (transport.ConnectFailed, transport.ExchangeFailed):
            return False
        finally:
            await client.close()
        return reply.status == 200

    def make_caller(self, *names: str) -> caller.Caller:
        """Return a caller that sends to the named VMs in turn."""
        addresses = [self.vms[name].addresses['callers'] for name in names]
        return caller.Caller(addresses, WORKSPACE, SECRET, self.clock)

    async def _enter(
        self, manager: contextlib.AbstractAsyncContextManager[typing.Any]
    ) -> typing.Any:
        """Enter a context in a task of its own and exit it in `stop`.

        Test steps run in different tasks, and a context must be exited by
        the task that entered it.
        """

        async def run_context(
            *, task_status: anyio.abc.TaskStatus[typing.Any]
        ) -> None:
            async with manager as value:
                task_status.started(value)
                await self._stopping.wait()

        return await self._tasks.start(run_context)

    async def _serve(self, app: typing.Any) -> str:
        server = await self._enter(transport.serve_app(app))
        return server.address

    async def _start_engine(self, name: str, tokens: int) -> None:
        config = engine.EngineConfig(
            model=MODEL,
            max_length=tokens,
            length_profiles=(engine.LengthProfile('', 1e6, 0.1),),
        )

        def disconnect() -> None:
            # A process that exits closes its connections and its listener.
            path.cut()
            self._tasks.start_soon(path.refuse)

        stand_in = engine.EngineStandIn(self.clock, config, disconnect)
        path = link.Link(await self._serve(stand_in.app))
        await self._enter(path.serve())
        self.engines[name] = EngineHost(stand_in, path)

    def _make_deployment(self, service_address: str) -> core.Deployment:
        targets: dict[str, core.Target] = {
            name: core.EngineTarget(
                name, 'lima-1', host.path.address, [MODEL], 100_000, True
            )
            for name, host in self.engines.items()
        }
        targets['booking-1'] = core.ServiceTarget(
            'booking-1', 'lima-1', service_address, SERVICE
        )
        operations = {
            'post': core.Operation(idempotent=False),
            'query_post': core.Operation(idempotent=False, outcome_query=True),
            'roster': core.Operation(idempotent=True),
        }
        return core.Deployment(
            'cuadrilla',
            places={'lima': core.Place('lima', ['lima-1', 'lima-2'])},
            targets=targets,
            services={SERVICE: core.Service(operations)},
            workspaces={
                WORKSPACE: core.Workspace(
                    WORKSPACE, core.digest_secret(SECRET), 100, 100, 1e6
                )
            },
        )


@contextlib.asynccontextmanager
async def run_cluster(
    tokens: int, *names: str
) -> collections.abc.AsyncIterator[Cluster]:
    """Run a cluster while the context is open.

    Args:
        tokens: Length of each answer, in tokens.
        *names: Names of the VMs to start.
    """
    with processes.make_directory() as directory:
        async with anyio.create_task_group() as tasks:
            cluster = Cluster(pathlib.Path(directory), tasks)
            try:
                await cluster.start(tokens)
                for name in names:
                    await cluster.start_vm(name)
                yield cluster
            finally:
                cluster.stop()
