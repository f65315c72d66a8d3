"""Steps for the choice of engines to which runs are copied."""

from __future__ import annotations

import random
import types
import typing

import attrs
import behave

from laburnumstep.callers import _copy_targets
from laburnumstep import core
from laburnumstep import targets
from laburnumstep.targets import relay
from support import clocks
from support import fleets
from support import relay_fakes

_GAP_SECONDS = 0.18


@behave.given('a leaving engine, {fast:d} fast engines and 3 slow ones')
def step_engines(context: typing.Any, fast: int) -> None:
    clock = context.clock = core.ManualClock(clocks.START)
    view = context.view = targets.FleetView(clock, 'lima-1')
    context.deployment = fleets.make_deployment(fast + 4)
    view.apply_deployment(context.deployment)
    engines = [
        target
        for target in context.deployment.targets.values()
        if isinstance(target, core.EngineTarget)
    ]
    context.source, *others = engines
    context.fast = [engine.name for engine in others[:fast]]
    context.slow = [engine.name for engine in others[fast:]]
    for names, pause in ((context.fast, 0.1), (context.slow, 0.25)):
        for name in names:
            sample = targets.PaceSample(200, pause / 10, pause)
            view.paces.observe(name, sample, clock.now(), _GAP_SECONDS)


@behave.given('the fast engines {room}')
def step_room(context: typing.Any, room: str) -> None:
    used = fleets.KV_TOKENS if room == 'are full' else 0
    for name in context.fast:
        report = fleets.make_report(context.clock.now(), 8, used)
        context.view.record_report(name, report)


@behave.when('{count:d} destinations are drawn for a stream {objective}')
def step_draw(context: typing.Any, count: int, objective: str) -> None:
    state: typing.Any = types.SimpleNamespace(
        clock=context.clock,
        view=context.view,
        lengths=fleets.make_length_estimator(100, 'port'),
    )
    copies = _copy_targets.CopyTargets(state, 0.5, random.Random(1))
    request = relay_fakes.make_request(
        core.StreamKind(False), context.clock.now()
    )
    gap = None if objective == 'without objective' else _GAP_SECONDS
    request = attrs.evolve(
        request,
        prompt=relay.PromptShape(fleets.MODEL, 100, 2000, []),
        route=attrs.evolve(request.route, gap_seconds=gap),
    )
    context.drawn = [
        copies.choose_destination(
            request, context.source, 10, context.view.list_usable_engines()
        )
        for _ in range(count)
    ]


@behave.then('{count} of them are slow engines')
def step_slow(context: typing.Any, count: str) -> None:
    names = [engine.name for engine in context.drawn]
    slow = sum(name in context.slow for name in names)
    match count:
        case 'none':
            assert slow == 0, names
        case 'all':
            assert slow == len(names), names
        case _:
            assert 0 < slow < len(names), names
