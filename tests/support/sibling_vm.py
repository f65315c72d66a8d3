"""A VM that runs only its membership, in this or another process.

The process prints its address, then its view of the siblings as a line of
JSON after each change. Each line that it reads names a target, which it
announces as leaving.
"""

from __future__ import annotations

import contextlib
import json
import random
import subprocess
import sys
import threading
import time
import typing

import anyio
import anyio.to_thread

from laburnumstep import core
from laburnumstep import siblings

KEY = 'siblings-test-key'
LIMIT_SECONDS = 30.0
"""Longest wait for a view, in seconds; usual waits are far shorter."""


class ForwardedLinks(siblings.GrpcLinks):
    """Links whose server is reached through a forwarder, if there is one."""

    forwarder: typing.Any = None

    @property
    def address(self) -> str:
        """Address of the forwarder, or of the server without one."""
        if self.forwarder is not None:
            return self.forwarder.address
        return super().address


class SiblingVM:
    """A membership on the clock and the network of the system.

    Args:
        name: Name of the VM.
        seeds: Addresses of the siblings that it contacts first.
        forwarder: Forwarder in front of its server, or None.
    """

    def __init__(
        self, name: str, seeds: list[str], forwarder: typing.Any = None
    ) -> None:
        self._links = ForwardedLinks('127.0.0.1:0', KEY, core.SystemClock())
        self._forwarder = forwarder
        self.membership = siblings.Membership(
            siblings.Identity(name, 'lima-1'),
            self._links,
            seeds,
            siblings.MembershipCallbacks(
                lambda: None, lambda configuration: False, self._handle_claim
            ),
            core.SystemClock(),
            core.Metrics(None, 'test'),
            random.Random(name),
        )
        self._changed = anyio.Event()
        for kind in (siblings.EntryKind.VM, siblings.EntryKind.TARGET):
            self.membership.subscribe(kind, self._handle_change)

    async def _handle_claim(
        self, request: siblings.ClaimForward
    ) -> core.DocumentObject:
        return {}

    def _handle_change(self, entry: siblings.GossipEntry) -> None:
        self._changed.set()

    @contextlib.asynccontextmanager
    async def run(self) -> typing.AsyncIterator[SiblingVM]:
        """Run while the context is open."""
        async with anyio.create_task_group() as tasks:
            if self._forwarder is not None:
                await self._forwarder.open(
                    tasks, lambda: siblings.GrpcLinks.address.fget(self._links)
                )
                self._links.forwarder = self._forwarder
            await tasks.start(self.membership.run)
            yield self
            tasks.cancel_scope.cancel()

    def read_view(self) -> dict[str, typing.Any]:
        """Return the members and leaving targets that the VM knows."""
        members = self.membership.members.values()
        return {
            'vms': {m.name: [m.state.value, m.address] for m in members},
            'leaving': [
                name
                for name in self.membership.target_statuses()
                if self.membership.is_leaving(name)
            ],
        }

    async def wait_until(
        self, predicate: typing.Callable[[dict[str, typing.Any]], bool]
    ) -> None:
        """Wait until the view satisfies a predicate.

        Raises:
            TimeoutError: It does not within `LIMIT_SECONDS`.
        """
        with anyio.fail_after(LIMIT_SECONDS):
            while not predicate(self.read_view()):
                await self._changed.wait()
                self._changed = anyio.Event()

    def announce_leaving(self, target: str) -> None:
        """Announce a target as leaving."""
        until = time.time() + 600
        self.membership.announce_target_leaving(target, 'operator', until)

    async def print_changes(self) -> None:
        """Print the address, and the view after each change."""
        print(json.dumps({'address': self.membership.address}), flush=True)
        last: dict[str, typing.Any] = {}
        while True:
            if (view := self.read_view()) != last:
                print(json.dumps(view), flush=True)
                last = view
            await self._changed.wait()
            self._changed = anyio.Event()


class SiblingProcess:
    """A `SiblingVM` in a process of its own.

    Args:
        name: Name of the VM.
        seeds: Addresses of the siblings that it contacts first.
    """

    def __init__(self, name: str, seeds: list[str]) -> None:
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'support.sibling_vm', name, *seeds],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout is not None
        self.address = json.loads(self.process.stdout.readline())['address']

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def announce_leaving(self, target: str) -> None:
        """Let the process announce a target as leaving."""
        assert self.process.stdin is not None
        self.process.stdin.write(f'{target}\n')
        self.process.stdin.flush()

    def wait_until(
        self, predicate: typing.Callable[[dict[str, typing.Any]], bool]
    ) -> None:
        """Read views until one satisfies a predicate.

        Raises:
            AssertionError: None does within `LIMIT_SECONDS`.
        """
        assert self.process.stdout is not None
        last = 'nothing'
        timer = threading.Timer(LIMIT_SECONDS, self.process.kill)
        timer.start()
        try:
            for line in self.process.stdout:
                last = line
                if predicate(json.loads(line)):
                    return
        finally:
            timer.cancel()
        raise AssertionError(f'the process ended; its last view was {last}')

    def stop(self) -> None:
        """Kill the process and wait for its exit."""
        self.process.kill()
        self.process.wait()


async def main(name: str, seeds: list[str]) -> None:
    """Run a VM in this process until the process is killed."""
    vm = SiblingVM(name, seeds)
    async with vm.run(), anyio.create_task_group() as tasks:
        tasks.start_soon(vm.print_changes)
        while line := await anyio.to_thread.run_sync(sys.stdin.readline):
            vm.announce_leaving(line.strip())


if __name__ == '__main__':
    anyio.run(main, sys.argv[1], sys.argv[2:])
