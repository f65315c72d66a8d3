"""The program of an entry VM, run as a process on loopback."""

from __future__ import annotations

import contextlib
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import typing

import anyio

from laburnumstep import transport
from support import platform_harness

READY_SECONDS = 15.0
"""Longest wait for a process to become ready, in seconds."""
_POLL_SECONDS = 0.05
_SETTINGS = """
nodeName = "front-1"
role = "entry"
ip = "127.0.0.1"
zone = "{zone}"
internalPortRange = [{internal}, {internal}]
[zones]
{zone} = "lima"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
memoryMb = {memory_mb}
maxFds = {max_fds}
[bounds]
graceS = 4
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtraRetries = 50
[platform]
address = "{store}"
"""


class VMProcess:
    """Runs `python -m laburnumstep.platform`.

    Args:
        store_address: IP address and port of the store.
        memory_mb: Memory limit in the settings, in megabytes.
        max_fds: Descriptor limit in the settings.
    """

    def __init__(
        self, store_address: str, memory_mb: int, max_fds: int
    ) -> None:
        self.port, ready, internal = find_ports(3)
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self._ready_address = f'127.0.0.1:{ready}'
        self._settings = _SETTINGS.format(
            zone=platform_harness.DATA_CENTRE,
            internal=internal,
            front=self.port,
            ready=ready,
            memory_mb=memory_mb,
            max_fds=max_fds,
            store=store_address,
        )
        self._process: subprocess.Popen[bytes] | None = None

    @contextlib.asynccontextmanager
    async def run(self) -> typing.AsyncIterator[VMProcess]:
        """Run the process until the context is left."""
        with tempfile.TemporaryDirectory() as folder:
            settings = pathlib.Path(folder, 'node.toml')
            settings.write_text(self._settings)
            with open(pathlib.Path(folder, 'log.txt'), 'wb') as log:
                self._process = subprocess.Popen(
                    [sys.executable, '-m', 'laburnumstep.platform'],
                    env={**os.environ, 'LABURNUMSTEP_SETTINGS': str(settings)},
                    stdout=log,
                    stderr=log,
                )
            try:
                await self._wait_until_ready()
                yield self
            finally:
                self._process.kill()
                self._process.wait()

    @property
    def is_alive(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def peak_bytes(self) -> int:
        """Largest resident memory since the start, in bytes."""
        return self._read_status('VmHWM')

    @property
    def resident_bytes(self) -> int:
        """Resident memory, in bytes."""
        return self._read_status('VmRSS')

    @property
    def descriptors(self) -> int:
        """Number of open descriptors."""
        assert self._process is not None
        return len(os.listdir(f'/proc/{self._process.pid}/fd'))

    def _read_status(self, name: str) -> int:
        assert self._process is not None
        path = pathlib.Path(f'/proc/{self._process.pid}/status')
        for line in path.read_text().splitlines():
            key, _, value = line.partition(':')
            if key == name:
                return int(value.split()[0]) * 1024
        raise AssertionError(f'the process has no {name}')

    async def _wait_until_ready(self) -> None:
        with anyio.fail_after(READY_SECONDS):
            while not await self._is_ready():
                assert self.is_alive, 'the process has ended'
                await anyio.sleep(_POLL_SECONDS)

    async def _is_ready(self) -> bool:
        request = platform_harness.encode_request('/v1/ready', 'GET', b'')
        try:
            response = await platform_harness.send_raw(
                self._ready_address, request
            )
        except OSError:
            return False
        return response.status == 200


def find_ports(count: int) -> list[int]:
    """Return free ports of the loopback interface, all different."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind(('127.0.0.1', 0))
        return [sock.getsockname()[1] for sock in sockets]


@contextlib.asynccontextmanager
async def serve_all(
    apps: typing.Iterable[typing.Any],
) -> typing.AsyncIterator[list[str]]:
    """Serve applications and return their addresses."""
    async with contextlib.AsyncExitStack() as stack:
        servers = [
            await stack.enter_async_context(transport.serve_app(app))
            for app in apps
        ]
        yield [server.address for server in servers]
