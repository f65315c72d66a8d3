"""Steps for where requests may run."""

from __future__ import annotations

import random
import typing

import anyio.lowlevel
import attrs
import behave

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import targets
from laburnumstep.targets import places
from laburnumstep.targets import relay
from support import clocks
from support import fleets
from support import permits
from support import relay_fakes

_MADE_TOKENS = 10
"""Length of the answer of a run that is copied, in tokens."""
CUZCO = core.Place('cuzco', ['cuzco-1'])


def parse_regions(text: str) -> core.Regions:
    match text:
        case 'any':
            return core.AnyRegion()
        case 'none':
            return core.OnlyRegions(frozenset())
        case _:
            return core.OnlyRegions(frozenset(text.split()))


@behave.when('a route allows "{route}" and a workspace "{workspace}"')
def step_intersect(context: typing.Any, route: str, workspace: str) -> None:
    context.regions = places.intersect(
        parse_regions(route), parse_regions(workspace)
    )


@behave.then('region "{region}" is {verdict}')
@behave.then('region "" is {verdict}')
def step_allowed(
    context: typing.Any, verdict: str, region: str | None = None
) -> None:
    allowed = places.allows(context.regions, region)
    assert allowed == (verdict == 'allowed')


@behave.given(
    '{local:d} engines in lima, {remote:d} in piura and a VM in lima'
)
def step_engines(context: typing.Any, local: int, remote: int) -> None:
    clock = context.clock = core.ManualClock(clocks.START)
    view = context.view = targets.FleetView(clock, 'lima-1')
    context.deployment = fleets.make_deployment(local + remote, remote=remote)
    view.apply_deployment(context.deployment)
    lengths = fleets.make_length_estimator(100, 'port')
    metrics = core.Metrics(None, 'test')
    ledger = targets.CrashLedger(clock)
    context.admission = callers.Admission(
        clock, view, lengths, random.Random(3)
    )
    state = callers.RoutingState(
        clock,
        view,
        lengths,
        targets.RetryBudget(),
        ledger,
        callers.WorkspaceLimits(clock),
        targets.EngineClients(permits.make_limits(clock)),
        targets.CrashMonitor(ledger, never_refusing, clock, metrics),
        metrics,
    )
    context.placer = callers.RelayPlacer(
        state,
        context.admission,
        targets.RetryBudget,
        context.deployment.weights,
        refresh,
        permits.make_open_gate(clock),
    )


async def never_refusing(target: str, deadline: float) -> bool:
    return False


async def refresh(names: list[str], oldest: float, deadline: float) -> None:
    pass


def make_request(context: typing.Any, regions: str) -> relay.RelayRequest:
    request = relay_fakes.make_request(
        core.StreamKind(False), context.clock.now()
    )
    return attrs.evolve(
        request,
        prompt=relay.PromptShape(fleets.MODEL, 100, 2000, []),
        regions=parse_regions(regions),
    )


def find_engine(context: typing.Any, region: str) -> core.EngineTarget:
    """Return the first engine of a region."""
    return next(
        target
        for target in context.deployment.targets.values()
        if isinstance(target, core.EngineTarget)
        and context.deployment.find_region(target.data_centre) == region
    )


def find_region(context: typing.Any, target: core.Target | None) -> str:
    if target is None:
        return ''
    return context.deployment.find_region(target.data_centre)


@behave.when('{count:d} requests that allow "{regions}" are placed')
def step_place(context: typing.Any, count: int, regions: str) -> None:
    async def place() -> None:
        for _ in range(count):
            placement = await context.placer.place(
                make_request(context, regions), frozenset()
            )
            context.used[placement.target.name] = placement.target
            placement.release(False)

    context.used = {}
    clocks.run_bounded(context, place)


@behave.then('they use {count:d} engines, all in "{region}"')
def step_used(context: typing.Any, count: int, region: str) -> None:
    found = {find_region(context, item) for item in context.used.values()}
    assert found == {region}, context.used
    assert len(context.used) == count, context.used


@behave.when('requests are restricted to "{region}"')
def step_limit(context: typing.Any, region: str) -> None:
    context.limited = targets.limit_engines(
        context.deployment, 'vm-1', 'lima-1', regions=frozenset([region])
    )


@behave.then('the VM uses {local:d} engines in lima and {remote:d} in piura')
def step_limited(context: typing.Any, local: int, remote: int) -> None:
    found = [
        find_region(context, target)
        for target in context.limited.targets.values()
        if isinstance(target, core.EngineTarget)
    ]
    assert found.count('lima') == local, found
    assert found.count('piura') == remote, found


@behave.when(
    'the run of a request that allows "{regions}" is on an engine in {source}'
)
def step_run(context: typing.Any, regions: str, source: str) -> None:
    context.request = make_request(context, regions)
    context.source = find_engine(context, source)


def choose_backup(context: typing.Any) -> core.EngineTarget | None:
    """Return the backup of a run whose engine is likely to be lost."""
    now = context.clock.now()
    for name in context.deployment.targets:
        context.view.hazards.record_loss(name, now)
    return context.placer.choose_backup(
        context.request, context.source, _MADE_TOKENS
    )


