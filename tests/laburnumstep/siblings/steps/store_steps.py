"""Steps for the store feature."""

from __future__ import annotations

import typing

import attrs
import behave

from laburnumstep import core
from laburnumstep import siblings
from laburnumstep.siblings import _reconcile

TARGET = siblings.EntryKind.TARGET


def make_entry(
    now: float, stamp: int = 1, seconds: float = 10, subject: str = 'engine-1'
) -> siblings.GossipEntry:
    leaving = siblings.TargetState.LEAVING
    value = siblings.TargetValue(leaving, 'test')
    return siblings.GossipEntry(
        TARGET, subject, 'vm-1', stamp, value, now + seconds
    )


@behave.given('a gossip store')
def step_store(context: typing.Any) -> None:
    context.clock = core.ManualClock()
    context.store = siblings.GossipStore(context.clock)


@behave.given(
    'an entry with stamp {stamp:d} that expires in {seconds:d} s is merged'
)
@behave.when(
    'an entry with stamp {stamp:d} that expires in {seconds:d} s is merged'
)
def step_merge(context: typing.Any, stamp: int, seconds: int) -> None:
    entry = make_entry(context.clock.now(), stamp, seconds)
    context.result = context.store.merge(entry)


@behave.when('an entry with "{field}" set to "{value}" is merged')
@behave.when('an entry with "{field}" set to "" is merged')
def step_malformed(context: typing.Any, field: str, value: str = '') -> None:
    now = context.clock.now()
    live = siblings.VMValue(siblings.VMState.LIVE)
    changes: dict[str, typing.Any] = {
        '': {field: ''},
        '300 letters': {field: 'x' * 300},
        '0': {field: 0},
        'ahead 61 s': {field: int((now + 61) * 1e6)},
        'nan': {field: float('nan')},
        'ahead 90000 s': {field: now + 90000},
        'other kind': {field: siblings.DataValue(b'1')},
        'other origin': {'kind': siblings.EntryKind.VM, field: live},
    }[value]
    entry = attrs.evolve(make_entry(now), **changes)
    context.result = context.store.merge(entry)


@behave.when('{seconds:d} s pass')
def step_advance(context: typing.Any, seconds: int) -> None:
    context.clock.advance(seconds)


@behave.when('{count:d} crash entries are merged')
def step_flood(context: typing.Any, count: int) -> None:
    for number in range(count):
        entry = siblings.GossipEntry(
            siblings.EntryKind.CRASH,
            f'request-{number}',
            'vm-1',
            1,
            siblings.DataValue(b''),
            context.clock.now() + 100 + number,
        )
        context.store.merge(entry)


@behave.when('one entry is replaced {count:d} times')
def step_replace(context: typing.Any, count: int) -> None:
    for stamp in range(1, count + 1):
        context.store.merge(make_entry(context.clock.now(), stamp, 1000))


@behave.given(
    'a second store, {shared:d} shared entries, {first:d} and {second:d} own'
)
def step_second(
    context: typing.Any, shared: int, first: int, second: int
) -> None:
    context.other = siblings.GossipStore(context.clock)
    now = context.clock.now()
    for number in range(shared + first + second):
        entry = make_entry(now, number + 1, 10, f'target-{number}')
        if number < shared + first:
            context.store.merge(entry)
        if number < shared or number >= shared + first:
            context.other.merge(entry)


@behave.when('the stores reconcile')
def step_reconcile(context: typing.Any) -> None:
    stores = [context.store, context.other]
    message = _reconcile.begin_exchange(context.store)
    inbox = [(1, message)]
    while inbox:
        side, message = inbox.pop(0)
        answers = _reconcile.handle_message(stores[side], message)
        inbox += [(1 - side, answer) for answer in answers]


@behave.then('the merge result is "{result}"')
def step_result(context: typing.Any, result: str) -> None:
    assert context.result.value == result, context.result


@behave.then('the store holds stamp {stamp:d}')
def step_holds(context: typing.Any, stamp: int) -> None:
    key = siblings.EntryKey(TARGET, 'engine-1', 'vm-1')
    entry = context.store.find(key)
    assert entry is not None and entry.stamp == stamp, entry


@behave.then('the store is empty')
def step_empty(context: typing.Any) -> None:
    assert len(context.store) == 0, list(context.store)


@behave.then('the digest is that of an empty store')
def step_digest(context: typing.Any) -> None:
    empty = siblings.GossipStore(context.clock)
    assert context.store.root_digest() == empty.root_digest()


@behave.then('the store holds {count:d} entries')
def step_count(context: typing.Any, count: int) -> None:
    assert len(context.store) == count, len(context.store)


@behave.then('the store has at most {count:d} deadlines')
def step_deadlines(context: typing.Any, count: int) -> None:
    deadlines = sum(map(len, context.store._deadlines.values()))
    assert deadlines <= count, deadlines


@behave.then('both stores hold {count:d} entries')
def step_both(context: typing.Any, count: int) -> None:
    sizes = [len(context.store), len(context.other)]
    assert sizes == [count, count], sizes
    assert context.store.root_digest() == context.other.root_digest()
