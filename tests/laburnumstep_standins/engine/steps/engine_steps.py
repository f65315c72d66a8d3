"""Steps for the engine stand-in."""

from __future__ import annotations

import json
import typing

import behave

from laburnumstep import core
from laburnumstep import transport
from laburnumstep_standins.bench import processes
from laburnumstep_standins import engine
from support import engine_client
from support import hooks

_STEP_SECONDS = 0.01
"""Duration of a decode step with an empty batch."""


def _url(context: typing.Any, path: str) -> str:
    return f'http://{context.server.address}{path}'


def _exchange(
    context: typing.Any, method: str, path: str, body: typing.Any = None
) -> tuple[int, typing.Any]:
    return context.portal.call(
        engine_client.send_request, method, _url(context, path), body
    )


def _start_reader(
    context: typing.Any,
    name: str,
    method: str,
    path: str,
    body: typing.Any = None,
) -> None:
    context.readers[name] = hooks.enter_context(
        context,
        engine_client.read_stream(
            context.clock, method, _url(context, path), body
        ),
    )


def _request_generation(
    context: typing.Any,
    name: str,
    prompt: str,
    max_tokens: int = 1_000_000,
    priority: int = 0,
    alias: str | None = None,
) -> None:
    body = {
        'generation': name,
        'model': 'model',
        'prompt': prompt,
        'max_tokens': max_tokens,
        'priority': priority,
    }
    context.requested_at = context.clock.now()
    _start_reader(context, alias or name, 'POST', '/v1/generations', body)


def _run_until_end(context: typing.Any, name: str) -> None:
    reader = context.readers[name]
    context.portal.call(
        engine_client.advance_until, context.clock, _STEP_SECONDS, reader.ended
    )


@behave.given('an engine with {config}')
def step_engine(context: typing.Any, config: str) -> None:
    if not hasattr(context, 'readers'):
        context.clock = core.ManualClock()
        context.readers = {}
        context.durations = {}
    decoded = json.loads(config)
    decoded['length_profiles'] = [
        dict(zip(('marker', 'median_tokens', 'sigma'), profile, strict=True))
        for profile in decoded.get('length_profiles', [['', 50, 1.0]])
    ]
    context.engine = engine.EngineStandIn(
        context.clock,
        core.decode_document(decoded, engine.EngineConfig, 'config'),
    )
    context.server = hooks.enter_context(
        context, transport.serve_app(context.engine.app)
    )


@behave.step('the faults are {changes}')
def step_fault(context: typing.Any, changes: str) -> None:
    status, _ = _exchange(context, 'POST', '/control', json.loads(changes))
    assert status == 200, status


@behave.when('the engine crashes')
def step_crash(context: typing.Any) -> None:
    context.portal.call(lambda: context.engine.set_faults(crash=True))


@behave.when('generation "{name}" starts with the prompt "{prompt}"')
def step_request(context: typing.Any, name: str, prompt: str) -> None:
    _request_generation(context, name, prompt)


@behave.when(
    'generation "{name}" is requested again with the prompt "{prompt}"'
    ' as "{alias}"'
)
def step_repeat_request(
    context: typing.Any, name: str, prompt: str, alias: str
) -> None:
    _request_generation(context, name, prompt, alias=alias)


@behave.when(
    'generation "{name}" of at most {count:d} tokens starts with the prompt'
    ' "{prompt}"'
)
def step_request_limited(
    context: typing.Any, name: str, count: int, prompt: str
) -> None:
    _request_generation(context, name, prompt, max_tokens=count)


@behave.when(
    'generation "{name}" of priority {priority:d} starts with the prompt'
    ' "{prompt}"'
)
def step_request_priority(
    context: typing.Any, name: str, prompt: str, priority: int
) -> None:
    _request_generation(context, name, prompt, priority=priority)


@behave.when(
    'generation "{name}" starts with a prompt of {count:d} characters'
)
def step_request_long(context: typing.Any, name: str, count: int) -> None:
    _request_generation(context, name, 'a' * count)


@behave.when(
    'generation "{name}" starts with a prompt of {count:d} other characters'
)
def step_request_other(context: typing.Any, name: str, count: int) -> None:
    _request_generation(context, name, 'b' * count)


@behave.when('{count:d} generations start at once')
def step_request_many(context: typing.Any, count: int) -> None:
    for index in range(count):
        _request_generation(context, f'g{index}', f'p{index}')


@behave.when('generation "{name}" is resumed from {position:d} as "{alias}"')
def step_resume(
    context: typing.Any, name: str, position: int, alias: str
) -> None:
    path = f'/v1/generations/{name}/events?from={position}'
    _start_reader(context, alias, 'GET', path)


@behave.when('"{name}" is cancelled')
def step_cancel(context: typing.Any, name: str) -> None:
    status, _ = _exchange(context, 'DELETE', f'/v1/generations/{name}')
    assert status == 200, status


@behave.when('"{name}" has ended')
def step_ended(context: typing.Any, name: str) -> None:
    _run_until_end(context, name)
    context.durations[name] = (
        context.readers[name].ended_at - context.requested_at
    )


@behave.when('all have ended')
def step_all_ended(context: typing.Any) -> None:
    for name in context.readers:
        _run_until_end(context, name)


@behave.when('"{name}" has {count:d} events')
def step_has_events(context: typing.Any, name: str, count: int) -> None:
    reader = context.readers[name]
    while len(reader.events) < count:
        context.portal.call(
            engine_client.advance_for, context.clock, _STEP_SECONDS, 0.01
        )