@behave.then('its backup is in "{region}"')
@behave.then('its backup is in ""')
def step_backup(context: typing.Any, region: str = '') -> None:
    found = choose_backup(context)
    assert find_region(context, found) == region, found


@behave.then('its copy goes to "{region}"')
@behave.then('its copy goes to ""')
def step_copy(context: typing.Any, region: str = '') -> None:
    found = context.placer.choose_destination(
        context.request, context.source, frozenset(), _MADE_TOKENS
    )
    assert find_region(context, found) == region, found


@behave.then('it can be placed on an engine in {region}: {answer}')
def step_place_on(context: typing.Any, region: str, answer: str) -> None:
    name = find_engine(context, region).name
    placement = context.placer.place_on(context.request, name, 0)
    assert (placement is not None) == (answer == 'yes'), placement


@behave.when(
    'a request that allows "{regions}" is sent to {target} with a backup in'
    ' {backup}'
)
def step_send(
    context: typing.Any, regions: str, target: str, backup: str
) -> None:
    context.request = make_request(context, regions)
    destination = find_engine(context, target)
    context.port = relay_fakes.FakeTargetPort(
        {destination.name: [relay.NotRun('full')]}
    )
    context.checked = relay.CheckedPort(context.port, context.view.places)
    attempt = relay.Attempt(
        context.request,
        destination,
        relay.NewRun(),
        context.request.deadline,
        find_engine(context, backup),
    )
    context.reply = clocks.run_bounded(context, context.checked.send, attempt)


@behave.then('the send {result}')
def step_sent(context: typing.Any, result: str) -> None:
    if result == 'does not happen':
        assert not context.port.attempts, context.port.attempts
        assert isinstance(context.reply, relay.Barred), context.reply
        return
    (attempt,) = context.port.attempts
    region = find_region(context, attempt.backup)
    expected = '' if result == 'has no backup' else result.split()[-1]
    assert region == expected, attempt.backup


@behave.then('a copy of its run to {target} is {result}')
def step_copied(context: typing.Any, target: str, result: str) -> None:
    destination = find_engine(context, target)
    copied = clocks.run_bounded(
        context,
        context.checked.copy_run,
        context.request,
        destination,
        destination,
        context.request.deadline,
    )
    assert isinstance(copied, relay.Copied) == (result == 'made'), copied
    assert len(context.port.copies) == (result == 'made')


@behave.given('all engines are full')
def step_full(context: typing.Any) -> None:
    for name in list_engines(context):
        report = fleets.make_report(context.clock.now(), 8, fleets.KV_TOKENS)
        context.view.record_report(name, report)


def list_engines(context: typing.Any) -> list[str]:
    return [
        name
        for name, target in context.deployment.targets.items()
        if isinstance(target, core.EngineTarget)
    ]


@behave.when(
    '{count:d} requests that allow "{first}" wait, and then one that allows'
    ' "{last}"'
)
def step_wait(context: typing.Any, count: int, first: str, last: str) -> None:
    start_waiting(context, [*[first] * count, last])


@behave.when('{count:d} requests that allow "{regions}" wait')
def step_wait_only(context: typing.Any, count: int, regions: str) -> None:
    start_waiting(context, [regions] * count)


def start_waiting(context: typing.Any, requests: list[str]) -> None:
    """Let requests with these regions wait, in this order."""
    context.placed = []
    context.refused = []

    async def place(regions: str) -> None:
        request = make_request(context, regions)
        try:
            placement = await context.placer.place(request, frozenset())
        except core.CodedError as error:
            context.refused.append(error)
        else:
            context.placed.append((regions, placement.target))

    async def wait(waiting: int) -> None:
        while context.admission.waiting < waiting:
            await anyio.lowlevel.checkpoint()

    for number, regions in enumerate(requests):
        task = context.portal.start_task_soon(place, regions)
        context.stack.callback(task.cancel)
        clocks.run_bounded(context, wait, number + 1)


@behave.when('the engine in lima has room')
def step_room(context: typing.Any) -> None:
    name = find_engine(context, 'lima').name
    context.clock.advance(0.1)
    report = fleets.make_report(context.clock.now(), 0, 0)
    context.portal.call(context.view.record_report, name, report)


@behave.then('the last request is placed in lima and {count:d} go on waiting')
def step_placed(context: typing.Any, count: int) -> None:
    async def wait() -> None:
        while not context.placed:
            await anyio.lowlevel.checkpoint()

    clocks.run_bounded(context, wait)
    ((regions, target),) = context.placed
    assert regions == 'any', context.placed
    assert find_region(context, target) == 'lima', target
    assert context.admission.waiting == count, context.admission.waiting


@behave.given('{count:d} more engines are in {data_centre}')
def step_more_engines(
    context: typing.Any, count: int, data_centre: str
) -> None:
    source = find_engine(context, 'lima')
    more = {
        f'other-{number}': attrs.evolve(
            source, name=f'other-{number}', data_centre=data_centre
        )
        for number in range(count)
    }
    context.deployment = attrs.evolve(
        context.deployment,
        places={**context.deployment.places, 'cuzco': CUZCO},
        targets={**context.deployment.targets, **more},
    )
    context.view.apply_deployment(context.deployment)


