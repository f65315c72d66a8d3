"""Steps for the features of the fleet view and of placement."""

from __future__ import annotations

import random
import typing

import attrs
import behave

from laburnumstep import core
from laburnumstep import targets
from support import fleets

_START = 1_000_000.0


def _make_view(
    context: typing.Any, deployment: core.Deployment
) -> targets.FleetView:
    context.clock = core.ManualClock(_START)
    context.deployment = deployment
    context.rng = random.Random(7)
    context.lengths = fleets.make_length_estimator(100)
    context.excluded = frozenset()
    view = targets.FleetView(context.clock, 'lima-1')
    view.apply_deployment(deployment)
    return view


def _place(context: typing.Any, **changes: typing.Any) -> typing.Any:
    request = fleets.make_request(excluded=context.excluded, **changes)
    return targets.choose_engine(
        context.view,
        request,
        context.lengths,
        context.deployment.weights,
        context.rng,
    )


def _begin_send(
    context: typing.Any, placed: targets.Placed, **changes: typing.Any
) -> targets.Send:
    number = sum(context.placed.values())
    context.placed[placed.target] = context.placed.get(placed.target, 0) + 1
    return context.view.begin(
        placed.target,
        str(number),
        'foremen',
        fleets.MODEL,
        100,
        100.0,
        **changes,
    )


@behave.given(
    'an engine with a report measured at second {second:d} of {count:d} '
    'requests'
)
def step_engine(context: typing.Any, second: int, count: int) -> None:
    context.view = _make_view(context, fleets.make_deployment(1))
    report = fleets.make_report(_START + second, count, 125 * count)
    context.view.record_report('engine-0', report)


@behave.when('the engine is held until second {until:d} and {event}')
def step_held(context: typing.Any, until: int, event: str) -> None:
    view = context.view
    view.set_held('engine-0', _START + until)
    match event.split():
        case ['nothing', 'happens']:
            pass
        case ['is', 'held', 'until', 'second', second, 'again']:
            view.set_held('engine-0', _START + float(second))
        case ['fails', 'until', 'second', second]:
            view.set_failed('engine-0', _START + float(second))
        case ['its', 'limit', 'changes']:
            view.set_limit('engine-0', 2.0)
        case ['its', 'limit', 'ends']:
            view.set_limit('engine-0', None)
        case ['is', 'leaving']:
            view.set_leaving('engine-0', True)
        case _:
            raise ValueError(event)


@behave.then('at second {second:d} the engine {use}')
def step_engine_use(context: typing.Any, second: int, use: str) -> None:
    context.clock.advance(_START + second - context.clock.now())
    context.placed = {}
    result = _place(context)
    match use.split():
        case ['is', 'used']:
            assert isinstance(result, targets.Placed), result
        case ['is', 'used', 'at', 'second', later]:
            expected = targets.NoRoom(_START + float(later))
            assert result == expected, result
        case ['is', 'not', 'used']:
            assert isinstance(result, targets.NoTarget), result
        case _:
            raise ValueError(use)


@behave.when(
    'a send of {prompt:d} prompt and {answer:d} answer tokens lasts from '
    '{sent_at:d} to {ended}'
)
def step_send(
    context: typing.Any, prompt: int, answer: int, sent_at: int, ended: str
) -> None:
    context.clock.advance(sent_at)
    context.send = context.view.begin(
        'engine-0', 'g', 'foremen', fleets.MODEL, prompt, 50.0
    )
    if ended != 'never':
        context.view.record_tokens(context.send, answer)
        context.clock.advance(int(ended) - sent_at)
        context.view.end(context.send)
        return
    context.answer = answer


@behave.when(
    'a report measured at second {measured:d} of {count:d} requests arrives '
    'at second {arrival:d}'
)
def step_report(
    context: typing.Any, measured: int, count: int, arrival: int
) -> None:
    context.clock.advance(_START + arrival - context.clock.now())
    if 'answer' in context:
        context.view.record_tokens(context.send, context.answer)
    own = 0.0
    if 'send' in context:
        # The engine counts this VM's send with its tokens at that time,
        # and other requests of 125 tokens each.
        now = context.clock.now()
        own = context.send.estimate_kv_at(_START + measured, now)
    others = count - (1 if own else 0)
    report = fleets.make_report(
        _START + measured, count, int(own) + 125 * others
    )
    context.view.record_report('engine-0', report)


@behave.when('a send is ended at second 20 and again at second 40')
def step_end_twice(context: typing.Any) -> None:
    context.clock.advance(10)
    send = context.view.begin(
        'engine-0', 'g', 'foremen', fleets.MODEL, 100, 50.0
    )
    for second in (20, 40):
        context.clock.advance(_START + second - context.clock.now())
        context.view.end(send)


@behave.when(
    'a generation of another VM is resumed and yields {count:d} tokens at once'
)
def step_adopt(context: typing.Any, count: int) -> None:
    context.clock.advance(1)
    context.adopted = context.view.adopt('engine-0', 'g')
    context.view.record_tokens(context.adopted, count)