@behave.when('{seconds:g} seconds pass')
def step_pass(context: typing.Any, seconds: float) -> None:
    context.portal.call(
        engine_client.advance_for, context.clock, _STEP_SECONDS, seconds
    )


@behave.when('the engine is reclaimed in {seconds:g} seconds')
def step_reclaim(context: typing.Any, seconds: float) -> None:
    context.reclaim_at = context.clock.now() + seconds
    body = {'reclaim_at': context.reclaim_at}
    status, _ = _exchange(context, 'POST', '/control', body)
    assert status == 200, status


@behave.when('an order has fence {fence:d}')
def step_order(context: typing.Any, fence: int) -> None:
    body = {
        'fence': fence,
        'kind': 'load_model',
        'model': 'other',
        'version': '2',
    }
    context.status, context.body = _exchange(
        context, 'POST', '/v1/orders', body
    )


@behave.given('an engine as a process')
def step_process(context: typing.Any) -> None:
    config = engine.EngineConfig()
    context.child = hooks.enter_context(context, processes.run_engine(config))


@behave.when('the process gets the fault {changes}')
def step_process_fault(context: typing.Any, changes: str) -> None:
    reader = context.portal.call(engine_client.StreamReader)
    context.portal.call(
        reader.read,
        core.SystemClock(),
        'POST',
        f'http://{context.child.address}/control',
        json.loads(changes),
    )
    assert reader.events == ['cut'], reader.events


@behave.then('the process exits with status {status:d}')
def step_exit(context: typing.Any, status: int) -> None:
    assert context.portal.call(context.child.process.wait) == status


@behave.then('"{name}" received exactly {events}')
def step_received(context: typing.Any, name: str, events: str) -> None:
    expected = [] if events == 'nothing' else events.split()
    assert context.readers[name].events == expected, context.readers[
        name
    ].events


@behave.then('"{name}" received {count:d} tokens once each')
def step_once_each(context: typing.Any, name: str, count: int) -> None:
    events = context.readers[name].events
    positions = [event for event in events if event.isdigit()]
    assert positions == [str(n) for n in range(count)], events


@behave.then('"{name}" ends with {event}')
def step_ends_with(context: typing.Any, name: str, event: str) -> None:
    assert context.readers[name].events[-1] == event, context.readers[
        name
    ].events


@behave.then('"{name}" was preempted {count:d} times')
def step_preempted(context: typing.Any, name: str, count: int) -> None:
    events = context.readers[name].events
    assert events.count('preempted') == count, events


@behave.then('"{name}" has status {status:d}')
def step_status(context: typing.Any, name: str, status: int) -> None:
    assert context.readers[name].status == status


@behave.then('the engine started {count:d} generations')
def step_started(context: typing.Any, count: int) -> None:
    assert context.engine.started == count, context.engine.started


@behave.then('"{first}" and "{second}" received the same tokens')
def step_same_tokens(context: typing.Any, first: str, second: str) -> None:
    tokens = context.readers[first].tokens
    assert tokens and tokens == context.readers[second].tokens


@behave.then('the tokens of "{name}" are those of prompt "{prompt}"')
def step_tokens_of_prompt(context: typing.Any, name: str, prompt: str) -> None:
    for position, text in context.readers[name].tokens.items():
        assert text == engine.compute_token(prompt, position), position


@behave.then('the last ended after {seconds:g} seconds')
def step_last_end(context: typing.Any, seconds: float) -> None:
    last = max(reader.ended_at for reader in context.readers.values())
    elapsed = last - core.ManualClock().now()
    # Five steps cover the start of the last generation and the rounding
    # of the clock to whole steps.
    assert abs(elapsed - seconds) <= 5 * _STEP_SECONDS, elapsed


@behave.then('"{first}" ended before "{second}"')
def step_ended_before(context: typing.Any, first: str, second: str) -> None:
    readers = context.readers
    assert readers[first].ended_at < readers[second].ended_at


@behave.then('"{first}" took {seconds:g} seconds less than "{second}"')
def step_shorter(
    context: typing.Any, first: str, seconds: float, second: str
) -> None:
    saved = context.durations[second] - context.durations[first]
    assert abs(saved - seconds) <= 2 * _STEP_SECONDS, context.durations


@behave.then('the load shows {expected}')
def step_load(context: typing.Any, expected: str) -> None:
    context.portal.call(
        engine_client.advance_for, context.clock, _STEP_SECONDS, 0.0
    )
    _, report = _exchange(context, 'GET', '/v1/load')
    for key, value in json.loads(expected).items():
        assert report[key] == value, report


@behave.then('the load announces the reclaim')
def step_reclaim_shown(context: typing.Any) -> None:
    _, report = _exchange(context, 'GET', '/v1/load')
    assert report['reclaim_at'] == context.reclaim_at, report


@behave.then('the cache events are {events}')
def step_cache_events(context: typing.Any, events: str) -> None:
    _, body = _exchange(context, 'GET', '/v1/cache/events?from=0')
    found = [f'{event["seq"]}:{event["kind"]}' for event in body['events']]
    expected = [] if events == 'nothing' else events.split()
    assert found == expected, found


@behave.then('the order is answered with {status:d}')
def step_order_status(context: typing.Any, status: int) -> None:
    assert context.status == status, context.body
