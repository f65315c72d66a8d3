"""Child processes of the demo, the load tool and the tests."""

from __future__ import annotations

import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing

import anyio
import anyio.abc
import attrs

from laburnumstep import transport

if typing.TYPE_CHECKING:
    import collections.abc

START_SECONDS = 20.0
"""Longest wait until a VM is ready, in seconds."""
STOP_SECONDS = 10.0
"""Longest wait for a process to exit after SIGTERM, in seconds."""


@attrs.define
class Child:
    """A running child process."""

    name: str
    """Name of the log file."""
    process: anyio.abc.Process
    """Handle of the process."""
    addresses: dict[str, str]
    """Addresses that the process printed, by name."""
    log_path: pathlib.Path
    """File with its standard error."""

    @property
    def address(self) -> str:
        """Address of a stand-in, which has only one."""
        return self.addresses['address']

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def read_log(self) -> str:
        """Return the log output so far."""
        return self.log_path.read_text()


@contextlib.asynccontextmanager
async def run_child(
    name: str, module: str, arguments: list[str], directory: pathlib.Path
) -> collections.abc.AsyncIterator[Child]:
    """Run a Python module while the context is open.

    Args:
        name: Name of the process and its log file.
        module: Name of the module.
        arguments: Command-line arguments of the module.
        directory: Directory for the log file.

    Raises:
        RuntimeError: The process exited before it printed its addresses.
    """
    log_path = directory / f'{name}.log'
    with log_path.open('wb') as log_file:
        process = await anyio.open_process(
            [sys.executable, '-m', module, *arguments],
            stdout=subprocess.PIPE,
            stderr=log_file,
        )
    try:
        line = await _read_line(process)
        if not line:
            raise RuntimeError(f'{name} did not start: {log_path.read_text()}')
        yield Child(name, process, json.loads(line), log_path)
    finally:
        with anyio.CancelScope(shield=True):
            await _stop_process(process)


@contextlib.asynccontextmanager
async def run_stand_in(
    name: str, kind: str, directory: pathlib.Path, *arguments: str
) -> collections.abc.AsyncIterator[Child]:
    """Run a stand-in while the context is open.

    Args:
        name: Name of the process and its log file.
        kind: Command of `python -m laburnumstep_standins`.
        directory: Directory for the log file.
        *arguments: Options of the command.
    """
    async with run_child(
        name, 'laburnumstep_standins', [kind, *arguments], directory
    ) as child:
        yield child


@contextlib.asynccontextmanager
async def run_vm(
    name: str, settings: str, directory: pathlib.Path
) -> collections.abc.AsyncIterator[Child]:
    """Run an entry VM while the context is open.

    Args:
        name: Name of the VM.
        settings: Content of the settings file.
        directory: Directory for the settings file and the log file.
    """
    path = directory / f'{name}.ini'
    path.write_text(settings)
    async with run_child(
        name, 'laburnumstep', ['run', str(path)], directory
    ) as child:
        yield child


async def wait_until_ready(address: str) -> None:
    """Wait until a VM reports that it is ready.

    Args:
        address: Address of the VM for callers.

    Raises:
        TimeoutError: The VM is not ready after `START_SECONDS`.
    """
    client = transport.JsonClient(address)
    with anyio.fail_after(START_SECONDS):
        while not await _is_ready(client):
            await anyio.sleep(0.05)
    await client.close()


async def _is_ready(client: transport.JsonClient) -> bool:
    try:
        reply = await client.request('GET', '/readyz', time.time() + 1.0)
    except (transport.ConnectFailed, transport.ExchangeFailed):
        return False
    return reply.status == 200


def make_directory() -> contextlib.AbstractContextManager[str]:
    """Return a temporary directory for logs and settings."""
    return tempfile.TemporaryDirectory(prefix='laburnumstep-')


async def _read_line(process: anyio.abc.Process) -> bytes:
    assert process.stdout is not None
    line = b''
    while not line.endswith(b'\n'):
        try:
            line += await process.stdout.receive()
        except anyio.EndOfStream:
            return b''
    return line


async def _stop_process(process: anyio.abc.Process) -> None:
    if process.returncode is None:
        # A process paused by SIGSTOP handles SIGTERM only after SIGCONT.
        process.send_signal(signal.SIGCONT)
        process.terminate()
        with anyio.move_on_after(STOP_SECONDS):
            await process.wait()
    if process.returncode is None:
        process.kill()
        await process.wait()
    await process.aclose()