@behave.given('{data_centres} are being evacuated')
@behave.when('the evacuation of {data_centres} begins')
def step_evacuate(context: typing.Any, data_centres: str) -> None:
    context.portal.call(evacuate, context, frozenset(data_centres.split(', ')))


def evacuate(context: typing.Any, data_centres: frozenset[str]) -> None:
    context.view.places.evacuations.replace(data_centres)
    context.view.apply_deployment(context.deployment)


def find_data_centre(target: core.Target | None) -> str:
    return target.data_centre if target is not None else ''


@behave.then('its backup is in data centre "{data_centre}"')
@behave.then('its backup is in data centre ""')
def step_backup_centre(context: typing.Any, data_centre: str = '') -> None:
    found = choose_backup(context)
    assert find_data_centre(found) == data_centre, found


@behave.then('its copy goes to data centre "{data_centre}"')
@behave.then('its copy goes to data centre ""')
def step_copy_centre(context: typing.Any, data_centre: str = '') -> None:
    found = context.placer.choose_destination(
        context.request, context.source, frozenset(), _MADE_TOKENS
    )
    assert find_data_centre(found) == data_centre, found


@attrs.define
class EvacuatingGate:
    """Lets a request pass after an evacuation has begun."""

    evacuate: typing.Callable[[], None]

    async def acquire(self, target: str) -> None:
        self.evacuate()


@behave.when(
    'a request is sent to lima, whose evacuation begins while it waits for a'
    ' permit'
)
def step_late_evacuation(context: typing.Any) -> None:
    context.port = relay_fakes.FakeTargetPort({})
    checked = relay.CheckedPort(context.port, context.view.places)
    gate: typing.Any = EvacuatingGate(
        lambda: evacuate(context, frozenset(['lima-1']))
    )
    request = make_request(context, 'any')
    attempt = relay.Attempt(
        request, find_engine(context, 'lima'), relay.NewRun(), request.deadline
    )
    context.reply = clocks.run_bounded(
        context, relay.LimitedPort(checked, gate).send, attempt
    )


@behave.then('{waiting:d} go on waiting and {refused:d} are refused')
def step_waiting(context: typing.Any, waiting: int, refused: int) -> None:
    async def wait() -> None:
        while len(context.refused) < refused:
            await anyio.lowlevel.checkpoint()

    clocks.run_bounded(context, wait)
    assert context.admission.waiting == waiting, context.admission.waiting
    assert not context.placed, context.placed
    assert len(context.refused) == refused, context.refused
    for error in context.refused:
        assert error.outcome is core.Outcome.NOT_RUN, error
        assert error.resend_at > context.clock.now(), error


@behave.when('the engines in lima-1 have room')
def step_room_again(context: typing.Any) -> None:
    context.clock.advance(0.1)
    for name in list_engines(context):
        if context.deployment.targets[name].data_centre == 'lima-1':
            report = fleets.make_report(context.clock.now(), 0, 0)
            context.portal.call(context.view.record_report, name, report)


@behave.when('the VM chooses its engines while {data_centre} is evacuated')
def step_limit_evacuated(context: typing.Any, data_centre: str) -> None:
    context.limited = targets.limit_engines(
        context.deployment,
        'vm-1',
        'lima-1',
        evacuated=frozenset([data_centre]),
    )


@behave.given('a stream whose copies are all refused')
def step_refused_copies(context: typing.Any) -> None:
    context.clock = core.ManualClock(clocks.START)
    context.placer = relay_fakes.FakePlacer(['a', 'b'], context.clock)
    context.port = relay_fakes.FakeTargetPort(
        {'a': [], 'b': [relay.NotRun('full')] * 100}
    )
    context.sink = relay_fakes.RecordingSink()
    context.running = relay.RunningStreams()
    context.request = relay_fakes.make_request(
        core.StreamKind(False), context.clock.now()
    )


@behave.when('its engine goes on for {count:d} events')
def step_many_events(context: typing.Any, count: int) -> None:
    def make_step(number: int) -> typing.Any:
        async def step() -> list[relay.StreamEvent]:
            if number == 1:
                context.running.evacuate('a')
            context.clock.advance(0.1)
            # Gives the tasks that copy the run time to end.
            for _ in range(20):
                await anyio.lowlevel.checkpoint()
            return relay_fakes.make_events(number, number)

        return step

    source = relay_fakes.FakeEventSource(
        [make_step(number) for number in range(1, count + 1)]
    )
    context.port.replies['a'].append(relay.Streaming(200, [], source))
    relayed = relay.StreamRelay(
        context.placer, context.port, context.running, context.clock
    )
    clocks.run_bounded(context, relayed.run, context.request, context.sink)


@behave.then('at most {limit:d} copies were made and the stream is complete')
def step_copies(context: typing.Any, limit: int) -> None:
    assert 1 < len(context.port.copies) <= limit, context.port.copies
    assert context.sink.finished
