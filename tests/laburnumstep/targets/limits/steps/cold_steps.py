"""Steps for the cold times of targets."""

from __future__ import annotations

import typing

import behave

from laburnumstep import core
from laburnumstep.targets import limits

_START = 1_000_000.0
_TARGET = 'a'
_SERVICE = 'app'


def configure(context: typing.Any, rate: float) -> None:
    start = limits.ColdStart(rate, context.ramp_seconds)
    context.cold.apply_starts({_SERVICE: start} if rate else {})


@behave.given(
    'a service whose cold targets take {rate:g} requests a second and warm up'
    ' in {seconds:g} seconds'
)
def step_service(context: typing.Any, rate: float, seconds: float) -> None:
    context.clock = core.ManualClock(_START)
    metrics = core.Metrics(None, '')
    context.cold = limits.ColdTargets(context.clock, metrics)
    context.limits = limits.TargetLimits(context.clock, metrics, context.cold)
    context.announced = []
    context.limits.subscribe(
        lambda target, named: context.announced.append(named.describe())
    )
    context.ramp_seconds = seconds
    configure(context, rate)


def apply_event(context: typing.Any, event: str) -> None:
    second, *words = event.split()
    context.clock.advance(_START + float(second) - context.clock.now())
    match words:
        case ['entry', order, *cold]:
            started_at, renewals = order.split('/')
            seconds = float(cold[1]) if cold else None
            entry = limits.ColdEntry(
                _SERVICE, int(started_at), int(renewals), seconds
            )
            context.cold.apply_entry(_TARGET, entry)
        case ['answer', value]:
            cold_seconds, sent_at = value.split('@')
            context.cold.record_answer(
                _TARGET, float(cold_seconds), _START + float(sent_at)
            )
        case ['names', value]:
            values = [] if value == 'none' else [value]
            context.limits.record_answer(
                _TARGET, limits.parse_limit(values), context.clock.now()
            )
        case ['configured', rate]:
            configure(context, float(rate))
        case ['waits']:
            pass
        case _:
            raise ValueError(event)


@behave.when('a VM learns at these seconds of cold times: {events}')
def step_learn_cold(context: typing.Any, events: str) -> None:
    for event in events.split('; '):
        apply_event(context, event)


@behave.then('the announced rates are {rates}')
def step_announced(context: typing.Any, rates: str) -> None:
    context.limits.drop_expired()
    found = ','.join(context.announced) or 'none'
    assert found == rates, found


@behave.given('a VM that does not know that the target is cold')
def step_unknowing(context: typing.Any) -> None:
    context.issuer = limits.PermitIssuer(context.limits, context.clock)


@behave.when('another VM asks it for permits at the rate of the cold target')
def step_ask(context: typing.Any) -> None:
    other = limits.ColdTargets(context.clock, core.Metrics(None, ''))
    other.apply_starts({_SERVICE: limits.ColdStart(10.0, 8.0)})
    other.apply_entry(_TARGET, limits.ColdEntry(_SERVICE, 1, 1, 60.0))
    known = limits.TargetLimits(
        context.clock, core.Metrics(None, ''), other
    ).find(_TARGET)
    context.issued = 0
    for _ in range(200):
        context.clock.advance(0.1)
        answer = context.issuer.issue(
            limits.PermitRequest(_TARGET, known, 9), 'vm-2'
        )
        if isinstance(answer, limits.Granted):
            context.issued += answer.count


@behave.then('it issues them at that rate and knows no limit')
def step_issued(context: typing.Any) -> None:
    # Three seconds at a part of the rate, then 17 at 8 permits a second.
    assert 136 <= context.issued <= 150, context.issued
    assert context.limits.find_rate(_TARGET) is None
