"""Steps for retries, crash suspects and reclaims."""

from __future__ import annotations

import random
import typing

import attrs
import behave

from laburnumstep import core
from laburnumstep import targets
from support import fleets

_NOW = 1_000_000.0


@behave.given('a {kind:w} whose target failed with outcome {outcome:w}')
def step_attempt(context: typing.Any, kind: str, outcome: str) -> None:
    context.attempt = targets.FailedAttempt(
        target='engine-0',
        excluded=frozenset(),
        deadline=_NOW + 5,
        outcome=core.Outcome(outcome),
        repeatable=kind != 'posting',
        delivered=0,
        refused=kind == 'suspect',
    )


@behave.given(
    '{delivered:d} tokens delivered, the deadline {left:d} seconds away'
)
def step_delivered(context: typing.Any, delivered: int, left: int) -> None:
    context.attempt = attrs.evolve(
        context.attempt, delivered=delivered, deadline=_NOW + left
    )


@behave.given('a retry budget with {count:d} retries left')
def step_budget(context: typing.Any, count: int) -> None:
    context.budget = targets.RetryBudget()
    for _ in range(10 * count):
        context.budget.record_request(_NOW)


@behave.when('the retry is decided')
def step_decide(context: typing.Any) -> None:
    context.decision = targets.decide_retry(
        context.attempt, context.budget, _NOW
    )


@behave.then('the decision is {text}')
def step_decision(context: typing.Any, text: str) -> None:
    match context.decision:
        case targets.Retry(excluded=excluded):
            assert text == 'retry', context.decision
            assert 'engine-0' in excluded
        case targets.GiveUp(code=code, outcome=outcome, resend=resend):
            found = f'{code.value}, {"resend" if resend else "final"}'
            assert text == found, found
            assert outcome is context.attempt.outcome


@behave.when('it is retried {count:d} times')
def step_retry_times(context: typing.Any, count: int) -> None:
    view = targets.FleetView(core.ManualClock(), 'lima-1')
    deployment = fleets.make_deployment(5)
    view.apply_deployment(deployment)
    rng = random.Random(1)
    lengths = fleets.make_length_estimator(100)
    context.ran = ['engine-0']
    for _ in range(count):
        decision = targets.decide_retry(context.attempt, context.budget, _NOW)
        request = fleets.make_request(excluded=decision.excluded)
        placed = targets.choose_engine(
            view, request, lengths, deployment.weights, rng
        )
        context.ran.append(placed.target)
        context.attempt = attrs.evolve(
            context.attempt, target=placed.target, excluded=decision.excluded
        )


@behave.then('it has run on {count:d} targets, none of them twice')
def step_ran(context: typing.Any, count: int) -> None:
    assert len(context.ran) == len(set(context.ran)) == count, context.ran


@behave.then('the budget still has {count:d} retries')
def step_left(context: typing.Any, count: int) -> None:
    assert [context.budget.try_spend(_NOW) for _ in range(count + 1)] == [
        True
    ] * count + [False]


@behave.given('{count:d} requests in the last minute')
def step_requests(context: typing.Any, count: int) -> None:
    context.budget = targets.RetryBudget()
    for number in range(count):
        context.budget.record_request(_NOW + 30 * number / count)


@behave.when('{count:d} retries are requested at once')
def step_ask(context: typing.Any, count: int) -> None:
    now = _NOW + 31
    context.allowed = sum(context.budget.try_spend(now) for _ in range(count))


@behave.when(
    '1000 retries are requested at once, 61 seconds later, after {count:d} '
    'requests'
)
def step_ask_later(context: typing.Any, count: int) -> None:
    now = _NOW + 31 + 61
    for _ in range(count):
        context.budget.record_request(now)
    context.allowed = sum(context.budget.try_spend(now) for _ in range(1000))


@behave.then('{count:d} are allowed')
def step_allowed(context: typing.Any, count: int) -> None:
    assert context.allowed == count, context.allowed


