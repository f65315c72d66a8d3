"""Steps for the choice of an engine by its cost in seconds."""

from __future__ import annotations

import random
import typing

import attrs
import behave

from laburnumstep import core
from laburnumstep import targets
from support import fleets
from support import pace_load

_ENGINES = [f'engine-{number}' for number in range(8)]
_PROMPT = targets.digest_parts([('system', 900), ('session', 1800)])
_PROMPT_TOKENS = 2800
_GAP_SECONDS = 0.18
_FIRST_SECONDS = 1.5
_LONG_TOKENS = 600.0
_SHORT_TOKENS = 16.0


def _show_pause(context: typing.Any, name: str, pause: float) -> None:
    sample = targets.PaceSample(400, pause / 9, pause)
    context.view.paces.forget(name, context.clock.now())
    context.view.paces.observe(name, sample, context.clock.now())


@behave.given('8 engines that pause for {pause:d} ms beside a prefill')
def step_engines(context: typing.Any, pause: int) -> None:
    context.clock = core.ManualClock()
    context.view = targets.FleetView(context.clock, 'lima-1')
    context.view.apply_deployment(
        fleets.make_deployment(len(_ENGINES), pace_load.KV_TOKENS)
    )
    context.waiting = dict.fromkeys(_ENGINES, 0)
    for name in _ENGINES:
        _show_pause(context, name, pause / 1000)


@behave.given('engine-0 pauses for {pause:d} ms')
def step_pause(context: typing.Any, pause: int) -> None:
    _show_pause(context, 'engine-0', pause / 1000)


@behave.given('each engine gets {rate:g} prompts a second')
def step_rate(context: typing.Any, rate: float) -> None:
    for _ in range(round(90 * rate)):
        context.clock.advance(1 / rate)
        send = targets.SiblingSend(context.clock.now(), _PROMPT_TOKENS)
        for name in _ENGINES:
            context.view.record_sibling_send(name, send)


@behave.given('{first:d} requests wait on engine-0 and {second:d} on engine-1')
def step_waiting(context: typing.Any, first: int, second: int) -> None:
    context.waiting['engine-0'] = first
    context.waiting['engine-1'] = second


@behave.given('on engine-0 there is {there}')
def step_there(context: typing.Any, there: str) -> None:
    match there:
        case 'a long stream with an objective':
            send = targets.SiblingSend(
                context.clock.now(), 0, (), _GAP_SECONDS, _LONG_TOKENS
            )
            context.view.record_sibling_send('engine-0', send)
        case 'its cached prompt':
            send = context.view.begin(
                'engine-0',
                'g-0',
                'w',
                fleets.MODEL,
                _PROMPT_TOKENS,
                _SHORT_TOKENS,
                parts=_PROMPT,
            )
            context.view.end(send)
        case _:
            assert there == 'nothing'
    context.clock.advance(1.0)
    for name in _ENGINES:
        report = fleets.make_report(
            context.clock.now(),
            kv_total=pace_load.KV_TOKENS,
            waiting=context.waiting[name],
        )
        context.view.record_report(name, report)


def _make_request(kind: str) -> targets.PlacementRequest:
    long = 'long' in kind
    has_objective = 'with an objective' in kind
    return fleets.make_request(
        prompt_tokens=_PROMPT_TOKENS,
        hinted_tokens=_LONG_TOKENS if long else _SHORT_TOKENS,
        parts=_PROMPT if 'cached' in kind else (),
        objectives=targets.Objectives(_FIRST_SECONDS, _GAP_SECONDS)
        if has_objective
        else targets.Objectives(),
    )


@behave.when('{kind} compares the two')
def step_compare(context: typing.Any, kind: str) -> None:
    context.placed = targets.choose_engine(
        context.view,
        attrs.evolve(_make_request(kind), candidates=('engine-1', 'engine-0')),
        targets.LengthEstimator(),
        core.PolicyWeights(stall=0.0, preemption=0.0, tail=1.0),
        random.Random(1),
    )


@behave.then('it goes to {name}')
def step_goes(context: typing.Any, name: str) -> None:
    assert context.placed.target == name, context.placed


@behave.then('the reason names {terms}')
def step_reason(context: typing.Any, terms: str) -> None:
    for term in terms.replace(' and ', ', ').split(', '):
        assert f' {term} ' in context.placed.reason, context.placed


@behave.when('200 samples of two engines are drawn for {kind}')
def step_sample(context: typing.Any, kind: str) -> None:
    # The objective of the other requests for the model is known.
    context.view.gap_objectives[fleets.MODEL] = _GAP_SECONDS
    preference = targets.find_preference(
        context.view, _make_request(kind), targets.LengthEstimator()
    )
    rng = random.Random(1)
    samples = [
        targets.sample_engines(
            context.view,
            fleets.MODEL,
            frozenset(),
            2,
            0,
            rng,
            preference=preference,
        )
        for _ in range(200)
    ]
    context.count = sum('engine-0' in names for names in samples)


@behave.then('engine-0 is in {share} of them')
def step_share(context: typing.Any, share: str) -> None:
    # Two of eight engines are drawn: 50 samples of 200 without preference.
    low, high = {'none': (0, 0), 'some': (25, 75), 'most': (120, 200)}[share]
    assert low <= context.count <= high, context.count


@behave.when('a fleet serves 14 requests a second for a minute, seed {seed:d}')
def step_fleet(context: typing.Any, seed: int) -> None:
    context.before = pace_load.measure_late(False, seed)
    context.after = pace_load.measure_late(True, seed)


@behave.then(
    'at most a third as many long streams are late as without the pace'
)
def step_late(context: typing.Any) -> None:
    assert context.before[0] >= 0.1, context.before
    assert context.after[0] <= context.before[0] / 3, (
        context.before,
        context.after,
    )


@behave.then('first events take no longer than without the pace')
def step_first(context: typing.Any) -> None:
    assert context.after[2] <= context.before[2], (
        context.before,
        context.after,
    )
