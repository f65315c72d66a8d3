"""Runs one stand-in as a process, as `python -m laburnumstep_standins`.

The process prints a JSON object with its address as the first line on
standard output.
"""

from __future__ import annotations

import functools
import json
import os
import signal
import typing

import anyio
import typer

from laburnumstep import core
from laburnumstep import transport
from laburnumstep_standins import engine
from laburnumstep_standins import log
from laburnumstep_standins import service
from laburnumstep_standins import vmlist
from laburnumstep_standins import weights

if typing.TYPE_CHECKING:
    from starlette import types

app = typer.Typer(help='Stand-ins for external systems.', no_args_is_help=True)
Address = typing.Annotated[
    str, typer.Option(help='IP number and port; port 0 selects a free port.')
]
_CRASH_STATUS = 70
"""Exit status of a stand-in that crashes by a fault."""


async def serve(application: types.ASGIApp, address: str) -> None:
    """Serve a stand-in until SIGTERM.

    Args:
        application: ASGI application of the stand-in.
        address: IP address and port.
    """
    server = transport.HttpServer(application, address)
    print(json.dumps({'address': server.address}), flush=True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                break
        server.abort()
        tasks.cancel_scope.cancel()


@app.callback()
def configure() -> None:
    """Configure logging to standard error."""
    core.configure_logging('info', 'text')


@app.command('log')
def run_log(
    address: Address = '127.0.0.1:0',
    appends_per_second: float = 300.0,
    retention_seconds: float = 3600.0,
) -> None:
    """Run the stand-in of the append-only log."""
    stand_in = log.LogStandIn(
        core.SystemClock(), appends_per_second, retention_seconds
    )
    anyio.run(serve, stand_in.app, address)


@app.command('engine')
def run_engine(address: Address = '127.0.0.1:0', config: str = '{}') -> None:
    """Run the stand-in of a model engine, configured by a JSON object."""
    stand_in = engine.EngineStandIn(
        core.SystemClock(),
        core.decode_document(
            json.loads(config), engine.EngineConfig, '--config'
        ),
        lambda: os._exit(_CRASH_STATUS),
    )
    anyio.run(serve, stand_in.app, address)


@app.command('vmlist')
def run_vmlist(
    address: Address = '127.0.0.1:0', lag_seconds: float = 0.0
) -> None:
    """Run the stand-in of the VM list."""
    stand_in = vmlist.VMListStandIn(core.SystemClock())
    stand_in.set_faults(lag_seconds=lag_seconds)
    anyio.run(serve, stand_in.app, address)


@app.command('service')
def run_service(address: Address = '127.0.0.1:0') -> None:
    """Run the stand-in of a plain service."""
    crash = functools.partial(os._exit, _CRASH_STATUS)
    stand_in = service.ServiceStandIn(crash=crash)
    anyio.run(serve, stand_in.app, address)


@app.command('weights')
def run_weights(
    address: Address = '127.0.0.1:0', fetches_per_second: float = 1.0
) -> None:
    """Run the stand-in of the weight store."""
    stand_in = weights.WeightStandIn(core.SystemClock(), fetches_per_second)
    anyio.run(serve, stand_in.app, address)


if __name__ == '__main__':
    app()
