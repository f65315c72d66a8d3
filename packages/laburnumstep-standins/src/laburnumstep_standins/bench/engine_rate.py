"""Benchmark of the token rate of one engine stand-in process.

Run it with `python -m laburnumstep_standins.bench.engine_rate`.
"""

from __future__ import annotations

import json
import time

import anyio
import httpcore
import typer

from laburnumstep_standins.bench import processes
from laburnumstep_standins import engine

_TOKEN_EVENT_PREFIX = b'id: '


class _TokenCounter:
    """Counts the tokens that arrive on all streams."""

    def __init__(self) -> None:
        self.tokens = 0

    async def count_stream(
        self, pool: httpcore.AsyncConnectionPool, address: str, index: int
    ) -> None:
        """Request one generation and count its tokens as they arrive.

        Args:
            pool: Connections to the engine.
            address: IP number and port of the engine.
            index: Number of the stream, which makes its request unique.
        """
        body = {
            'generation': f'rate-{index}',
            'model': 'model',
            'prompt': f'A long plan, number {index}.',
            'max_tokens': 1_000_000,
            'priority': 0,
        }
        async with pool.stream(
            'POST',
            f'http://{address}/v1/generations',
            content=json.dumps(body).encode(),
        ) as response:
            async for chunk in response.aiter_stream():
                self.tokens += chunk.count(_TOKEN_EVENT_PREFIX)


async def measure(
    streams: int, seconds: float, step_seconds: float
) -> tuple[float, float]:
    """Measure the token rate and processor use of an engine process.

    Args:
        streams: Number of concurrent generations.
        seconds: Duration of the measurement.
        step_seconds: Duration of an engine step.

    Returns:
        Tokens a second, and the used fraction of a processor core.
    """
    config = engine.EngineConfig(
        kv_tokens=10_000_000,
        step_seconds=step_seconds,
        step_seconds_per_running=0.0,
        length_profiles=(engine.LengthProfile('', 1_000_000.0, 0.0),),
        max_length=1_000_000,
    )
    counter = _TokenCounter()
    async with (
        processes.run_engine(config) as child,
        httpcore.AsyncConnectionPool(max_connections=streams) as pool,
        anyio.create_task_group() as tasks,
    ):
        for index in range(streams):
            tasks.start_soon(counter.count_stream, pool, child.address, index)
        await anyio.sleep(2.0)
        before, cpu_before = counter.tokens, child.read_cpu_seconds()
        started = time.monotonic()
        await anyio.sleep(seconds)
        elapsed = time.monotonic() - started
        tokens = counter.tokens - before
        used = child.read_cpu_seconds() - cpu_before
        tasks.cancel_scope.cancel()
    return tokens / elapsed, used / elapsed


def main(
    streams: int = 200, seconds: float = 5.0, step_seconds: float = 0.0182
) -> None:
    """Print the token rate and the used fraction of a processor core."""
    rate, core_fraction = anyio.run(measure, streams, seconds, step_seconds)
    print(f'engine_rate {rate:.0f} tokens/s')
    print(f'engine_core_share {core_fraction:.2f} core')


if __name__ == '__main__':
    typer.run(main)
