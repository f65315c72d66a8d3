"""Runs calls through VMs, a log and a service with faults."""

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
from support import permits

TIMEOUT_SECONDS = 20
"""Longest wait before a hanging scenario fails, in seconds."""


class UnlimitedRetries:
    """Allows every retry."""

    def try_spend(self, now: float) -> bool:
        """Allow a retry."""
        return True


class PausableClaims:
    """Claims of a VM that pauses between a granted claim and the send.

    Args:
        book: Book that makes the claims.
    """

    def __init__(self, book: log.ClaimStore) -> None:
        self._book = book
        self.paused = False
        self.claimed = anyio.Event()
        self.resumed = anyio.Event()
        self.release = book.release
        self.settle = book.settle

    async def claim(
        self,
        key: core.RequestKey,
        workspace: str,
        until: float,
        request: str = '',
    ) -> log.ClaimAnswer:
        """Claim a key, then wait if the VM is paused."""
        answer = await self._book.claim(key, workspace, until, request)
        self.claimed.set()
        if self.paused:
            await self.resumed.wait()
        return answer


class DirectForwarder:
    """Forwards batches to claim books in the same process."""

    def __init__(self) -> None:
        self.owner_name: str | None = None
        self.books: dict[str, log.ClaimStore] = {}
        self.lose_answers = False
        self.cut = False

    def find_owner(self, partition: int) -> str | None:
        """Return the partition owner that the test chose."""
        return self.owner_name

    async def forward(
        self, owner: str, batch: log.ForwardedRecords
    ) -> list[log.ClaimAnswer | None]:
        """Forward a batch in its encoded form.

        Raises:
            CodedError: The owner is unreachable, or its answer is lost.
        """
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
    """The parts of an entry VM that run calls."""

    name: str
    book: log.ClaimStore
    claims: PausableClaims
    runner: targets.CallRunner
    forwarder: DirectForwarder
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    calls: list[anyio.CancelScope] = attrs.field(factory=list)
    responses: dict[str, str] = attrs.field(factory=dict)
    """Responses to callers, by name of the key."""
    ended: dict[str, anyio.Event] = attrs.field(factory=dict)
    """Set when the call ends, by name of the key."""


@attrs.frozen
class Answer:
    """An answer that a caller received."""

    name: str
    """Name of the key."""
    text: str
    """Outcome and error code, or the posting."""
    effects: int
    """Effects of the key at the time of the answer."""


class ClaimsHarness:
    """Runs a log, a service and VMs that share a clock.

    Args:
        tasks: Group of the tasks of VMs and calls.
        appends_per_second: Append rate of the log.
    """

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
        self.unanswered: set[str] = set()
        """Names of keys whose VM was killed before it answered."""

    def add_vm(self, name: str) -> VM:
        """Start a VM and return it."""
        client = log.LogClient(self.log_address, self.clock)
        forwarder = DirectForwarder()
        book = log.ClaimStore(
            client, name, self.clock, forwarder, random.Random(name)
        )
        claims = PausableClaims(book)
        runner = targets.CallRunner(
            targets.ServiceClients(
                permits.make_limits(self.clock), self.clock
            ),
            claims,
            UnlimitedRetries(),
            permits.make_open_gate(self.clock),
            lambda target, until: None,
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
        """Kill a VM; operations that it has sent go on at the target."""
        vm = self.vms.pop(name)
        vm.scope.cancel()
        self.unanswered |= {n for n, e in vm.ended.items() if not e.is_set()}
        for scope in vm.calls:
            scope.cancel()

    def get_key(self, name: str) -> core.RequestKey:
        """Return the key of a name; its first use issues it."""
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
        """Start a posting through a VM.

        Args:
            vm_name: Name of the VM.
            name: Name of the key.
            workspace: Workspace of the caller.
            amount: Amount to post.
            seconds: Time until the deadline, in seconds.
        """
        vm = self.vms[vm_name]
        call = core.ServiceCall(
            self.get_key(name),
            workspace,
            'ledger',
            'post',
            {'amount': amount},
            self.clock.now() + seconds,
        )
        vm.responses.pop(name, None)
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
                self._record_answer(
                    vm, name, f'posting {result.result["posting"]}'
                )
            except core.CodedError as error:
                text = f'{error.outcome.value} {error.code.value}'
                self._record_answer(vm, name, text)
        ended.set()

    def _record_answer(self, vm: VM, name: str, text: str) -> None:
        vm.responses[name] = text
        self.answers.append(Answer(name, text, self.count_effects(name)))

    async def wait_for_call(self, vm_name: str, name: str) -> str:
        """Wait for a call and return the response to its caller."""
        with anyio.fail_after(TIMEOUT_SECONDS):
            await self.vms[vm_name].ended[name].wait()
        return self.vms[vm_name].responses[name]

    async def run_until(self, event: anyio.Event) -> None:
        """Advance the clock until an event is set."""
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not event.is_set():
                self.clock.advance(0.1)
                with anyio.move_on_after(0.02):
                    await event.wait()

    async def flush(self) -> None:
        """Append the pending releases and settlements of all VMs."""
        with anyio.fail_after(TIMEOUT_SECONDS):
            for vm in self.vms.values():
                if not vm.scope.cancel_called:
                    await vm.book.flush(self.clock.now() + 5)

    def count_effects(self, name: str) -> int:
        """Return the number of effects of a posting."""
        return self.service.ledger.effects[str(self.keys[name])]


@contextlib.asynccontextmanager
async def open_harness(
    appends_per_second: float = 300.0,
) -> typing.AsyncIterator[ClaimsHarness]:
    """Run a harness with its stand-ins while the context is open."""
    async with anyio.create_task_group() as tasks:
        harness = ClaimsHarness(tasks, appends_per_second)
        async with (
            transport.serve_app(harness.log.app) as log_server,
            transport.serve_app(harness.service.app) as service_server,
        ):
            harness.log_address = log_server.address
            harness.target = attrs.evolve(
                harness.target, address=service_server.address
            )
            yield harness
            tasks.cancel_scope.cancel()
