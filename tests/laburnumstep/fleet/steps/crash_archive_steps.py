"""Steps for crash reports that are kept in the store."""

from __future__ import annotations

import contextlib
import typing

import anyio
import anyio.lowlevel
import behave

from laburnumstep import fleet
from laburnumstep import log
from laburnumstep import targets
from support import clocks
from support import hooks

ROUNDS = 20
"""Sleeps of the archive that a step lets pass; more than retries need."""


class FakeEvidenceStore:
    """Keeps records in memory and fails the next calls if told to."""

    def __init__(self) -> None:
        self.records: dict[str, bytes] = {}
        self.failures = 0

    def _fail(self) -> None:
        if self.failures:
            self.failures -= 1
            raise log.TopicUnavailable('down')

    async def read_newest(self, deadline: float) -> log.KeyedPage:
        await anyio.lowlevel.checkpoint()
        self._fail()
        records = [
            log.KeyedRecord(key, value, number)
            for number, (key, value) in enumerate(self.records.items())
        ]
        return log.KeyedPage(records, log.TopicPosition(1, len(records)))

    async def append(
        self, key: str, value: bytes | None, deadline: float
    ) -> None:
        await anyio.lowlevel.checkpoint()
        self._fail()
        if value is None:
            self.records.pop(key, None)
        else:
            self.records[key] = value


@contextlib.asynccontextmanager
async def run_archive(
    archive: fleet.CrashArchive,
) -> typing.AsyncIterator[None]:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(archive.run)
        yield
        tasks.cancel_scope.cancel()


def get_store(context: typing.Any) -> FakeEvidenceStore:
    if not hasattr(context, 'evidence'):
        context.evidence = FakeEvidenceStore()
        context.clock = clocks.ObservedClock()
        context.ledgers = {}
    return context.evidence


def start_vm(context: typing.Any, name: str, owner: bool) -> None:
    store = get_store(context)
    ledger = targets.CrashLedger(context.clock)
    archive = fleet.CrashArchive(
        ledger, store, lambda key: owner, context.clock
    )
    context.ledgers[name] = ledger
    context.archive = archive
    hooks.enter_context(context, run_archive(archive))
    clocks.run_bounded(context, settle, context)


async def settle(context: typing.Any) -> None:
    """Let the archives finish their work."""
    for _ in range(ROUNDS):
        for _ in range(ROUNDS):
            await anyio.lowlevel.checkpoint()
        context.clock.advance(0.5)


@behave.given('VM "{name}" that keeps its crash reports in the store')
def step_vm(context: typing.Any, name: str) -> None:
    start_vm(context, name, owner=True)


@behave.given('VM "{name}" that owns no report')
def step_other_vm(context: typing.Any, name: str) -> None:
    start_vm(context, name, owner=False)


@behave.when('all VMs end and VM "{name}" starts')
def step_restart(context: typing.Any, name: str) -> None:
    context.ledgers.clear()
    start_vm(context, name, owner=True)


@behave.given('the store holds the record "{value}"')
def step_record(context: typing.Any, value: str) -> None:
    get_store(context).records['x'] = value.encode()


@behave.given('the store fails {count:d} calls')
def step_failures(context: typing.Any, count: int) -> None:
    context.evidence.failures = count


@behave.when('the store comes back without any report')
def step_restored(context: typing.Any) -> None:
    assert context.evidence.records
    context.evidence.records.clear()
    context.portal.call(context.archive.record_restore)
    clocks.run_bounded(context, settle, context)


def make_traits(parts: str) -> targets.Traits:
    return targets.list_part_traits('m', parts.split())


async def record_crashes(context: typing.Any, name: str, traits: str) -> None:
    context.clock.advance(5)
    now = context.clock.now()
    context.ledgers[name].record(
        targets.CrashReport(f'e{now}', now, now - 1, (make_traits(traits),))
    )


@behave.when('two targets crash with "{parts}" on VM "{name}"')
def step_crashes(context: typing.Any, parts: str, name: str) -> None:
    for _ in range(2):
        context.portal.call(record_crashes, context, name, parts)
    clocks.run_bounded(context, settle, context)


@behave.when('a target crashes with "{parts}" on VM "{name}"')
def step_crash(context: typing.Any, parts: str, name: str) -> None:
    context.portal.call(record_crashes, context, name, parts)
    clocks.run_bounded(context, settle, context)


@behave.when('a target survives "{parts}" on VM "{name}"')
def step_survival(context: typing.Any, parts: str, name: str) -> None:
    ledger = context.ledgers[name]
    context.portal.call(ledger.record_survival, make_traits(parts))
    clocks.run_bounded(context, settle, context)


@behave.then('the store holds {count:d} crash reports')
def step_stored(context: typing.Any, count: int) -> None:
    assert len(context.evidence.records) == count, context.evidence.records


@behave.then('VM "{name}" refuses "{refused}" and accepts "{accepted}"')
def step_decisions(
    context: typing.Any, name: str, refused: str, accepted: str
) -> None:
    ledger = context.ledgers[name]
    assert ledger.admit(make_traits(refused)) is not None
    assert ledger.admit(make_traits(accepted)) is None
