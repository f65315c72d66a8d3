"""Steps for load reports that are read when they are needed."""

from __future__ import annotations

import random
import typing

import anyio
import anyio.lowlevel
import behave

from laburnumstep import targets
from support import clocks
from support import fleets

NAMES = ['engine-0', 'engine-1', 'engine-2']


class Engines:
    """Clients of engines that answer at once or not at all."""

    def __init__(self, clock: clocks.ObservedClock) -> None:
        self.clock = clock
        self.answers = dict.fromkeys(NAMES, 0)
        self.silent: set[str] = set()

    def find(self, target: str) -> Engine:
        """Return the client of an engine."""
        return Engine(self, target)


class Engine:
    """Client of one engine, as `targets.LoadClient`."""

    def __init__(self, engines: Engines, name: str) -> None:
        self._engines = engines
        self._name = name

    async def read_load(self, deadline: float) -> targets.LoadReport:
        """Return an empty engine's load."""
        if self._name in self._engines.silent:
            await self._engines.clock.sleep_until(deadline)
            raise targets.StreamBroken('no answer')
        self._engines.answers[self._name] += 1
        return fleets.make_report(self._engines.clock.now())

    async def read_cache_events(
        self, start: int, deadline: float
    ) -> typing.Any:
        """Reports are read without caches here."""
        raise AssertionError('caches are not read')


async def follow(context: typing.Any, age: float) -> None:
    """Start a follower in the scenario's portal and read all reports."""
    clock = context.clock = clocks.ObservedClock()
    context.engines = Engines(clock)
    context.view = targets.FleetView(clock, 'lima-1')
    deployment = fleets.make_deployment(3)
    context.view.apply_deployment(deployment)
    context.follower = targets.LoadFollower(
        context.engines,
        context.view,
        clock,
        lambda target, reclaim_at: None,
        min_poll_seconds=60.0,
        cache_every=0,
    )
    context.deployment = deployment
    context.age = age


async def play(
    context: typing.Any, names: list[str], requests: int, oldest: float
) -> float:
    """Run the follower, let requests refresh; return the time they took."""
    clock = context.clock
    async with anyio.create_task_group() as tasks:
        context.follower.apply_deployment(context.deployment, tasks)
        await clock.wait_for_sleeps(3)
        clock.advance(context.age)
        context.engines.silent |= set(getattr(context, 'silent', ()))
        began = clock.now()
        async with anyio.create_task_group() as waiting:
            sleeps = clock.sleeps
            for _ in range(requests):
                waiting.start_soon(
                    context.follower.refresh,
                    names,
                    began - oldest,
                    began + 0.1,
                )
            if context.engines.silent:
                # The silent engine's reply and the request's own deadline.
                await clock.wait_for_sleeps(sleeps + 2)
                clock.advance(0.1)
        tasks.cancel_scope.cancel()
    return clock.now() - began


@behave.given('a follower of 3 engines whose reports are {age:d} seconds old')
def step_follower(context: typing.Any, age: int) -> None:
    clocks.wait(context, follow, context, float(age))


@behave.given('engine-0 does not answer any more')
def step_silent(context: typing.Any) -> None:
    context.silent = ['engine-0']


@behave.when('the reports of engine-0 and engine-1 may be 1 second old')
def step_refresh(context: typing.Any) -> None:
    clocks.wait(context, play, context, NAMES[:2], 1, 1.0)


@behave.when('{count:d} requests at once want a new report of engine-0')
def step_together(context: typing.Any, count: int) -> None:
    clocks.wait(context, play, context, NAMES[:1], count, 1.0)


@behave.when('a request wants a new report of engine-0 within 0.1 seconds')
def step_bounded(context: typing.Any) -> None:
    context.took = clocks.wait(context, play, context, NAMES[:1], 1, 1.0)


@behave.then('engine-0 and engine-1 have answered twice, engine-2 once')
def step_two(context: typing.Any) -> None:
    assert list(context.engines.answers.values()) == [2, 2, 1]


@behave.then('all engines have answered once')
def step_once(context: typing.Any) -> None:
    assert list(context.engines.answers.values()) == [1, 1, 1]


@behave.then('engine-0 has answered twice, the others once')
def step_shared(context: typing.Any) -> None:
    assert list(context.engines.answers.values()) == [2, 1, 1]


@behave.then('the request goes on after 0.1 seconds')
def step_went_on(context: typing.Any) -> None:
    assert abs(context.took - 0.1) < 0.001, context.took
    assert context.engines.answers['engine-0'] == 1


@behave.given(
    'a view of {near:d} engines near and {far:d} far, {excluded:d} of them'
    ' excluded'
)
def step_view(context: typing.Any, near: int, far: int, excluded: int) -> None:
    context.view = targets.FleetView(clocks.ObservedClock(), 'lima-1')
    context.view.apply_deployment(fleets.make_deployment(near + far, far=far))
    names = [f'engine-{number}' for number in range(near + far)]
    context.far = set(names[:far])
    context.excluded = frozenset(names[len(names) - excluded :])
    context.names = set(names) - context.excluded


@behave.when('engines are drawn 200 times, 2 near and 1 far')
def step_draw(context: typing.Any) -> None:
    rng = random.Random(1)
    context.draws = [
        targets.sample_engines(
            context.view, fleets.MODEL, context.excluded, 2, 1, rng
        )
        for _ in range(200)
    ]


@behave.then('each draw has {near:d} near and {far:d} far, none excluded')
def step_drawn(context: typing.Any, near: int, far: int) -> None:
    for draw in context.draws:
        assert len(set(draw)) == len(draw) == near + far, draw
        assert len(context.far.intersection(draw)) == far, draw
        assert not context.excluded.intersection(draw), draw


@behave.then('every engine that is not excluded is drawn')
def step_covered(context: typing.Any) -> None:
    drawn = {name for draw in context.draws for name in draw}
    assert drawn == context.names, context.names - drawn
