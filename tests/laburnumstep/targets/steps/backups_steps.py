"""Steps for copies of runs that are made ahead."""

from __future__ import annotations

import collections
import random
import typing

import behave

from laburnumstep import core
from laburnumstep import targets
from support import fleets


@behave.given(
    'a {kind} run of priority {priority:d} whose engine is lost each {each:g}'
    ' s'
)
def step_run(
    context: typing.Any, kind: str, priority: int, each: float
) -> None:
    context.run_at_risk = targets.RunAtRisk(
        prompt_tokens=2800,
        made_tokens=0,
        expected_tokens=500.0,
        token_seconds=0.02,
        priority=priority,
        resumable=kind == 'resumable',
        loss_rate=1.0 / each,
    )


@behave.given('engines whose memory is used to {use} with the copy')
def step_rooms(context: typing.Any, use: str) -> None:
    values = [] if use == 'none' else [float(item) for item in use.split(',')]
    context.backup_rooms = [
        targets.BackupRoom(f'e-{number}', value, 0.18)
        for number, value in enumerate(values)
    ]


@behave.when('a copy of the run is weighed')
def step_weigh(context: typing.Any) -> None:
    context.decision = decide(context, random.Random(1))


def decide(context: typing.Any, rng: random.Random) -> targets.BackupDecision:
    return targets.decide_backup(
        context.run_at_risk, context.backup_rooms, rng
    )


@behave.then('the run is {result}')
def step_result(context: typing.Any, result: str) -> None:
    expected = {'copied': targets.BackUp, 'single': targets.NoBackup}[result]
    assert isinstance(context.decision, expected), context.decision


@behave.when('a copy of the run is weighed {count:d} times')
def step_weigh_often(context: typing.Any, count: int) -> None:
    rng = random.Random(1)
    decisions = [decide(context, rng) for _ in range(count)]
    context.copies = collections.Counter(
        getattr(decision, 'name', None) for decision in decisions
    )


@behave.then('{engines:d} engines got at least {count:d} copies each')
def step_spread(context: typing.Any, engines: int, count: int) -> None:
    several = [name for name, n in context.copies.items() if n >= count]
    assert len(several) == engines and None not in several, context.copies


@behave.given('a VM that watches {count:d} engines for {seconds:d} s')
def step_watch(context: typing.Any, count: int, seconds: int) -> None:
    context.clock = core.ManualClock()
    context.view = targets.FleetView(context.clock, 'lima-1')
    context.deployment = fleets.make_deployment(count)
    context.view.apply_deployment(context.deployment)
    context.seconds = seconds


@behave.given('in this time {events}')
def step_events(context: typing.Any, events: str) -> None:
    view, clock = context.view, context.clock
    first = next(iter(context.deployment.targets))
    names = [
        name
        for name, target in context.deployment.targets.items()
        if isinstance(target, core.EngineTarget) and name != first
    ]
    match events.split():
        case ['nothing', 'happens']:
            clock.advance(context.seconds)
        case [count, 'of', 'them', *rest]:
            for name in names[: int(count)]:
                clock.advance(context.seconds / int(count))
                if 'leave' in rest:
                    view.set_leaving(name, True)
                if 'removed' in rest:
                    del context.deployment.targets[name]
                    view.apply_deployment(context.deployment)
        case ['one', 'is', 'ejected', count, 'times']:
            for _ in range(int(count)):
                clock.advance(context.seconds / int(count))
                view.set_failed(names[0], clock.now() + 2.0)
        case _:
            raise ValueError(events)
    context.names = {'ran': first, 'was ejected': names[0]}


@behave.then('an engine that {state} is lost each {least:d} to {most:d} s')
def step_rate(context: typing.Any, state: str, least: int, most: int) -> None:
    rate = context.view.hazards.estimate(
        context.names[state], context.clock.now()
    )
    assert least <= 1.0 / rate <= most, 1.0 / rate