@behave.when('the resumed generation ends')
def step_adopted_ends(context: typing.Any) -> None:
    context.view.end(context.adopted)


@behave.then('it does not update the mean time between tokens')
def step_no_token_seconds(context: typing.Any) -> None:
    assert context.view.token_seconds is None, context.view.token_seconds


@behave.then('the view counts {count:d} requests')
def step_requests(context: typing.Any, count: int) -> None:
    state = context.view.find('engine-0')
    load = state.estimate_load(context.clock.now())
    assert load.requests == count, load


@behave.then('the view counts {tokens:d} tokens of memory')
def step_memory(context: typing.Any, tokens: int) -> None:
    state = context.view.find('engine-0')
    load = state.estimate_load(context.clock.now())
    assert abs(load.kv_used - tokens) <= 1, load


@behave.given('a fleet of {count:d} engines')
def step_fleet(context: typing.Any, count: int) -> None:
    # There is so much memory that only the state of a target can exclude
    # it.
    deployment = fleets.make_deployment(count, kv_tokens=1_000_000)
    context.view = _make_view(context, deployment)
    context.placed = {}


@behave.given(
    'a fleet of {count:d} engines of which {remote:d} are remote, over a link '
    'of {rate:d} bytes a second'
)
def step_remote_fleet(
    context: typing.Any, count: int, remote: int, rate: int
) -> None:
    deployment = fleets.make_deployment(count, remote=remote, link=float(rate))
    context.view = _make_view(context, deployment)
    context.placed = {}


@behave.given('target {name} is {state}')
@behave.when('target {name} is {state}')
def step_state(context: typing.Any, name: str, state: str) -> None:
    view = context.view
    now = context.clock.now()
    match state:
        case 'declared as leaving':
            target = context.deployment.targets[name]
            leaving = attrs.evolve(target, leaving=True)
            context.deployment.targets[name] = leaving
            view.apply_deployment(context.deployment)
        case 'observed as leaving':
            view.set_leaving(name, True)
        case 'reported as reclaimed':
            report = fleets.make_report(now, reclaim_at=now + 60)
            view.record_report(name, report)
        case 'failed a moment ago':
            view.set_failed(name, now + 10)
        case 'excluded by the requests':
            context.excluded = frozenset([name])
        case 'without the model':
            view.record_report(name, fleets.make_report(now, models=['other']))
        case 'full':
            full = fleets.KV_TOKENS
            view.record_report(name, fleets.make_report(now, 90, full))
        case _:
            raise ValueError(state)


@behave.when('{count:d} requests are placed one after another')
def step_place_many(context: typing.Any, count: int) -> None:
    for _ in range(count):
        _begin_send(context, _place(context))


@behave.when('a request is placed')
def step_place(context: typing.Any) -> None:
    context.placement = _place(context)


@behave.when('{seconds:d} seconds pass')
def step_pass(context: typing.Any, seconds: int) -> None:
    context.clock.advance(seconds)


@behave.when('the configuration is applied again with {name} moved')
def step_apply(context: typing.Any, name: str) -> None:
    moved = attrs.evolve(
        context.deployment.targets[name], data_centre='lima-2'
    )
    context.deployment.targets[name] = moved
    context.view.apply_deployment(context.deployment)


@behave.then('each engine except {name} receives requests')
def step_excluded(context: typing.Any, name: str) -> None:
    engines = {n for n in context.deployment.targets if 'engine' in n}
    assert set(context.placed) == engines - {name}, context.placed


@behave.then('the placement is {kind}')
def step_kind(context: typing.Any, kind: str) -> None:
    assert type(context.placement).__name__ == kind, context.placement


@behave.then('it is placed on a remote engine')
def step_remote(context: typing.Any) -> None:
    assert context.placement.target in ('engine-0', 'engine-1')


@behave.when('{count:d} bytes were sent over the link')
def step_link(context: typing.Any, count: int) -> None:
    context.view.links.record_bytes('piura', 'lima', count)


