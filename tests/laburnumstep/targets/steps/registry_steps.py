"""Steps for the registry of targets."""

from __future__ import annotations

import re
import typing

import behave

from laburnumstep import core
from laburnumstep import targets

_STARTED_AT = 10


def make_target(leaving: bool = False) -> core.Target:
    return core.ServiceTarget('a', 'lima-1', '127.0.0.1:1', 's', leaving)


def register(
    leaving: bool, started_at: int, renewals: int = 5
) -> targets.Registration:
    return targets.Registration(make_target(leaving), started_at, renewals)


@behave.given('target "a" is registered')
def step_registered(context: typing.Any) -> None:
    context.clock = core.ManualClock()
    context.deployment = None
    context.left = []

    def record(deployment: core.Deployment) -> None:
        context.deployment = deployment

    context.registry = targets.TargetRegistry(
        context.clock, core.Deployment(''), record, context.left.append
    )
    context.registry.replace({'a': register(False, _STARTED_AT)})


def apply_event(context: typing.Any, event: str) -> None:
    registry = context.registry
    passed = re.fullmatch(r'([\d.]+) s pass', event)
    if passed:
        context.clock.advance(float(passed[1]))
        registry.update({})
        return
    match event:
        case 'nothing happens':
            pass
        case 'its entry says that it leaves':
            registry.update({'a': register(True, _STARTED_AT)})
        case 'its entry is removed':
            registry.update({'a': None})
        case 'comes back' | 'it comes back':
            registry.update({'a': register(False, _STARTED_AT)})
        case 'the registry fails':
            registry.record_failure()
        case 'all entries are read anew without it':
            registry.replace({})
        case 'its renewed entry says that it leaves':
            registry.update({'a': register(True, _STARTED_AT, 9)})
        case 'its old entry is read anew':
            registry.replace({'a': register(False, _STARTED_AT, 7)})
        case 'its last entry is read anew':
            registry.replace({'a': register(False, _STARTED_AT, 5)})
        case 'it renews its entry':
            registry.update({'a': register(False, _STARTED_AT, 12)})
        case 'it renews that it leaves':
            registry.update({'a': register(True, _STARTED_AT, 12)})
        case 'it starts again':
            registry.update({'a': register(False, _STARTED_AT + 1, 0)})
        case 'the log came back older':
            registry.record_failure()
        case 'an entry of an older start says that it leaves':
            registry.update({'a': register(True, _STARTED_AT - 1)})
        case 'an entry of a newer start comes after its leaving':
            registry.update({'a': register(True, _STARTED_AT)})
            registry.update({'a': register(False, _STARTED_AT + 1)})
        case _:
            raise ValueError(event)


@behave.when('the registry sees that {events}')
def step_events(context: typing.Any, events: str) -> None:
    for event in re.split(', | and ', events):
        apply_event(context, event)


@behave.then('target "a" is {state}')
def step_state(context: typing.Any, state: str) -> None:
    found = context.deployment.targets.get('a')
    names = {None: 'unknown', True: 'leaving', False: 'usable'}
    name = names[found.leaving if found is not None else None]
    assert name == state, found


@behave.then('the listener was notified that "a" is leaving')
def step_notified(context: typing.Any) -> None:
    assert context.left == ['a'], context.left
