"""Steps for the queues that the placement of many VMs causes."""

from __future__ import annotations

import random
import typing

import behave

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import targets
from support import clocks
from support import fleets
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


@behave.given('engines have {tokens:d} tokens of memory')
def step_memory(context: typing.Any, tokens: int) -> None:
    context.arguments['kv_tokens'] = tokens


@behave.when(
    'requests are placed for {seconds:d} seconds with and without substitutes'
)
def step_substitutes(context: typing.Any, seconds: int) -> None:
    count = callers.LOCAL_SUBSTITUTES + callers.REMOTE_SUBSTITUTES
    context.without, _ = placement_load.measure_delays(
        False, seconds, **context.arguments
    )
    context.with_substitutes, _ = placement_load.measure_delays(
        False, seconds, substitutes=count, **context.arguments
    )


@behave.then(
    'the mean wait with substitutes is at most {factor:g} of that without'
)
def step_shorter(context: typing.Any, factor: float) -> None:
    assert context.with_substitutes <= factor * context.without, (
        context.with_substitutes,
        context.without,
    )


@behave.given('engines "{loads}" as load in percent and waiting requests')
def step_loads(context: typing.Any, loads: str) -> None:
    context.clock = clocks.ObservedClock()
    context.view = targets.FleetView(context.clock, 'lima-1')
    items = [item.split('/') for item in loads.split()]
    context.view.apply_deployment(fleets.make_deployment(len(items)))
    for number, (percent, waiting) in enumerate(items):
        report = fleets.make_report(
            context.clock.now(),
            int(percent) // 10,
            int(percent) * fleets.KV_TOKENS // 100,
            waiting=int(waiting),
        )
        context.view.record_report(f'engine-{number}', report)
    context.names = [f'engine-{number}' for number in range(len(items))]


@behave.when('a request compares {count:d} of them and may take substitutes')
def step_compare(context: typing.Any, count: int) -> None:
    context.placed = targets.choose_engine(
        context.view,
        fleets.make_request(
            candidates=tuple(context.names[:count]),
            substitutes=tuple(context.names[count:]),
            hinted_tokens=10.0,
        ),
        targets.LengthEstimator(),
        core.PolicyWeights(stall=0.0, preemption=0.0, tail=1.0),
        random.Random(1),
    )


@behave.then('it is placed on engine {numbers}')
def step_placed(context: typing.Any, numbers: str) -> None:
    allowed = [f'engine-{number}' for number in numbers.split(' or ')]
    assert context.placed.target in allowed, context.placed
