"""Steps for the generations feature."""

from __future__ import annotations

import re
import typing

import anyio
import attrs
import behave

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import targets
from laburnumstep import transport
from laburnumstep_standins import engine
from support import hooks
from support import link
from support import permits

_MODEL = 'planner'
_TOKENS = 60
_TOKENS_BEFORE_FAULT = 10
_EVENT = re.compile(rb'id: ([^:]+):(\d+)\ndata: (.*)\n\n')


@attrs.define
class RecordingSink:
    """Records what a caller is sent and injects a fault at a token count."""

    fault_after: int
    inject_fault: typing.Callable[[], typing.Awaitable[None]]
    events: list[bytes] = attrs.field(factory=list)
    placed: list[targets.PlacedGeneration] = attrs.field(factory=list)
    finished: list[tuple[str, int]] = attrs.field(factory=list)
    injected: bool = False

    async def begin(self, placed: targets.PlacedGeneration) -> None:
        self.placed.append(placed)

    async def send(self, events: list[bytes]) -> None:
        self.events.extend(events)
        if len(self.events) >= self.fault_after and not self.injected:
            self.injected = True
            await self.inject_fault()

    async def finish(self, generation: str, tokens: int) -> None:
        self.finished.append((generation, tokens))


@behave.given('two engines with answers of {tokens:d} tokens')
def step_engines(context: typing.Any, tokens: int) -> None:
    context.clock = core.SystemClock()
    context.tokens = tokens
    context.engines = []
    context.links = []
    for _ in range(2):
        config = engine.EngineConfig(
            model=_MODEL,
            step_seconds=0.002,
            length_profiles=(engine.LengthProfile('', 500.0, 0.1),),
        )
        stand_in = engine.EngineStandIn(context.clock, config)
        server = hooks.enter_context(
            context, transport.serve_app(stand_in.app)
        )
        path = context.portal.call(link.Link, server.address)
        hooks.enter_context(context, path.serve())
        context.engines.append(stand_in)
        context.links.append(path)
    context.fault = 'none'
    context.crash_when_held = False


@behave.given('the first engine has the fault "{fault}"')
def step_fault(context: typing.Any, fault: str) -> None:
    context.fault = fault
    first = context.engines[0]
    match fault:
        case 'repeat_events':
            context.portal.call(lambda: first.set_faults(repeat_events=5))
        case 'duplicate_last_token':
            context.portal.call(
                lambda: first.set_faults(duplicate_last_token=True)
            )
        case 'out_of_memory_at':
            context.portal.call(lambda: first.set_faults(out_of_memory_at=30))
        case 'refuses':
            context.portal.call(context.links[0].refuse)
        case 'crash before tokens':
            context.portal.call(lambda: first.set_faults(stall=True))


@behave.when('a caller requests a generation with "{delivery}" delivery')
def step_generate(context: typing.Any, delivery: str) -> None:
    request = core.Generation(
        key=core.RequestKey.new(context.clock.now()),
        workspace='callao',
        model=_MODEL,
        prompt='Plan the shifts of hatch 3.',
        max_tokens=context.tokens,
        priority=0,
        deadline=context.clock.now() + 60,
        delivery=core.Delivery(delivery),
    )
    context.error = None
    context.portal.call(_run, context, request)


async def _run(context: typing.Any, request: core.Generation) -> None:
    runner, placer = _build_runner(context)

    async def inject_fault() -> None:
        await _inject_fault(context, placer)

    context.sink = RecordingSink(_TOKENS_BEFORE_FAULT, inject_fault)
    async with anyio.create_task_group() as tasks:
        if context.fault == 'crash before tokens':
            tasks.start_soon(_crash_when_started, context)
        whole = request.delivery is core.Delivery.WHOLE
        if context.fault == 'crash after tokens' and whole:
            tasks.start_soon(_crash_when_forwarded, context)
        try:
            await runner.run(request, context.sink)
        except core.CodedError as error:
            context.error = error


