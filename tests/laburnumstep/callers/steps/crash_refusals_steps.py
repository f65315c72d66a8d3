"""Steps for requests that wait while a culprit is found."""

from __future__ import annotations

import typing

import attrs
import behave

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import targets
from laburnumstep.targets import relay
from support import clocks
from support import fleets
from support import permits
from support import relay_fakes

TARGET = 'engine-0'


class WaitingAdmission:
    """Admits a request after the crashes of the scenario are reported."""

    def __init__(self, view: targets.FleetView) -> None:
        self._view = view
        self.while_waiting: typing.Callable[[], None] = lambda: None

    async def admit(
        self, request: callers.AdmissionRequest
    ) -> callers.Admitted:
        self.while_waiting()
        send = self._view.begin(TARGET, 'g-1', 'w', fleets.MODEL, 100, 50.0)
        return callers.Admitted(targets.Placed(TARGET, 'only one', []), send)


async def never_refusing(target: str, deadline: float) -> bool:
    return False


async def refresh(names: list[str], oldest: float, deadline: float) -> None:
    pass


@behave.given('a request "{parts}" that waits for capacity')
def step_request(context: typing.Any, parts: str) -> None:
    clock = context.clock = core.ManualClock()
    metrics = core.Metrics(None, 'test')
    view = context.view = targets.FleetView(clock, 'lima-1')
    deployment = fleets.make_deployment(1)
    view.apply_deployment(deployment)
    ledger = context.ledger = targets.CrashLedger(clock)
    state = callers.RoutingState(
        clock,
        view,
        targets.LengthEstimator(),
        targets.RetryBudget(),
        ledger,
        callers.WorkspaceLimits(clock),
        targets.EngineClients(permits.make_limits(clock)),
        targets.CrashMonitor(ledger, never_refusing, clock, metrics),
        metrics,
    )
    context.admission = WaitingAdmission(view)
    context.placer = callers.RelayPlacer(
        state,
        context.admission,
        targets.RetryBudget,
        deployment.weights,
        refresh,
        permits.make_open_gate(clock),
    )
    request = relay_fakes.make_request(core.StreamKind(False), clock.now())
    prompt = relay.PromptShape(
        fleets.MODEL, 100, 2000, [*parts.split(), 'own']
    )
    context.request = attrs.evolve(request, prompt=prompt)


def report_crashes(context: typing.Any, parts: str) -> None:
    traits = targets.list_part_traits(fleets.MODEL, parts.split())
    for number in range(2):
        context.clock.advance(5)
        now = context.clock.now()
        context.ledger.record(
            targets.CrashReport(f'e-{number}-{now}', now, now - 1, (traits,))
        )


@behave.given('crashes with "{parts}" were reported an hour ago')
def step_earlier_crashes(context: typing.Any, parts: str) -> None:
    report_crashes(context, parts)
    context.clock.advance(3600)


@behave.when('crashes with "{parts}" are reported while it waits')
def step_crashes(context: typing.Any, parts: str) -> None:
    context.admission.while_waiting = lambda: report_crashes(context, parts)
    context.error = None
    try:
        clocks.run_bounded(
            context, context.placer.place, context.request, frozenset()
        )
    except core.CodedError as error:
        context.error = error


@behave.then(
    'the request is {decision:w}, and {sends:d} sends are in progress'
)
def step_decision(context: typing.Any, decision: str, sends: int) -> None:
    code = None
    if decision == 'refused':
        code = core.ErrorCode.REQUEST_CRASHES_TARGETS
    found = context.error.code if context.error is not None else None
    assert found is code, context.error
    assert len(context.view.find(TARGET).sends) == sends
