"""Steps for the returns of refused callers."""

from __future__ import annotations

import random
import typing

import behave

from laburnumstep.callers import _returns

_START = 1_000_000.0
_TOLERANCE_SECONDS = 1e-3


@behave.given(
    'capacity is expected in {delay:g} seconds at {rate:g} requests a second'
)
def step_capacity(context: typing.Any, delay: float, rate: float) -> None:
    context.earliest = _START + delay
    context.rate = rate
    context.schedule = _returns.ReturnSchedule(random.Random(1))


@behave.when('{count:d} callers are refused at once')
def step_refused(context: typing.Any, count: int) -> None:
    context.delays = [
        context.schedule.schedule('pool', context.earliest, context.rate)
        - _START
        for _ in range(count)
    ]


@behave.then(
    'the {count:d} returns are spaced by {gap:g} seconds from {first:g}'
    ' seconds on'
)
def step_spaced(
    context: typing.Any, count: int, gap: float, first: float
) -> None:
    assert len(context.delays) == count
    for number, delay in enumerate(context.delays):
        expected = first + number * gap
        assert abs(delay - expected) < _TOLERANCE_SECONDS, context.delays


@behave.then(
    'the returns are from {first:g} to {last:g} seconds, no more than'
    ' {most:d} in one second'
)
def step_spread(
    context: typing.Any, first: float, last: float, most: int
) -> None:
    delays = context.delays
    assert first <= min(delays) and max(delays) <= last, delays
    by_second = [int(delay) for delay in delays]
    counts = [by_second.count(second) for second in set(by_second)]
    assert max(counts) <= most, counts
