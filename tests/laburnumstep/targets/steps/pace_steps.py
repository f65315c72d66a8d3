"""Steps for the pace and the caches of engines."""

from __future__ import annotations

import struct
import typing

import behave

from laburnumstep import targets

_STRIDE = 4
_ENGINE = 'engine-0'
_POOL = [f'engine-{number}' for number in range(5)]


def _record(
    context: typing.Any, gap: float, count: int, read_late: bool = False
) -> None:
    """Record the arrival of some events after a gap, in milliseconds."""
    read_at = context.now + (0.05 if read_late else 0.0)
    context.now += gap / 1000
    context.gaps.record(read_at, context.now, [_STRIDE] * count)


@behave.given('30 events arrive 40 ms apart, after which {events}')
def step_events(context: typing.Any, events: str) -> None:
    context.gaps = targets.GapRecorder()
    context.now = 1000.0
    for _ in range(30):
        _record(context, 40, 1)
    if events == 'nothing happens':
        return
    words = events.split()
    gap = next(int(word) for word in words if len(word) > 2 and word.isdigit())
    size = 3 if 'batches' in words else 1
    for _ in range(int(words[0])):
        _record(context, gap, size, 'slow' in words)


@behave.then(
    'the stream shows {gaps:d} gaps, {token:d} ms a token and a pause of'
    ' {pause:d} ms'
)
def step_sample(
    context: typing.Any, gaps: int, token: int, pause: int
) -> None:
    sample = context.gaps.evaluate()
    assert sample.gaps == gaps, sample
    assert round(sample.token_seconds * 1000) == token, sample
    assert round(sample.pause_seconds * 1000) == pause, sample


def _parse(text: str) -> targets.PaceSample:
    gaps, token, pause = text.split('/')
    return targets.PaceSample(int(gaps), int(token) / 1000, int(pause) / 1000)


@behave.given('5 engines with 10 ms a token and pauses of 90 ms')
def step_engines(context: typing.Any) -> None:
    context.paces = targets.EnginePaces()
    context.now = 1000.0
    for name in _POOL[1:]:
        sample = _parse('400/10/90')
        context.paces.observe(name, sample, context.now)


@behave.when('engine-0 has shown "{shown}" as gaps/token ms/pause ms')
def step_shown(context: typing.Any, shown: str) -> None:
    for text in shown.split():
        if text != 'nothing':
            context.paces.observe(_ENGINE, _parse(text), context.now)


@behave.when('engine-0 starts anew and a sibling sends "{text}" from before')
def step_restart(context: typing.Any, text: str) -> None:
    measured_at = context.now
    context.now += 2.0
    context.paces.forget(_ENGINE, context.now)
    context.paces.apply(_ENGINE, _parse(text), measured_at, context.now)


@behave.when('a sibling sends "{text}" of engine-0')
def step_sibling(context: typing.Any, text: str) -> None:
    context.now += 2.0
    context.paces.apply(_ENGINE, _parse(text), context.now, context.now)


@behave.when('{seconds:d} s pass without a stream')
def step_pass(context: typing.Any, seconds: int) -> None:
    context.now += seconds


def _estimate(context: typing.Any) -> targets.Pace:
    return context.paces.estimate(_ENGINE, 'm', _POOL, context.now + 1.0)


@behave.then('engine-0 has a speed of {speed:g} and a pause of {pause:d} ms')
def step_estimate(context: typing.Any, speed: float, pause: int) -> None:
    pace = _estimate(context)
    assert abs(pace.speed - speed) < 0.02, pace
    assert abs(pace.pause_seconds * 1000 - pause) <= 2.0, pace


@behave.then('engine-0 is expected to pause for less than {pause:d} ms')
def step_faded(context: typing.Any, pause: int) -> None:
    pace = _estimate(context)
    assert pace.pause_seconds * 1000 < pause, pace


@behave.when(
    'after {seconds:d} s engine-0 has shown {shown} to a stream with'
    ' an objective of {objective:d} ms'
)
def step_news(
    context: typing.Any, seconds: int, shown: str, objective: int
) -> None:
    context.paces.observe(_ENGINE, _parse('187/10/90'), context.now)
    context.told = []
    context.paces.subscribe(
        lambda engine, sample: context.told.append((engine, sample))
    )
    context.now += seconds
    context.paces.observe(
        _ENGINE, _parse(shown), context.now, objective / 1000
    )


@behave.then('siblings are {told}')
def step_told(context: typing.Any, told: str) -> None:
    assert bool(context.told) == (told == 'told'), context.told


@behave.when(
    'a sibling encodes {gaps:d} gaps, {token} s a token and a pause of'
    ' {pause} s'
)
def step_encoded(
    context: typing.Any, gaps: int, token: str, pause: str
) -> None:
    context.data = struct.pack('<ffH', float(token), float(pause), gaps)


@behave.then('the pace is {result}')
def step_result(context: typing.Any, result: str) -> None:
    try:
        targets.decode_pace(context.data)
    except ValueError:
        assert result == 'refused'
    else:
        assert result == 'taken'


def _digest(prompt: str) -> tuple[targets.PromptPart, ...]:
    pairs = (item.split(':') for item in prompt.split(','))
    return targets.digest_parts((name, int(tokens)) for name, tokens in pairs)


def _send(context: typing.Any, prompt: str) -> None:
    parts = _digest(prompt)
    tokens = sum(part.tokens for part in parts)
    context.residency.record(_ENGINE, parts, tokens, context.free)


@behave.given(
    'an engine with {free:d} free tokens that got a prompt "{prompt}"'
)
def step_cache(context: typing.Any, free: int, prompt: str) -> None:
    context.residency = targets.CacheResidency()
    context.free = float(free)
    _send(context, prompt)


@behave.when('nothing happens')
def step_nothing(context: typing.Any) -> None:
    pass


@behave.when('it gets {tokens:d} other tokens')
def step_others(context: typing.Any, tokens: int) -> None:
    for number in range(tokens // 1000):
        _send(context, f'other{number}:1000')


@behave.when('it gets {tokens:d} tokens after a, twice')
def step_after(context: typing.Any, tokens: int) -> None:
    for number in range(2):
        _send(context, f'a:2000,other{number}:{tokens}')


@behave.when('it starts anew')
def step_anew(context: typing.Any) -> None:
    context.residency.forget(_ENGINE)


@behave.then('{tokens:d} tokens of "{prompt}" are cached')
def step_cached(context: typing.Any, tokens: int, prompt: str) -> None:
    parts = _digest(prompt)
    found = context.residency.count_cached(_ENGINE, parts, context.free)
    assert found == tokens, found
