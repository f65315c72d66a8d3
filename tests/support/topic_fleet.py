"""VMs of one data centre that follow a topic through one another."""

from __future__ import annotations

import typing

import anyio
import anyio.lowlevel
import attrs

from laburnumstep import core
from laburnumstep import fleet
from laburnumstep import log
from laburnumstep import siblings

TOPIC = 'op'
STEP_SECONDS = 0.1
"""Time by which the clock advances between two rounds of the tasks."""
PASSES_A_STEP = 50
"""Passes of the event loop in which all woken tasks wait again."""


class FakeLog:
    """A topic in memory that can be out of reach of some VMs.

    Args:
        clock: Clock of the waits.
    """

    def __init__(self, clock: core.ManualClock) -> None:
        self._clock = clock
        self.records: list[log.KeyedRecord] = []
        self.cut: set[str] = set()
        self.epoch = 1
        self.first_offset = 0
        self.calls: dict[str, int] = {}
        self._appended = anyio.Event()

    def append(self, key: str, value: bytes | None) -> None:
        self.records.append(log.KeyedRecord(key, value, len(self.records)))
        self._appended.set()
        self._appended = anyio.Event()

    async def call(self, vm: str, deadline: float) -> None:
        self.calls[vm] = self.calls.get(vm, 0) + 1
        if vm in self.cut:
            await self._clock.sleep_until(deadline)
            raise log.TopicUnavailable('no answer')

    def restore(self, kept: int) -> None:
        """Come back with the first records only; waiting reads go on."""
        self.epoch += 1
        del self.records[kept:]

    def read_newest(self) -> log.KeyedPage:
        newest = {record.key: record for record in self.records}
        kept = [item for item in newest.values() if item.value is not None]
        following = log.TopicPosition(self.epoch, len(self.records))
        return log.KeyedPage(kept, following)

    async def read_from(
        self, position: log.TopicPosition, until: float
    ) -> log.KeyedPage:
        offset = position.offset
        if offset < self.first_offset:
            raise log.HistoryLost
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                core.cancel_at, self._clock, until, tasks.cancel_scope
            )
            while len(self.records) <= offset:
                await self._appended.wait()
            tasks.cancel_scope.cancel()
        if position.epoch != self.epoch:
            raise log.EpochChanged
        following = log.TopicPosition(self.epoch, len(self.records))
        return log.KeyedPage(self.records[offset:], following)


@attrs.define
class LogAccess:
    """Access of one VM to the log; implements `log.KeyedTopic`."""

    vm: str
    log: FakeLog

    async def read_newest(self, deadline: float) -> log.KeyedPage:
        await self.log.call(self.vm, deadline)
        return self.log.read_newest()

    async def read_from(
        self, position: log.TopicPosition, wait_until: float, deadline: float
    ) -> log.KeyedPage:
        await self.log.call(self.vm, deadline)
        page = await self.log.read_from(position, wait_until)
        if self.vm in self.log.cut:
            # The cut began during the wait.
            await self.log._clock.sleep_until(deadline)
            raise log.TopicUnavailable('no answer')
        return page


@attrs.define(eq=False)
class TopicVM:
    """One VM, with the value of the topic that it has in force."""

    name: str
    topic: fleet.SharedTopic
    values: list[bytes] = attrs.field(factory=list)

    def apply_snapshot(self, records: list[log.KeyedRecord]) -> None:
        self.apply_records(records)

    def apply_records(self, records: list[log.KeyedRecord]) -> None:
        self.values += [item.value for item in records if item.value]

    def record_failure(self) -> None:
        pass


class TopicFleet:
    """The VMs, their network and the log.

    Args:
        count: Number of VMs.
        clock: Clock of all VMs.
    """

    def __init__(self, count: int, clock: core.ManualClock) -> None:
        self._clock = clock
        self.log = FakeLog(clock)
        self.vms: dict[str, TopicVM] = {}
        self.cut: set[frozenset[str]] = set()
        self.frozen: set[str] = set()
        self.exited: set[str] = set()
        self.rotated = False
        """Whether each VM ranks the VM after it first."""
        names = [f'vm-{number}' for number in range(count)]
        self.ranked = core.rank_by_rendezvous(f'topic|{TOPIC}', names)
        for name in names:
            self.vms[name] = TopicVM(name, self._build_topic(name))

    def _build_topic(self, name: str) -> fleet.SharedTopic:
        return fleet.SharedTopic(
            TOPIC,
            name,
            LogAccess(name, self.log),
            _Neighbours(self, name),
            log.TopicCache(self._clock, bytes),
            log.EpochTracker(),
            self._clock,
        )

    async def run(self) -> None:
        """Follow the topic on every VM until cancelled."""
        async with anyio.create_task_group() as tasks:
            for vm in self.vms.values():
                follower = log.KeyedFollower(
                    vm.name, vm.topic, vm, self._clock, lambda: 0.1
                )
                tasks.start_soon(follower.run)

    async def pass_time(self, seconds: float) -> None:
        """Advance the clock in steps and let the tasks run after each."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self._clock.advance(STEP_SECONDS)
            for _ in range(PASSES_A_STEP):
                await anyio.lowlevel.checkpoint()

    def list_members(self, viewer: str) -> list[siblings.Member]:
        ranked = self.ranked
        if self.rotated:
            start = ranked.index(viewer) + 1
            ranked = ranked[start:] + ranked[:start]
        return [
            siblings.Member(
                name, name, 'lima-1', siblings.MemberState.LIVE, [name]
            )
            for name in ranked
        ]

    async def read_topic(
        self, source: str, destination: str, request: siblings.TopicRead
    ) -> siblings.TopicAnswer:
        if destination in self.exited:
            raise siblings.SiblingUnavailable('refused', may_have_acted=False)
        answer = None
        if not self._is_silent(source, destination):
            answer = await self.vms[destination].topic.serve(request)
        if answer is None or self._is_silent(source, destination):
            await self._clock.sleep_until(request.deadline)
            raise siblings.SiblingUnavailable('no answer', may_have_acted=True)
        return answer

    def _is_silent(self, source: str, destination: str) -> bool:
        return (
            destination in self.frozen
            or frozenset((source, destination)) in self.cut
        )


@attrs.define
class _Neighbours:
    fleet: TopicFleet
    name: str

    def rank_neighbours(
        self, subject: str, data_centre: str = ''
    ) -> list[siblings.Member]:
        return self.fleet.list_members(self.name)

    async def read_topic(
        self, address: str, request: siblings.TopicRead
    ) -> siblings.TopicAnswer:
        return await self.fleet.read_topic(self.name, address, request)


async def run_with_fleet(
    fleet: TopicFleet,
    script: typing.Callable[[TopicFleet], typing.Awaitable[None]],
) -> None:
    """Run a script beside the followers of all VMs."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.run)
        await script(fleet)
        tasks.cancel_scope.cancel()
