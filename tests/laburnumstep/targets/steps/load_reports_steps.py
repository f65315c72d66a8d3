"""Steps for the refresh of load reports and the sampling of engines."""

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
    """Clients of engines that answer immediately or not at all."""

    def __init__(self, clock: clocks.ObservedClock) -> None:
        self.clock = clock
        self.answers = dict.fromkeys(NAMES, 0)
        self.unresponsive: set[str] = set()

    def find(self, target: str) -> Engine:
        """Return the client of an engine."""
        return Engine(self, target)


class Engine:
    """Client of one engine; implements `targets.LoadClient`."""

    def __init__(self, engines: Engines, name: str) -> None:
        self._engines = engines
        self._name = name

    async def read_load(self, deadline: float) -> targets.LoadReport:
        """Return the load of an idle engine."""
        if self._name in self._engines.unresponsive:
            await self._engines.clock.sleep_until(deadline)
            raise targets.StreamBroken('no answer')
        self._engines.answers[self._name] += 1
        return fleets.make_report(self._engines.clock.now())

    async def read_cache_events(
        self, start: int, deadline: float
    ) -> typing.Any:
        """Fail, because the follower must not read cache events here."""
        raise AssertionError('cache events were read')


async def create_follower(context: typing.Any, age: float) -> None:
    """Create a follower and its engines in the event loop of the scenario."""
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


async def refresh_reports(
    context: typing.Any, names: list[str], requests: int, max_age: float
) -> float:
    """Refresh reports concurrently; return how long the requests took.

    Args:
        context: Context of the scenario.
        names: Engines whose reports are refreshed.
        requests: Number of concurrent requests.
        max_age: Greatest accepted age of a report, in seconds.
    """
    clock = context.clock
    async with anyio.create_task_group() as tasks:
        context.follower.apply_deployment(context.deployment, tasks)
        await clock.wait_for_sleeps(3)
        clock.advance(context.age)
        context.engines.unresponsive |= set(
            getattr(context, 'unresponsive', ())
        )
        began = clock.now()
        async with anyio.create_task_group() as waiting:
            sleeps = clock.sleeps
            for _ in range(requests):
                waiting.start_soon(
                    context.follower.refresh,
                    names,
                    began - max_age,
                    began + 0.1,
                )
            if context.engines.unresponsive:
                # Sleepers: the engine that does not answer, and the
                # deadline of the request.
                await clock.wait_for_sleeps(sleeps + 2)
                clock.advance(0.1)
        tasks.cancel_scope.cancel()
    return clock.now() - began


@behave.given('a follower of 3 engines whose reports are {age:d} seconds old')
def step_follower(context: typing.Any, age: int) -> None:
    clocks.run_bounded(context, create_follower, context, float(age))


@behave.given('engine-0 stops answering')
def step_unresponsive(context: typing.Any) -> None:
    context.unresponsive = ['engine-0']


@behave.when('the reports of engine-0 and engine-1 may be 1 second old')
def step_refresh(context: typing.Any) -> None:
    clocks.run_bounded(context, refresh_reports, context, NAMES[:2], 1, 1.0)


@behave.when('{count:d} concurrent requests need a new report of engine-0')
def step_together(context: typing.Any, count: int) -> None:
    clocks.run_bounded(
        context, refresh_reports, context, NAMES[:1], count, 1.0
    )


@behave.when('a request needs a new report of engine-0 within 0.1 seconds')
def step_short_deadline(context: typing.Any) -> None:
    context.took = clocks.run_bounded(
        context, refresh_reports, context, NAMES[:1], 1, 1.0
    )


@behave.then('engine-0 and engine-1 have answered twice, engine-2 once')
def step_two(context: typing.Any) -> None:
    assert list(context.engines.answers.values()) == [2, 2, 1]


@behave.then('all engines have answered once')
def step_once(context: typing.Any) -> None:
    assert list(context.engines.answers.values()) == [1, 1, 1]


@behave.then('engine-0 has answered twice, the others once')
def step_shared(context: typing.Any) -> None:
    assert list(context.engines.answers.values()) == [2, 1, 1]


@behave.then('the request continues after 0.1 seconds')
def step_continued(context: typing.Any) -> None:
    assert abs(context.took - 0.1) < 0.001, context.took
    assert context.engines.answers['engine-0'] == 1


@behave.given(
    'a view of {local:d} local and {remote:d} remote engines, {excluded:d} of '
    'them excluded'
)
def step_view(
    context: typing.Any, local: int, remote: int, excluded: int
) -> None:
    context.view = targets.FleetView(clocks.ObservedClock(), 'lima-1')
    context.view.apply_deployment(
        fleets.make_deployment(local + remote, remote=remote)
    )
    names = [f'engine-{number}' for number in range(local + remote)]
    context.remote = set(names[:remote])
    context.excluded = frozenset(names[len(names) - excluded :])
    context.names = set(names) - context.excluded


@behave.when('engines are sampled 200 times, 2 local and 1 remote')
def step_sample(context: typing.Any) -> None:
    rng = random.Random(1)
    context.samples = [
        targets.sample_engines(
            context.view, fleets.MODEL, context.excluded, 2, 1, rng
        )
        for _ in range(200)
    ]


@behave.then(
    'each sample has {local:d} local and {remote:d} remote ones, none excluded'
)
def step_sampled(context: typing.Any, local: int, remote: int) -> None:
    for sample in context.samples:
        assert len(set(sample)) == len(sample) == local + remote, sample
        assert len(context.remote.intersection(sample)) == remote, sample
        assert not context.excluded.intersection(sample), sample


@behave.then('every engine that is not excluded is sampled')
def step_covered(context: typing.Any) -> None:
    sampled = {name for sample in context.samples for name in sample}
    assert sampled == context.names, context.names - sampled


@behave.given('a follower of an engine that {state}')
def step_follower_of(context: typing.Any, state: str) -> None:
    async def create() -> None:
        await create_follower(context, 0.0)
        context.follower = targets.LoadFollower(
            context.engines,
            context.view,
            context.clock,
            lambda target, reclaim_at: None,
            min_poll_seconds=4.0,
            cache_every=0,
            is_urgent=lambda name: state == 'may leave unannounced',
        )

    clocks.run_bounded(context, create)


@behave.when('{seconds:d} seconds pass for the follower')
def step_time_passes(context: typing.Any, seconds: int) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            context.follower.apply_deployment(context.deployment, tasks)
            await context.clock.wait_for_sleeps(3)
            for _ in range(seconds * 20):
                context.clock.advance(0.05)
                for _ in range(20):
                    await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()

    clocks.run_bounded(context, run)


@behave.then('the engine has answered {least:d} to {most:d} times')
def step_answered(context: typing.Any, least: int, most: int) -> None:
    answers = context.engines.answers['engine-0']
    assert least <= answers <= most, answers