@behave.then('61 seconds later none is allowed')
def step_none_later(context: typing.Any) -> None:
    assert not context.budget.try_spend(_NOW + 31 + 61)


def make_traits(name: str) -> targets.Traits:
    """Return the traits of a request without prompt parts."""
    return frozenset([targets.WholeRequest(name)])


def record_crash(
    ledger: targets.CrashLedger, target: str, now: float, names: list[str]
) -> targets.CrashReport:
    """Record a crash with requests that were sent just before."""
    report = targets.CrashReport(
        target, now, now, tuple(make_traits(name) for name in names)
    )
    ledger.record(report)
    return report


def is_refused(ledger: targets.CrashLedger, name: str) -> bool:
    """Return whether a new request is refused."""
    return ledger.admit(make_traits(name)) is not None


@behave.given('a request that crashes each target, and {count:d} healthy ones')
def step_crashing(context: typing.Any, count: int) -> None:
    context.clock = core.ManualClock()
    context.ledger = targets.CrashLedger(context.clock)
    context.names = ['bad', *(f'healthy-{n}' for n in range(count))]


@behave.when(
    'all run on the same engine of {count:d}, and suspects are retried '
    'separately'
)
def step_crash_run(context: typing.Any, count: int) -> None:
    deployment = fleets.make_deployment(count)
    view = targets.FleetView(context.clock, 'lima-1')
    view.apply_deployment(deployment)
    rng = random.Random(3)
    lengths = fleets.make_length_estimator(100)
    ledger = context.ledger
    context.crashed = ['engine-0']
    record_crash(ledger, 'engine-0', context.clock.now(), context.names)
    view.set_failed('engine-0', context.clock.now() + 60)
    queue = list(context.names)
    while queue:
        running: dict[str, list[str]] = {}
        for name in list(queue):
            if is_refused(ledger, name):
                queue.remove(name)
                continue
            request = fleets.make_request(
                name,
                excluded=frozenset(context.crashed),
                suspect=ledger.is_suspect(make_traits(name)),
            )
            placed = targets.choose_engine(
                view, request, lengths, deployment.weights, rng
            )
            if not isinstance(placed, targets.Placed):
                continue
            view.begin(
                placed.target,
                name,
                'foremen',
                fleets.MODEL,
                100,
                100.0,
                suspect=request.suspect,
            )
            running.setdefault(placed.target, []).append(name)
            queue.remove(name)
        for target, names in running.items():
            for send in list(view.find(target).sends.values()):
                view.end(send)
            if 'bad' in names:
                context.crashed.append(target)
                record_crash(ledger, target, context.clock.now(), names)
                view.set_failed(target, context.clock.now() + 60)
                queue.extend(names)
            else:
                for name in names:
                    ledger.record_survival(make_traits(name))


@behave.then('{count:d} engines have crashed')
def step_crash_count(context: typing.Any, count: int) -> None:
    assert len(set(context.crashed)) == count, context.crashed


@behave.then('only the crashing request is refused')
def step_only(context: typing.Any) -> None:
    refused = [n for n in context.names if is_refused(context.ledger, n)]
    assert refused == ['bad'], refused


@behave.given('a target crashed with bad and {other:w}')
@behave.when('another target crashes with bad and {other:w}')
def step_crash_with(context: typing.Any, other: str) -> None:
    if other == 'first':
        context.clock = core.ManualClock()
        context.ledger = targets.CrashLedger(context.clock)
    now = context.clock.now()
    record_crash(context.ledger, f'with-{other}', now, ['bad', other])


@behave.then('bad and first are suspects, and none is refused')
def step_two_suspects(context: typing.Any) -> None:
    for name in ('bad', 'first'):
        assert context.ledger.is_suspect(make_traits(name)), name
        assert not is_refused(context.ledger, name), name


@behave.then('bad is refused, and first and second are no suspects')
def step_explained(context: typing.Any) -> None:
    assert is_refused(context.ledger, 'bad')
    for name in ('first', 'second'):
        assert not context.ledger.is_suspect(make_traits(name)), name
        assert not is_refused(context.ledger, name), name


