"""VMs that run calls through a log and a service, with faults."""

from __future__ import annotations

import contextlib
import random
import time
import typing

import anyio
import attrs

from laburnumstep import core
from laburnumstep import log
from laburnumstep import targets
from laburnumstep import transport
from laburnumstep_standins import log as log_standin
from laburnumstep_standins import service

HANG_SECONDS = 20
"""Ends a hanging scenario; no bound of the system under test."""


class UnlimitedRetries:
    """Allows every retry."""

    def try_spend(self, now: float) -> bool:
        """Allow a retry."""
        return True


class HeldClaims:
    """Stops a VM between a granted claim and the send."""

    def __init__(self, book: log.ClaimStore) -> None:
        self._book = book
        self.hold = False
        self.claimed = anyio.Event()
        self.go_on = anyio.Event()
        self.release = book.release
        self.settle = book.settle

    async def claim(
        self,
        key: core.RequestKey,
        workspace: str,
        until: float,
        request: str = '',
    ) -> log.ClaimAnswer:
        """Claim a key, then wait if the VM is held."""
        answer = await self._book.claim(key, workspace, until, request)
        self.claimed.set()
        if self.hold:
            await self.go_on.wait()
        return answer


class DirectForwarder:
    """Hands batches to books in the same process."""

    def __init__(self) -> None:
        self.owner_name: str | None = None
        self.books: dict[str, log.ClaimStore] = {}
        self.lose_answers = False
        self.cut = False

    def find_owner(self, partition: int) -> str | None:
        """Return the owner that the test chose."""
        return self.owner_name

    async def forward(
        self, owner: str, batch: log.ForwardedRecords
    ) -> list[log.ClaimAnswer | None]:
        """Hand over a batch, through its encoding."""
        body = log.encode_claims(batch)
        read = log.decode_claims(batch.partition, body, batch.until)
        if self.cut or owner not in self.books:
            raise core.CodedError(core.ErrorCode.INTERNAL, 'cut')
        answers = await self.books[owner].handle_forwarded(read)
        if self.lose_answers:
            raise core.CodedError(core.ErrorCode.INTERNAL, 'answer lost')
        return log.decode_claim_answers(log.encode_claim_answers(answers))


@attrs.define
class VM:
    """One entry VM, as far as calls concern it."""

    name: str
    book: log.ClaimStore
    claims: HeldClaims
    runner: targets.CallRunner
    forwarder: DirectForwarder
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    calls: list[anyio.CancelScope] = attrs.field(factory=list)
    told: dict[str, str] = attrs.field(factory=dict)
    """What callers were told, by name of the key."""
    ended: dict[str, anyio.Event] = attrs.field(factory=dict)


@attrs.frozen
class Answer:
    """What a caller was told."""

    name: str
    """Name of the key."""
    told: str
    """Outcome and code, or the posting."""
    effects: int
    """Effects of the key when the caller was told."""


