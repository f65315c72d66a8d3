"""Steps for reads of a topic through siblings."""

from __future__ import annotations

import re
import typing

import behave

from support import clocks
from support import topic_fleet

PHASES = [number / 10 for number in range(16)]
"""Beginnings of a fault within one read of the log, in seconds."""


def find_numbers(text: str) -> list[int]:
    return [int(number) for number in re.findall(r'\d+', text)]


class Script:
    """Collects the steps of a scenario and runs them with the fleet."""

    def __init__(self, count: int) -> None:
        self.clock = clocks.ObservedClock()
        self.count = count
        self.steps: list[typing.Any] = []
        self.phase = 0.0
        """Time by which faults begin later, in seconds."""
        self.fleet: topic_fleet.TopicFleet

    def add(self, step: typing.Any) -> None:
        self.steps.append(step)

    async def _run_steps(self, fleet: topic_fleet.TopicFleet) -> None:
        for step in self.steps:
            await step(fleet)

    async def run(self) -> None:
        self.fleet = topic_fleet.TopicFleet(self.count, self.clock)
        self.fleet.log.append('config', b'1')
        await topic_fleet.run_with_fleet(self.fleet, self._run_steps)

    def name(self, number: int) -> str:
        return self.fleet.ranked[number - 1]


def apply_fault(fleet: topic_fleet.TopicFleet, fault: str) -> None:
    every = list(fleet.ranked)
    for part in re.split(r', (?=VM \d+ (?:is|has))', fault):
        names = [every[number - 1] for number in find_numbers(part)]
        if 'every VM' in part:
            names = every
        if part == 'nothing fails':
            continue
        if part == 'each VM holds the next one for the reader':
            fleet.rotated = True
            continue
        if 'from the log' in part:
            fleet.log.cut.update(names)
        elif 'from every other one' in part:
            fleet.cut.update(
                frozenset((a, b)) for a in every for b in every if a != b
            )
        elif 'frozen' in part:
            # A frozen VM neither answers nor reads.
            fleet.frozen.update(names)
            fleet.log.cut.update(names)
        elif 'exited' in part:
            fleet.exited.update(names)
            fleet.log.cut.update(names)
        elif 'cut from VM' in part:
            fleet.cut.add(frozenset(names))
        else:
            raise AssertionError(f'unknown fault: {part}')


@behave.given('{count:d} VMs that follow a topic')
def step_vms(context: typing.Any, count: int) -> None:
    context.script = Script(count)


@behave.given('after 5 seconds {fault}')
def step_fault(context: typing.Any, fault: str) -> None:
    async def fail(fleet: topic_fleet.TopicFleet) -> None:
        await fleet.pass_time(5.0 + context.script.phase)
        apply_fault(fleet, fault)

    context.script.add(fail)


@behave.when('{seconds:d} seconds pass')
def step_pass(context: typing.Any, seconds: int) -> None:
    context.script.add(lambda fleet: fleet.pass_time(float(seconds)))


@behave.when('a change is appended')
def step_append(context: typing.Any) -> None:
    async def append(fleet: topic_fleet.TopicFleet) -> None:
        fleet.log.append('config', b'2')

    context.newest = b'2'
    context.script.add(append)


@behave.given('the topic has had {count:d} changes')
def step_changes(context: typing.Any, count: int) -> None:
    async def append(fleet: topic_fleet.TopicFleet) -> None:
        for number in range(len(fleet.log.records) + 1, count + 1):
            fleet.log.append('config', b'%d' % number)

    context.changes = count
    context.script.add(append)


@behave.when('the log comes back with the first change and {count:d} others')
def step_restore(context: typing.Any, count: int) -> None:
    last = context.changes + count

    async def restore(fleet: topic_fleet.TopicFleet) -> None:
        fleet.log.restore(1)
        for number in range(context.changes + 1, last + 1):
            fleet.log.append('config', b'%d' % number)

    context.newest = b'%d' % last
    context.script.add(restore)


@behave.when('20 changes are appended and the log deletes its history')
def step_compact(context: typing.Any) -> None:
    async def compact(fleet: topic_fleet.TopicFleet) -> None:
        for number in range(2, 22):
            fleet.log.append('config', b'%d' % number)
        fleet.log.first_offset = len(fleet.log.records)
        await fleet.pass_time(3.0)

    context.newest = b'21'
    context.script.add(compact)


@behave.when('the faults end')
def step_heal(context: typing.Any) -> None:
    async def heal(fleet: topic_fleet.TopicFleet) -> None:
        fleet.log.cut.clear()
        fleet.cut.clear()
        fleet.frozen.clear()
        fleet.exited.clear()

    context.script.add(heal)


def run_script(context: typing.Any) -> topic_fleet.TopicFleet:
    clocks.run_bounded(context, context.script.run)
    return context.script.fleet


@behave.then(
    'the first VM made at least 8 reads of the log, the others at most 2'
)
def step_reads(context: typing.Any) -> None:
    fleet = run_script(context)
    calls = [fleet.log.calls.get(name, 0) for name in fleet.ranked]
    assert calls[0] >= 8 and max(calls[1:]) <= 2, calls


@behave.then('every VM made at least 6 reads of the log')
def step_all_read(context: typing.Any) -> None:
    fleet = run_script(context)
    assert min(fleet.log.calls.values()) >= 6, fleet.log.calls


@behave.then(
    'the change is in force within {seconds:g} seconds on every VM but'
    ' {excused}'
)
def step_in_force(context: typing.Any, seconds: float, excused: str) -> None:
    context.script.add(lambda fleet: fleet.pass_time(seconds))
    for phase in PHASES:
        context.script.phase = phase
        fleet = run_script(context)
        excused_names = {fleet.ranked[n - 1] for n in find_numbers(excused)}
        late = [
            vm.name
            for vm in fleet.vms.values()
            if vm.name not in excused_names and vm.values[-1] != context.newest
        ]
        assert not late, (phase, late)


@behave.then('the change is in force on every VM')
def step_all_in_force(context: typing.Any) -> None:
    fleet = run_script(context)
    late = {
        name: vm.values[-1]
        for name, vm in fleet.vms.items()
        if vm.values[-1] != context.newest
    }
    assert not late, late


@behave.then('no VM has applied an older change after a newer one')
def step_order(context: typing.Any) -> None:
    for vm in context.script.fleet.vms.values():
        versions = [int(value) for value in vm.values]
        assert versions == sorted(versions), (vm.name, versions)


@behave.then('only VM {number:d} has read the log for the last 3 seconds')
def step_one_reads(context: typing.Any, number: int) -> None:
    counts: dict[str, dict[str, int]] = {}

    async def count(fleet: topic_fleet.TopicFleet) -> None:
        counts['before'] = dict(fleet.log.calls)
        await fleet.pass_time(3.0)

    context.script.add(count)
    fleet = run_script(context)
    readers = [
        name
        for name, calls in fleet.log.calls.items()
        if calls > counts['before'].get(name, 0) and name not in fleet.log.cut
    ]
    assert readers == [fleet.ranked[number - 1]], readers
