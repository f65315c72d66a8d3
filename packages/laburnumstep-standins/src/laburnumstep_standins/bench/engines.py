"""Process that serves several engine stand-ins, each on its own address.

Run it with `python -m laburnumstep_standins.bench.engines`; the first line on
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
    """Print the engine addresses and serve until the process ends.

    Args:
        count: Number of engines.
        config: Properties of each engine.
    """
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
    """Serve engines with a common configuration.

    Args:
        count: Number of engines.
        config: Properties of each engine, as JSON.
    """
    core.configure_logging('error', 'text')
    decoded = core.decode_document(
        json.loads(config), engine.EngineConfig, '--config'
    )
    anyio.run(serve, count, decoded)


if __name__ == '__main__':
    typer.run(main)