class Rig:
    """A log, a service and VMs that share a clock."""

    def __init__(
        self, tasks: anyio.abc.TaskGroup, appends_per_second: float
    ) -> None:
        self._tasks = tasks
        self.clock = core.ManualClock(time.time())
        self.log = log_standin.LogStandIn(self.clock, appends_per_second)
        self.service = service.ServiceStandIn()
        self.vms: dict[str, VM] = {}
        self.keys: dict[str, core.RequestKey] = {}
        self.operation = core.Operation(idempotent=False)
        self.target = core.ServiceTarget('ledger-1', 'whk-1', '', 'ledger')
        self.log_address = ''
        self.answers: list[Answer] = []
        self.lost: set[str] = set()
        """Names of keys whose VM died before it answered."""

    def add_vm(self, name: str) -> VM:
        """Start a VM."""
        client = log.LogClient(self.log_address, self.clock)
        forwarder = DirectForwarder()
        book = log.ClaimStore(
            client, name, self.clock, forwarder, random.Random(name)
        )
        claims = HeldClaims(book)
        runner = targets.CallRunner(
            targets.ServiceClients(),
            claims,
            UnlimitedRetries(),
            self.clock,
            core.Metrics(None, ''),
        )
        vm = VM(name, book, claims, runner, forwarder)
        self._tasks.start_soon(self._run_vm, vm)
        self.vms[name] = vm
        for each in self.vms.values():
            each.forwarder.books = {n: v.book for n, v in self.vms.items()}
        return vm

    async def _run_vm(self, vm: VM) -> None:
        with vm.scope:
            await vm.book.run()

    def kill(self, name: str) -> None:
        """End a VM; what it has sent to a target goes on there."""
        vm = self.vms.pop(name)
        vm.scope.cancel()
        self.lost |= {n for n, e in vm.ended.items() if not e.is_set()}
        for scope in vm.calls:
            scope.cancel()

    def find_key(self, name: str) -> core.RequestKey:
        """Return a key, issued at its first use."""
        if name not in self.keys:
            self.keys[name] = core.RequestKey.new(self.clock.now())
        return self.keys[name]

    def start_call(
        self,
        vm_name: str,
        name: str,
        workspace: str = 'clerks',
        amount: int = 1,
        seconds: float = 30.0,
    ) -> None:
        """Start a posting through a VM."""
        vm = self.vms[vm_name]
        call = core.ServiceCall(
            self.find_key(name),
            workspace,
            'ledger',
            'post',
            {'amount': amount},
            self.clock.now() + seconds,
        )
        vm.told.pop(name, None)
        vm.ended[name] = anyio.Event()
        scope = anyio.CancelScope()
        vm.calls.append(scope)
        self._tasks.start_soon(self._run_call, vm, name, call, scope)

    async def _run_call(
        self,
        vm: VM,
        name: str,
        call: core.ServiceCall,
        scope: anyio.CancelScope,
    ) -> None:
        ended = vm.ended[name]
        with scope:
            try:
                result = await vm.runner.run(
                    call, self.operation, [self.target]
                )
                self._tell(vm, name, f'posting {result.result["posting"]}')
            except core.CodedError as error:
                told = f'{error.outcome.value} {error.code.value}'
                self._tell(vm, name, told)
        ended.set()

    def _tell(self, vm: VM, name: str, told: str) -> None:
        vm.told[name] = told
        self.answers.append(Answer(name, told, self.count_effects(name)))

    async def finish_call(self, vm_name: str, name: str) -> str:
        """Wait for a call and return what its caller was told."""
        with anyio.fail_after(HANG_SECONDS):
            await self.vms[vm_name].ended[name].wait()
        return self.vms[vm_name].told[name]

    async def run_until(self, event: anyio.Event) -> None:
        """Let the clock run until an event."""
        with anyio.fail_after(HANG_SECONDS):
            while not event.is_set():
                self.clock.advance(0.1)
                with anyio.move_on_after(0.02):
                    await event.wait()

    async def flush(self) -> None:
        """Let every VM append its releases and settlements."""
        with anyio.fail_after(HANG_SECONDS):
            for vm in self.vms.values():
                if not vm.scope.cancel_called:
                    await vm.book.flush(self.clock.now() + 5)

    def count_effects(self, name: str) -> int:
        """Return how often a posting took effect."""
        return self.service.ledger.effects[str(self.keys[name])]


@contextlib.asynccontextmanager
async def open_rig(
    appends_per_second: float = 300.0,
) -> typing.AsyncIterator[Rig]:
    """Serve the stand-ins of a rig while the context is open."""
    async with anyio.create_task_group() as tasks:
        rig = Rig(tasks, appends_per_second)
        async with (
            transport.serve_app(rig.log.app) as log_server,
            transport.serve_app(rig.service.app) as service_server,
        ):
            rig.log_address = log_server.address
            rig.target = attrs.evolve(
                rig.target, address=service_server.address
            )
            yield rig
            tasks.cancel_scope.cancel()
