"""Several engines in one process, each on an address of its own.

Run as `python -m laburnumstep_standins.bench.engines`; the first line on
standard output is a JSON object with the addresses.
"""

from __future__ import annotations

import json

import anyio
import typer

from laburnumstep import core
from laburnumstep import transport
from laburnumstep_standins import engine


async def serve(count: int, config: engine.EngineConfig) -> None:
    """Serve engines until the process is ended."""
    clock = core.SystemClock()
    async with anyio.create_task_group() as tasks:
        addresses = []
        for _ in range(count):
            stand_in = engine.EngineStandIn(clock, config)
            server = transport.HttpServer(stand_in.app, '127.0.0.1:0')
            tasks.start_soon(server.run)
            addresses.append(server.address)
        print(json.dumps({'addresses': addresses}), flush=True)


def main(count: int, config: str = '{}') -> None:
    """Serve a number of engines with one configuration."""
    core.configure_logging('error', 'text')
    decoded = core.decode_document(
        json.loads(config), engine.EngineConfig, '--config'
    )
    anyio.run(serve, count, decoded)


if __name__ == '__main__':
    typer.run(main)
