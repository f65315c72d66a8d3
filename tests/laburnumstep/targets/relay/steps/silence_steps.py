"""Steps for runs that send no event."""

from __future__ import annotations

import typing

import anyio
import attrs
import behave

from laburnumstep import core
from laburnumstep.targets import relay
from laburnumstep.targets.relay import _run_lists
from laburnumstep.targets.relay import _silence
from support import clocks
from support import relay_fakes

_ANSWERS: dict[str, _silence.EngineAnswer] = {
    'not asked': _silence.NotAsked(),
    'listed': _silence.Listed(),
    'not listed': _silence.NotListed(),
    'no runs known': _silence.NoRunsKnown(),
    'unanswered once': _silence.Unanswered(1),
    'unanswered twice': _silence.Unanswered(2),
    'refused': _silence.Unanswered(1, refused=True),
}
_OTHER_RUN = relay.EngineRun('other', 1000)
_LISTS: dict[str, list[relay.RunListResult]] = {
    'lists the run': [relay.RunList([relay.EngineRun('key-1', 1000)])],
    'lists no runs': [relay.RunList([])],
    'lists other runs': [relay.RunList([_OTHER_RUN])],
    'answers once late': [relay.NoRunList('timeout'), relay.RunList([])],
    'does not answer': [relay.NoRunList('timeout')],
    'refuses connections': [relay.NoRunList('refused', refused=True)],
}
_MOVES: dict[str, relay.MoveResult] = {
    'succeeds': relay.Moved('a/moved'),
    'finds no run': relay.NoSuchRun(),
    'fails after the run was stopped': relay.Stopped('a/kept'),
    'gets no answer': relay.MoveUnknown('timeout'),
}


@behave.given(
    'a run silent for {silent:g} s whose caller waits {patience:g} s'
)
def step_silent_run(
    context: typing.Any, silent: float, patience: float
) -> None:
    context.silent_run = _silence.SilentRun(
        now=silent,
        last_event_at=0.0,
        begun=True,
        patience_seconds=patience,
        answer=_silence.NotAsked(),
        can_continue=True,
        may_move=True,
    )


@behave.given("its engine's answer is {answer}")
def step_answer(context: typing.Any, answer: str) -> None:
    context.silent_run = attrs.evolve(
        context.silent_run, answer=_ANSWERS[answer]
    )


@behave.given('it {options}')
def step_options(context: typing.Any, options: str) -> None:
    changes: dict[str, typing.Any]
    match options.split():
        case ['has', 'a', 'copy']:
            changes = {}
        case ['has', 'no', 'copy']:
            changes = {'can_continue': False}
        case ['may', 'not', 'be', 'moved']:
            changes = {'may_move': False}
        case ['was', 'refused', 'until', until]:
            changes = {'move_from': float(until)}
        case ['has', 'not', 'begun']:
            changes = {'begun': False}
        case _:
            raise ValueError(options)
    context.silent_run = attrs.evolve(context.silent_run, **changes)


@behave.when('the silence is judged')
def step_judge(context: typing.Any) -> None:
    context.decision = _silence.decide(context.silent_run)


@behave.then('the decision is {decision}')
def step_decision(context: typing.Any, decision: str) -> None:
    match context.decision:
        case _silence.KeepWaiting(until=until):
            found = f'wait until {until:g}'
        case _silence.ContinueElsewhere():
            found = 'continue'
        case _silence.StopFirst():
            found = 'stop first'
        case _silence.GiveUp():
            found = 'give up'
    assert found == decision, context.decision


@behave.given('a route with objectives {first} and {gap} s')
def step_objectives(context: typing.Any, first: str, gap: str) -> None:
    request = relay_fakes.make_request(core.StreamKind(resumable=False), 0.0)
    context.route = attrs.evolve(
        request.route,
        first_answer_seconds=None if first == 'none' else float(first),
        gap_seconds=None if gap == 'none' else float(gap),
    )


@behave.then('its callers wait {patience:g} s')
def step_patience(context: typing.Any, patience: float) -> None:
    found = _silence.compute_patience(context.route)
    assert abs(found - patience) < 1e-6, found


@behave.given('callers wait {patience:g} s')
def step_callers_wait(context: typing.Any, patience: float) -> None:
    route = attrs.evolve(
        context.request.route,
        first_answer_seconds=patience / _silence.FIRST_ANSWER_PATIENCE,
    )
    context.request = attrs.evolve(context.request, route=route)


@behave.given('engine "{name}" {answer}')
def step_lists(context: typing.Any, name: str, answer: str) -> None:
    context.port.lists[name] = list(_LISTS[answer])


@behave.given('a move from "{name}" {result}')
def step_move(context: typing.Any, name: str, result: str) -> None:
    context.port.move_results[name] = _MOVES[result]


@behave.then('{seconds:g} s passed')
def step_passed(context: typing.Any, seconds: float) -> None:
    passed = context.clock.now() - context.request.arrived_at
    assert abs(passed - seconds) < 1e-6, passed


async def ask_together(context: typing.Any, keys: list[str]) -> None:
    lists = _run_lists.RunLists(context.port, context.clock)
    target = relay_fakes.make_target('a')
    async with anyio.create_task_group() as tasks:
        for key in keys:
            tasks.start_soon(lists.ask, target, key, _silence.NotAsked())


@behave.when(
    'runs "{one}" and "{other}" ask for the list of "a" at the same time'
)
def step_ask_together(context: typing.Any, one: str, other: str) -> None:
    clocks.run_bounded(context, ask_together, context, [one, other])