@behave.given(
    'a crash of a request on target a, observed here and by a sibling'
)
def step_seen(context: typing.Any) -> None:
    context.clock = core.ManualClock()
    context.ledger = targets.CrashLedger(context.clock)
    context.sibling = targets.CrashLedger(context.clock)
    now = context.clock.now()
    record_crash(context.ledger, 'a', now, ['f'])
    context.ledger.merge(record_crash(context.sibling, 'a', now + 0.01, ['f']))


@behave.when('the sibling reports a crash on target b')
def step_sibling_crash(context: typing.Any) -> None:
    report = record_crash(context.sibling, 'b', context.clock.now(), ['f'])
    context.ledger.merge(report)


@behave.when('{seconds:d} seconds pass and it is sent again')
def step_again(context: typing.Any, seconds: int) -> None:
    context.clock.advance(seconds)


@behave.then('the request is refused')
def step_refused(context: typing.Any) -> None:
    assert is_refused(context.ledger, 'f')


@behave.then('the request is not refused')
def step_not_refused(context: typing.Any) -> None:
    assert not is_refused(context.ledger, 'f')


@behave.then(
    'requests with another workspace, model or prompt have other fingerprints'
)
def step_fingerprints(context: typing.Any) -> None:
    def fingerprint(workspace: str, model: str, prompt: str) -> str:
        generation = core.Generation(
            core.RequestKey.new(_NOW), workspace, model, prompt, 10, 0,
            _NOW, core.Delivery.STREAM,
        )  # fmt: skip
        return targets.fingerprint_generation(generation)

    fingerprints = {
        fingerprint('w', 'm', 'p'),
        fingerprint('v', 'm', 'p'),
        fingerprint('w', 'n', 'p'),
        fingerprint('w', 'm', 'q'),
        fingerprint('wm', '', 'p'),
        fingerprint('w', 'mp', ''),
    }
    assert len(fingerprints) == 6
    assert fingerprint('w', 'm', 'p') in fingerprints


@behave.then(
    "calls with another order of the payload's keys have the same fingerprint"
)
def step_call_fingerprints(context: typing.Any) -> None:
    calls = [
        core.ServiceCall(
            core.RequestKey.new(_NOW), 'w', 's', 'o', payload, _NOW
        )
        for payload in ({'a': 1, 'b': 2}, {'b': 2, 'a': 1}, {'a': 2, 'b': 1})
    ]
    fingerprints = [targets.fingerprint_call(call) for call in calls]
    assert fingerprints[0] == fingerprints[1] != fingerprints[2]


@behave.given(
    'an engine with sends of 0, 200, 90 and 10 tokens of 100 at 0.1 seconds '
    'a token'
)
def step_reclaim_sends(context: typing.Any) -> None:
    context.clock = core.ManualClock()
    context.view = targets.FleetView(context.clock, 'lima-1')
    context.view.apply_deployment(fleets.make_deployment(1))
    done = context.view.begin('engine-0', 'd', 'w', fleets.MODEL, 1, 1.0)
    context.clock.advance(10)
    context.view.record_tokens(done, 100)
    context.view.end(done)
    for tokens in (0, 200, 90, 10):
        send = context.view.begin(
            'engine-0', str(tokens), 'foremen', fleets.MODEL, 1, 100.0
        )
        context.view.record_tokens(send, tokens)


@behave.when('it is to be reclaimed in {seconds:d} seconds')
def step_reclaim(context: typing.Any, seconds: int) -> None:
    now = context.clock.now()
    report = fleets.make_report(now, 4, reclaim_at=now + seconds)
    context.view.record_report('engine-0', report)


@behave.then(
    'the sends to move have {first:d} and {second:d} tokens, in this order'
)
def step_moves(context: typing.Any, first: int, second: int) -> None:
    lengths = fleets.make_length_estimator(100)
    found = targets.list_unfinished(context.view, 'engine-0', lengths)
    assert [send.tokens for send in found][:2] == [first, second], found
    assert 90 not in [send.tokens for send in found]
