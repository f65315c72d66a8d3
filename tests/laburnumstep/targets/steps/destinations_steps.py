"""Steps for the choice of engines for copies of runs."""

from __future__ import annotations

import random
import typing

import behave

from laburnumstep import core
from laburnumstep import targets
from support import fleets

_DAYS = 200
"""Number of repetitions over which refusals are averaged."""
_RUN = targets.CopiedRun('w', fleets.MODEL, 100.0, 0.0)


@behave.given('engines with room in tokens')
def step_rooms(context: typing.Any) -> None:
    context.rooms = [
        targets.CopyRoom(
            row['name'],
            row['near'] == 'yes',
            float(row['later']),
            float(row['now']),
        )
        for row in context.table
    ]


@behave.then('copies go to {name}')
def step_chosen(context: typing.Any, name: str) -> None:
    room = targets.draw_destination(context.rooms, random.Random(1))
    assert room is not None and room.name == name, room


@behave.given(
    '4 engines with {first:d}, {second:d}, {third:d} and {fourth:d} tokens'
    ' free'
)
def step_free(
    context: typing.Any, first: int, second: int, third: int, fourth: int
) -> None:
    context.free = [first, second, third, fourth]


def count_refused(
    free: list[int], vms: int, runs: int, size: int, rng: random.Random
) -> int:
    """Return how many copies find no room.

    Each VM knows its own copies and the reports, but not the copies of the
    others.
    """
    left = list(free)
    refused = 0
    for _ in range(vms):
        known = list(free)
        for _ in range(runs):
            rooms = [
                targets.CopyRoom(str(number), True, room - size, room - size)
                for number, room in enumerate(known)
            ]
            room = targets.draw_destination(rooms, rng)
            assert room is not None
            number = int(room.name)
            known[number] -= size
            if left[number] >= size:
                left[number] -= size
            else:
                refused += 1
    return refused


@behave.when(
    '{vms:d} VMs copy {runs:d} runs of {size:d} tokens each at the same time'
)
def step_copy(context: typing.Any, vms: int, runs: int, size: int) -> None:
    rng = random.Random(1)
    refused = [
        count_refused(context.free, vms, runs, size, rng) for _ in range(_DAYS)
    ]
    context.refused = sum(refused) / _DAYS


@behave.then('on average at most {count:g} of the copies are refused')
def step_refused(context: typing.Any, count: float) -> None:
    assert context.refused <= count, context.refused


@behave.given(
    'a VM that has begun to copy a run of {prompt:d} and {tokens:d} tokens to'
    ' an engine'
)
def step_begun(context: typing.Any, prompt: int, tokens: int) -> None:
    clock = core.ManualClock()
    context.view = targets.FleetView(clock, 'lima-1')
    context.view.apply_deployment(fleets.make_deployment(1))
    context.before = measure(context.view, clock.now())
    context.view.begin(
        'engine-0', 'g-1', 'w', fleets.MODEL, prompt + tokens, 0.0, 0
    )
    context.after = measure(context.view, clock.now())


def measure(view: targets.FleetView, now: float) -> targets.CopyRoom:
    state = view.find('engine-0')
    assert state is not None
    return targets.measure_room(
        state, _RUN, targets.LengthEstimator(), 0.5, True, now
    )


@behave.then('the engine has room for {tokens:d} tokens less')
def step_less(context: typing.Any, tokens: int) -> None:
    before, after = context.before, context.after
    assert before.free_now - after.free_now == tokens, (before, after)
    assert before.free_later - after.free_later == tokens, (before, after)


@behave.then(
    'before it had {free:d} of {memory:d} tokens free with another run of'
    ' {size:d} tokens'
)
def step_free_before(
    context: typing.Any, free: int, memory: int, size: int
) -> None:
    assert (memory, size) == (fleets.KV_TOKENS, _RUN.kv_tokens)
    assert context.before.free_now == free, context.before
