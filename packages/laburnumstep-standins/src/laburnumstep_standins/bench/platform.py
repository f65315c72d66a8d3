"""Process with stand-ins of all external systems of a deployment.

Run it with `python -m laburnumstep_standins.bench.platform`; the first line on
standard output is a JSON object with their addresses by name.
"""

from __future__ import annotations

import json
import typing

import anyio
import typer

from laburnumstep import core
from laburnumstep import transport
from laburnumstep_standins import engine
from laburnumstep_standins import log
from laburnumstep_standins import service
from laburnumstep_standins import vmlist

if typing.TYPE_CHECKING:
    from starlette import types


class _Crash:
    """Aborts the server of an engine so that connections are refused."""

    def __init__(self) -> None:
        self.server: transport.HttpServer | None = None

    def __call__(self) -> None:
        if self.server is not None:
            self.server.abort()


def build_apps(
    engines: int, services: int, config: engine.EngineConfig
) -> dict[str, tuple[types.ASGIApp, _Crash]]:
    """Return the stand-ins and their crash handlers by name.

    The service stand-ins share one ledger.

    Args:
        engines: Number of engines.
        services: Number of servers of the plain service.
        config: Properties of the engines.
    """
    clock = core.SystemClock()
    apps: dict[str, tuple[types.ASGIApp, _Crash]] = {
        'log': (log.LogStandIn(clock).app, _Crash()),
        'vmlist': (vmlist.VMListStandIn(clock).app, _Crash()),
    }
    for number in range(engines):
        crash = _Crash()
        stand_in = engine.EngineStandIn(clock, config, crash)
        apps[f'engine-{number}'] = (stand_in.app, crash)
    ledger = service.Ledger()
    for number in range(services):
        app = service.ServiceStandIn(ledger).app
        apps[f'service-{number}'] = (app, _Crash())
    return apps


async def serve(apps: dict[str, tuple[types.ASGIApp, _Crash]]) -> None:
    """Print the addresses and serve until the process ends."""
    async with anyio.create_task_group() as tasks:
        addresses = {}
        for name, (app, crash) in apps.items():
            server = transport.HttpServer(app, '127.0.0.1:0')
            crash.server = server
            tasks.start_soon(server.run)
            addresses[name] = server.address
        print(json.dumps(addresses), flush=True)


def main(engines: int, services: int, config: str = '{}') -> None:
    """Serve the stand-ins.

    Args:
        engines: Number of engines.
        services: Number of servers of the plain service.
        config: Properties of the engines, as JSON.
    """
    core.configure_logging('error', 'text')
    decoded = core.decode_document(
        json.loads(config), engine.EngineConfig, '--config'
    )
    anyio.run(serve, build_apps(engines, services, decoded))


if __name__ == '__main__':
    typer.run(main)