async def _inject_fault(
    context: typing.Any, placer: callers.EnginePlacer
) -> None:
    match context.fault:
        case 'crash after tokens':
            context.engines[0].set_faults(crash=True)
            await context.links[0].refuse()
            context.links[0].cut()
        case 'link cut once':
            context.links[0].cut()
        case 'link stalls':
            context.links[0].stall()
            context.links[0].cut()
            context.links[0].release()
        case 'cancelled':
            context.engines[0].set_faults(tokens_after_cancel=3)
            placed = context.sink.placed[0]
            client = context.clients.get(placed.target)
            deadline = context.clock.now() + 5
            await client.cancel(placed.generation, deadline)


async def _crash_when_started(context: typing.Any) -> None:
    await context.links[0].wait_forwarded(1)
    context.engines[0].set_faults(crash=True)
    await context.links[0].refuse()
    context.links[0].cut()


async def _crash_when_forwarded(context: typing.Any) -> None:
    await context.links[0].wait_forwarded(600)
    context.engines[0].set_faults(crash=True)
    await context.links[0].refuse()
    context.links[0].cut()


def _build_runner(
    context: typing.Any,
) -> tuple[targets.GenerationRunner, callers.EnginePlacer]:
    declared: dict[str, core.Target] = {
        name: core.EngineTarget(
            name, data_centre, path.address, [_MODEL], 100_000, True
        )
        for name, data_centre, path in zip(
            ('first', 'second'),
            ('lima-1', 'piura-1'),
            context.links,
            strict=True,
        )
    }
    deployment = core.Deployment(
        'cuadrilla',
        places={
            'lima': core.Place('lima', ['lima-1']),
            'piura': core.Place('piura', ['piura-1']),
        },
        targets=declared,
    )
    view = targets.FleetView(context.clock, 'lima-1')
    view.apply_deployment(deployment)
    context.clients = targets.EngineClients(permits.make_limits(context.clock))
    context.clients.apply_deployment(deployment)
    lengths = targets.LengthEstimator()
    ledger = targets.CrashLedger(context.clock)
    state = callers.RoutingState(
        context.clock,
        view,
        lengths,
        targets.RetryBudget(),
        ledger,
        callers.WorkspaceLimits(context.clock),
        context.clients,
        targets.CrashMonitor(
            ledger,
            targets.make_refusal_check(view, context.clock),
            context.clock,
            core.Metrics(None, 'test'),
        ),
        core.Metrics(None, 'test'),
    )
    placer = callers.EnginePlacer(
        state,
        callers.Admission(context.clock, view, lengths),
        lambda decision: None,
        permits.make_open_gate(context.clock),
    )
    abandoned = targets.AbandonedGenerations(context.clients, context.clock)
    runner = targets.GenerationRunner(placer, context.clock, abandoned)
    return runner, placer


@behave.then('the answer is "{answer}"')
def step_answer(context: typing.Any, answer: str) -> None:
    if answer == 'whole':
        assert context.error is None, context.error
        generation = context.sink.placed[0].generation
        assert context.sink.finished == [(generation, context.tokens)]
        assert len(context.sink.events) == context.tokens
        return
    assert context.error is not None
    assert context.error.code.value == answer, context.error
    assert context.error.outcome is core.Outcome.RAN
    assert context.sink.finished == []


@behave.then('every token was received once and in order from one generation')
def step_once(context: typing.Any) -> None:
    parsed = [_EVENT.fullmatch(event) for event in context.sink.events]
    generations = {match[1] for match in parsed}
    positions = [int(match[2]) for match in parsed]
    assert len(generations) <= 1, generations
    assert positions == list(range(len(positions))), positions
    assert len(context.sink.placed) == 1, context.sink.placed
    assert generations <= {context.sink.placed[0].generation.encode()}


@behave.then('the answer came from the "{name}" engine')
def step_engine(context: typing.Any, name: str) -> None:
    assert context.sink.placed[0].target == name, context.sink.placed
