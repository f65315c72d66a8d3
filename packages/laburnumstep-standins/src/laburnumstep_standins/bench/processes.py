"""Starts the processes of the benchmarks."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import subprocess
import sys
import typing

import anyio
import attrs

from laburnumstep import core

if typing.TYPE_CHECKING:
    import collections.abc

    from laburnumstep_standins import engine

_START_TIMEOUT_SECONDS = 20.0
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


@attrs.frozen
class Child:
    """A process with one stand-in."""

    process: anyio.abc.Process
    """The running process."""
    address: str
    """IP number and port on which the stand-in listens."""

    def read_cpu_seconds(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        return read_cpu_seconds(self.process.pid)


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


@attrs.frozen
class EngineGroup:
    """A process with several engine stand-ins."""

    process: anyio.abc.Process
    """The running process."""
    addresses: list[str]
    """IP number and port of each engine."""


@contextlib.asynccontextmanager
async def run_module(
    module: str,
    *arguments: str,
    timeout_seconds: float = _START_TIMEOUT_SECONDS,
) -> collections.abc.AsyncIterator[tuple[anyio.abc.Process, typing.Any]]:
    """Run a module as a process while the context is open.

    Args:
        module: Name of the module.
        arguments: Arguments of its command line.
        timeout_seconds: Longest wait for its first line, in seconds.

    Returns:
        The process and the decoded JSON of its first line.

    Raises:
        TimeoutError: The process did not print its first line in time.
    """
    command = [sys.executable, '-m', module, *arguments]
    async with await anyio.open_process(
        command, stderr=subprocess.DEVNULL
    ) as process:
        try:
            with anyio.fail_after(timeout_seconds):
                line = await _read_line(process)
            yield process, json.loads(line)
        finally:
            if process.returncode is None:
                process.kill()


@contextlib.asynccontextmanager
async def run_stand_in(
    name: str, *arguments: str
) -> collections.abc.AsyncIterator[Child]:
    """Run a stand-in as a process while the context is open.

    Args:
        name: Subcommand of `python -m laburnumstep_standins`.
        arguments: Options of the subcommand.
    """
    module = 'laburnumstep_standins'
    async with run_module(module, name, *arguments) as (process, first):
        yield Child(process, first['address'])


def run_engine(
    config: engine.EngineConfig,
) -> contextlib.AbstractAsyncContextManager[Child]:
    """Run an engine as a process while the context is open."""
    text = encode_json(config)
    return run_stand_in('engine', '--config', text)


@contextlib.asynccontextmanager
async def run_engines(
    count: int, config: engine.EngineConfig
) -> collections.abc.AsyncIterator[EngineGroup]:
    """Run several engines in one process while the context is open."""
    text = encode_json(config)
    module = 'laburnumstep_standins.bench.engines'
    arguments = [str(count), '--config', text]
    async with run_module(module, *arguments) as (process, first):
        yield EngineGroup(process, first['addresses'])


def encode_json(value: attrs.AttrsInstance) -> str:
    """Return an instance as JSON for the command line of a process."""
    return json.dumps(core.encode_document(value))


async def _read_line(process: anyio.abc.Process) -> bytes:
    assert process.stdout is not None
    line = b''
    while not line.endswith(b'\n'):
        line += await process.stdout.receive()
    return line
