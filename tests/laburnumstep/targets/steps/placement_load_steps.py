"""Steps for the queues that the placement of many VMs causes."""

from __future__ import annotations

import typing

import behave

from laburnumstep import callers
from support import placement_load


@behave.given(
    '{vms:d} VMs before {engines:d} engines with {rate:d} requests a second'
)
def step_fleet(context: typing.Any, vms: int, engines: int, rate: int) -> None:
    context.arguments = {
        'vms': vms,
        'engines': engines,
        'rate': float(rate),
        'candidates': callers.LOCAL_CANDIDATES + callers.REMOTE_CANDIDATES,
    }


@behave.given('reports are {delay:g} s old, and sends of siblings are {known}')
def step_knowledge(context: typing.Any, delay: float, known: str) -> None:
    context.arguments['report_delay'] = delay
    context.arguments['knows_sends'] = known == 'known'


@behave.given('each VM compares {count:d} engines')
def step_candidates(context: typing.Any, count: int) -> None:
    context.arguments['candidates'] = count


@behave.when('requests are placed for {seconds:d} seconds')
def step_place(context: typing.Any, seconds: int) -> None:
    context.mean, context.p95 = placement_load.measure_delays(
        False, seconds, **context.arguments
    )
    context.best, _ = placement_load.measure_delays(
        True, seconds, **context.arguments
    )


@behave.then(
    'first tokens wait at most {factor:g} times as long as with one placer'
)
def step_near_best(context: typing.Any, factor: float) -> None:
    assert context.mean <= factor * context.best, (context.mean, context.best)


@behave.then(
    'first tokens wait more than {factor:g} times as long as with one placer'
)
def step_far_from_best(context: typing.Any, factor: float) -> None:
    assert context.mean > factor * context.best, (context.mean, context.best)


@behave.then('the mean wait for the first token is {relation} {seconds:g} s')
def step_mean(context: typing.Any, relation: str, seconds: float) -> None:
    assert (context.mean < seconds) == (relation == 'below'), context.mean