@behave.given(
    '{vms:d} VMs that see {engines:d} engines, of which engine-0 has far '
    'more free memory'
)
def step_vms(context: typing.Any, vms: int, engines: int) -> None:
    deployment = fleets.make_deployment(engines)
    context.views = []
    for _ in range(vms):
        view = _make_view(context, deployment)
        view.set_known_vms(vms)
        for number in range(engines):
            used = 1_000 if number == 0 else 6_000
            report = fleets.make_report(_START, used // 250, used)
            view.record_report(f'engine-{number}', report)
        context.views.append(view)
    context.used = {
        f'engine-{number}': 1_000 if number == 0 else 6_000
        for number in range(engines)
    }


@behave.when(
    'each VM places {count:d} requests before the next report, seed {seed:d}'
)
def step_place_by_vms(context: typing.Any, count: int, seed: int) -> None:
    context.placed = {}
    backlog = [count] * len(context.views)
    generators = [
        random.Random(f'{seed}-{vm}') for vm in range(len(context.views))
    ]
    for _ in range(count):
        for vm, view in enumerate(context.views):
            context.view, context.rng = view, generators[vm]
            view.set_waiting(fleets.MODEL, backlog[vm])
            placement = _place(context)
            if isinstance(placement, targets.Placed):
                _begin_send(context, placement)
                backlog[vm] -= 1


@behave.then('no engine is expected to need more memory than it has')
def step_not_overfilled(context: typing.Any) -> None:
    # Each placed request will need 100 prompt and 100 answer tokens.
    for name, used in context.used.items():
        needed = used + 200 * context.placed.get(name, 0)
        assert needed <= fleets.KV_TOKENS, (name, needed)


@behave.then('at least half of the free memory is used')
def step_capacity_used(context: typing.Any) -> None:
    free = sum(fleets.KV_TOKENS - used for used in context.used.values())
    placed = 200 * sum(context.placed.values())
    wanted = min(free, 200 * 40 * len(context.views))
    assert placed >= wanted / 2, (placed, wanted)


@behave.when('{count:d} suspects are placed one after another')
def step_suspects(context: typing.Any, count: int) -> None:
    for _ in range(count):
        _begin_send(context, _place(context, suspect=True), suspect=True)


@behave.then('each engine receives one of them')
def step_one_each(context: typing.Any) -> None:
    assert sorted(context.placed.values()) == [1, 1, 1], context.placed


@behave.then('a healthy request has capacity but another suspect has not')
def step_further(context: typing.Any) -> None:
    assert isinstance(_place(context, suspect=True), targets.NoRoom)
    assert isinstance(_place(context), targets.Placed)


@behave.given('{name} reported that it cached the prefix of the requests')
def step_stored(context: typing.Any, name: str) -> None:
    event = targets.CacheEvent(0, targets.CacheEventKind.STORED, 'p1')
    context.view.hints.apply_events(name, [event], 1)


@behave.when(
    '{count:d} requests with that prefix are placed and end one by one'
)
def step_prefixed(context: typing.Any, count: int) -> None:
    for _ in range(count):
        placed = _place(context, prefixes=['p1'])
        context.view.end(_begin_send(context, placed))


@behave.then('{name} receives more than half of them')
def step_attracted(context: typing.Any, name: str) -> None:
    total = sum(context.placed.values())
    assert context.placed.get(name, 0) > total / 2, context.placed


@behave.then('no request is placed on {name}')
def step_not_attracted(context: typing.Any, name: str) -> None:
    assert name not in context.placed, context.placed


@behave.given('cache events of an engine: {events}')
def step_cache_events(context: typing.Any, events: str) -> None:
    hints = context.hints = targets.PrefixHints()
    reached = 0
    for item in events.split(', '):
        match item.split():
            case ['next', number]:
                hints.apply_events('e', [], int(number))
            case ['restart']:
                hints.apply_events('e', [], 0)
                reached = 0
            case [number, kind, prefix]:
                seq = int(number)
                event = targets.CacheEvent(
                    seq, targets.CacheEventKind(kind), prefix
                )
                reached = max(reached, seq + 1)
                hints.apply_events('e', [event], reached)


@behave.then('the fraction of the prompt assumed to be cached is {fraction:f}')
def step_fraction(context: typing.Any, fraction: float) -> None:
    assert context.hints.match('e', ['a', 'b']) == fraction


@behave.when('{count:d} calls to booking are placed and stay in progress')
def step_calls(context: typing.Any, count: int) -> None:
    for number in range(count):
        placed = targets.choose_service(
            context.view, 'booking', frozenset(), context.rng
        )
        name = f'{sum(context.placed.values())}'
        context.placed[placed.target] = (
            context.placed.get(placed.target, 0) + 1
        )
        context.view.begin(placed.target, name, 'clerks', 'booking', 0, 0.0)


@behave.then('the two servers differ by at most one call')
def step_balanced(context: typing.Any) -> None:
    counts = context.placed.values()
    assert max(counts) - min(counts) <= 1, context.placed


@behave.then('{name} still has {count:d} calls')
def step_still(context: typing.Any, name: str, count: int) -> None:
    assert context.placed[name] == count, context.placed


@behave.given('2 engines, of which {states}')
def step_engines_state(context: typing.Any, states: str) -> None:
    context.view = view = _make_view(context, fleets.make_deployment(2))
    for state in states.split('; '):
        name, *words = state.split()
        match words:
            case ['says', 'anything']:
                pass
            case ['backs', 'off', second]:
                until = _START + float(second) if float(second) else 0.0
                view.set_back_off(name, until)
            case ['fails', second]:
                view.set_failed(name, _START + float(second))
            case ['is-held', second]:
                view.set_held(name, _START + float(second))
            case ['leaves', _]:
                view.set_leaving(name, True)
            case _:
                raise ValueError(state)


@behave.when('a request may not use {names}')
def step_excluded_names(context: typing.Any, names: str) -> None:
    context.until = context.view.find_back_off(
        fleets.MODEL, frozenset(names.split(','))
    )


@behave.then('the pool is closed until {until}')
def step_closed(context: typing.Any, until: str) -> None:
    expected = None if until == 'never' else _START + float(until.split()[1])
    assert context.until == expected, context.until
