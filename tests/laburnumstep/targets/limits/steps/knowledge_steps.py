"""Steps for the limits that a VM knows."""

from __future__ import annotations

import typing

import behave

from laburnumstep import core
from laburnumstep.targets import limits

_START = 1_000_000.0


def describe_word(word: limits.LimitWord) -> str:
    match word:
        case limits.NoLimit():
            return 'none'
        case limits.RateLimit():
            return f'{word.rate:.12g}'
        case limits.UnreadableLimit():
            return 'unreadable'
        case _:
            typing.assert_never(word)


@behave.when('an answer names the limits "{values}"')
def step_answer(context: typing.Any, values: str) -> None:
    context.word = limits.parse_limit(values.split(';'))


@behave.when('an answer names the limits ""')
def step_answer_without_limit(context: typing.Any) -> None:
    context.word = limits.parse_limit([])


@behave.then('the word is {word}')
def step_word(context: typing.Any, word: str) -> None:
    found = describe_word(context.word)
    assert found == word, found


def apply_event(context: typing.Any, event: str) -> None:
    second, action, *rest = event.split()
    context.clock.advance(_START + float(second) - context.clock.now())
    known = context.limits
    match action:
        case 'answers':
            value, sent_at = rest[0].split('@')
            values = [] if value == 'nothing' else [value]
            word = limits.parse_limit(values)
            known.record_answer('a', word, _START + float(sent_at))
        case 'hears':
            value, named_at = rest[0].split('@')
            rate = None if value == 'none' else float(value)
            named = limits.KnownLimit(rate, _START + float(named_at))
            known.merge('a', named, 'vm-2')
        case 'restarts':
            known.forget('a')
        case 'waits':
            pass
        case _:
            raise ValueError(event)


@behave.when('a VM learns at these seconds: {events}')
def step_learn(context: typing.Any, events: str) -> None:
    context.clock = core.ManualClock(_START)
    context.limits = limits.TargetLimits(context.clock, core.Metrics(None, ''))
    context.changes = []
    context.own_changes = []
    context.limits.subscribe(
        lambda target, named: context.changes.append(named.describe())
    )
    context.limits.subscribe_answers(
        lambda target, named: context.own_changes.append(named.describe())
    )
    for event in events.split('; '):
        apply_event(context, event)


@behave.then('the rate is {rate}')
def step_rate(context: typing.Any, rate: str) -> None:
    found = context.limits.find_rate('a')
    expected = None if rate == 'none' else float(rate)
    assert found == expected, found


@behave.then('the changes were {changes}')
def step_changes(context: typing.Any, changes: str) -> None:
    assert context.changes == changes.split(','), context.changes


@behave.then('the changes in answers to this VM were {changes}')
def step_own_changes(context: typing.Any, changes: str) -> None:
    assert context.own_changes == changes.split(','), context.own_changes
