"""Steps for the admission feature."""

from __future__ import annotations

import typing

import behave

from laburnumstep import callers
from support import admission_harness
from support import fleets


@behave.given('an engine with capacity for {count:d} requests')
def step_engine(context: typing.Any, count: int) -> None:
    harness = admission_harness.AdmissionHarness(context, count)
    manager = context.portal.wrap_async_context_manager(harness)
    context.harness = context.stack.enter_context(manager)


@behave.given(
    'answers have 2000 tokens in workspace plans and 10 in questions'
)
def step_lengths(context: typing.Any) -> None:
    for _ in range(200):
        context.harness.lengths.observe('plans', fleets.MODEL, 2000)
        context.harness.lengths.observe('questions', fleets.MODEL, 10)


@behave.given('answers take 0.1 seconds a token and have 100 tokens')
def step_token_rate(context: typing.Any) -> None:
    harness = context.harness
    harness.submit('earlier')
    harness.view.record_tokens(harness.results['earlier'].send, 100)
    harness.advance(10)
    harness.finish('earlier')


@behave.when('a running request uses all of its memory')
def step_memory_used_up(context: typing.Any) -> None:
    context.harness.submit('running')
    # The run uses more than the remaining memory, whatever the estimate.
    send = context.harness.results['running'].send
    context.harness.view.record_tokens(send, 10_000)


@behave.when(
    'requests a, b and c arrive with {left:d} seconds to their deadline'
)
def step_arrivals(context: typing.Any, left: int) -> None:
    for name in 'abc':
        context.harness.submit(name, left)


@behave.then('{names} are admitted and {name:w} waits')
def step_some_wait(context: typing.Any, names: str, name: str) -> None:
    assert context.harness.admitted == names.split(', ')
    assert context.harness.admission.waiting == 1


@behave.then('{names} are admitted')
def step_all(context: typing.Any, names: str) -> None:
    assert context.harness.admitted == names.split(', ')


@behave.when('{name:w} ends')
def step_end(context: typing.Any, name: str) -> None:
    context.harness.finish(name)


@behave.when('the running request ends')
def step_running_ends(context: typing.Any) -> None:
    context.harness.finish('running')


@behave.when('a {first} arrives, and {gap:d} seconds later a {second}')
def step_two(context: typing.Any, first: str, gap: int, second: str) -> None:
    for name, kind in (('first', first), ('second', second)):
        workspace = 'plans' if 'plan' in kind else 'questions'
        priority = 1 if 'priority' in kind else 0
        context.harness.submit(name, workspace=workspace, priority=priority)
        if name == 'first':
            context.harness.advance(gap)


@behave.then('the {name:w} request is admitted first')
def step_first(context: typing.Any, name: str) -> None:
    assert context.harness.admission_order[1] == name, (
        context.harness.admission_order
    )


@behave.when(
    'a request of priority 0 waits while every second another of priority 2 '
    'arrives and one ends'
)
def step_low_priority_waits(context: typing.Any) -> None:
    harness = context.harness
    harness.submit('low')
    context.admitted_after = None
    for second in range(60):
        harness.submit(f'high-{second}', priority=2)
        harness.finish(harness.admission_order[-1])
        if 'low' in harness.results:
            context.admitted_after = second
            return
        send = harness.results[harness.admission_order[-1]].send
        harness.view.record_tokens(send, 10_000)
        harness.advance(1)


@behave.then('the request of priority 0 is admitted within {limit:d} seconds')
def step_not_starved(context: typing.Any, limit: int) -> None:
    assert context.admitted_after is not None
    assert 1 <= context.admitted_after <= limit, context.admitted_after


@behave.when(
    '{count:d} requests of a large workspace arrive, then one of a small '
    'workspace'
)
def step_burst(context: typing.Any, count: int) -> None:
    for number in range(count):
        context.harness.submit(f'large-{number}', workspace='large')
    context.harness.submit('small', workspace='small')


@behave.when('requests end one by one')
def step_one_by_one(context: typing.Any) -> None:
    harness = context.harness
    while harness.admission.waiting:
        harness.finish(harness.admission_order[-1])
        send = harness.results[harness.admission_order[-1]].send
        harness.view.record_tokens(send, 10_000)


@behave.then(
    'the request of the small workspace is among the first {count:d} admitted'
)
def step_small(context: typing.Any, count: int) -> None:
    position = context.harness.admission_order.index('small')
    assert position <= count, context.harness.admission_order


@behave.when('a running request leaves capacity for a question only')
def step_leave_capacity(context: typing.Any) -> None:
    context.harness.submit('running', prompt_tokens=340)
    assert context.harness.admitted == ['running']


@behave.when('a priority plan arrives that needs more capacity')
def step_larger_arrives(context: typing.Any) -> None:
    context.harness.submit('plan', workspace='plans', priority=4)
    assert 'plan' not in context.harness.results


@behave.then('a question that arrives next is admitted at once')
def step_passes(context: typing.Any) -> None:
    context.harness.submit('question', workspace='questions')
    assert 'question' in context.harness.admitted
    context.harness.finish('question')


@behave.then(
    '{seconds:d} seconds later a further question waits behind the plan'
)
def step_blocked(context: typing.Any, seconds: int) -> None:
    context.harness.advance(seconds)
    context.harness.submit('later', workspace='questions')
    assert context.harness.admission.waiting == 2


@behave.when('{count:d} requests of priority {priority:d} arrive')
def step_prioritised(context: typing.Any, count: int, priority: int) -> None:
    for number in range(count):
        context.harness.submit(f'{priority}/{number}', priority=priority)


@behave.then('from {low:d} to {high:d} of them are placed')
def step_between(context: typing.Any, low: int, high: int) -> None:
    context.early = len(context.harness.admitted)
    assert low <= context.early <= high, context.early


@behave.then('it is admitted at once, ahead of those that wait')
def step_ahead(context: typing.Any) -> None:
    assert context.harness.admission_order[-1] == '0/0', (
        context.harness.admission_order
    )
    assert len(context.harness.admitted) == context.early + 1


@behave.then('more of them are admitted, up to what priority 0 may use')
def step_aged(context: typing.Any) -> None:
    # Waiting requests are rechecked on events such as a load report.
    harness = context.harness
    harness.run_action(lambda: harness.view.set_leaving('engine-0', False))
    assert len(harness.admitted) > context.early + 1, harness.admitted
    assert harness.admission.waiting > 0


@behave.when('a plan of at most {count:d} tokens arrives')
def step_bounded(context: typing.Any, count: int) -> None:
    context.harness.max_tokens = count
    context.harness.submit('plan', workspace='plans')


@behave.when('a plan arrives')
def step_plan(context: typing.Any) -> None:
    assert context.harness.admission.waiting > 0
    context.harness.submit('plan', workspace='plans')


@behave.then('the plan is admitted at once')
def step_plan_admitted(context: typing.Any) -> None:
    assert 'plan' in context.harness.admitted


@behave.when('a request arrives with {left:d} seconds to its deadline')
def step_arrives(context: typing.Any, left: int) -> None:
    context.harness.submit('it', left)


@behave.when('{seconds:d} seconds pass without news')
def step_time_passes(context: typing.Any, seconds: int) -> None:
    context.harness.advance(seconds)


@behave.then('it is shed as {code:w} with a time to resend in the future')
def step_shed(context: typing.Any, code: str) -> None:
    result = context.harness.results.get('it')
    assert isinstance(result, callers.Shed), result
    assert result.code.value == code, result
    assert result.resend_at > context.harness.clock.now()


@behave.then('it is sent to no target, then or when capacity becomes free')
def step_not_sent(context: typing.Any) -> None:
    assert 'it' not in context.harness.in_progress
    if 'running' in context.harness.results:
        context.harness.finish('running')
    context.harness.advance(100)
    assert 'it' not in context.harness.in_progress
    assert context.harness.admission.waiting == 0


@behave.when(
    '1 request a second has been placed for {seconds:d} seconds and '
    '{count:d} wait'
)
def step_drain(context: typing.Any, seconds: int, count: int) -> None:
    harness = context.harness
    for number in range(seconds + count):
        harness.submit(f'waits-{number}')
    for _ in range(seconds):
        harness.advance(1)
        harness.finish(harness.admission_order[-1])
        send = harness.results[harness.admission_order[-1]].send
        harness.view.record_tokens(send, 10_000)
    assert harness.admission.waiting == count


@behave.then('a request with {left:d} seconds to its deadline waits')
def step_waits(context: typing.Any, left: int) -> None:
    context.harness.submit('other', left)
    assert 'other' not in context.harness.results


@behave.when('a report shows room')
def step_report(context: typing.Any) -> None:
    harness = context.harness
    report = fleets.make_report(harness.clock.now(), 0, 0, 100_000)
    harness.run_action(lambda: harness.view.record_report('engine-0', report))


@behave.when('the configuration adds engines')
def step_add_engines(context: typing.Any) -> None:
    harness = context.harness
    more = fleets.make_deployment(3)
    harness.run_action(lambda: harness.view.apply_deployment(more))


@behave.when('the engine fails for 20 seconds')
def step_fails(context: typing.Any) -> None:
    harness = context.harness
    context.recovers_at = harness.clock.now() + 20
    harness.view.set_failed('engine-0', context.recovers_at)


@behave.when('another request arrives with {left:d} seconds to its deadline')
def step_another(context: typing.Any, left: int) -> None:
    context.harness.submit('other', left)


@behave.when('its caller is gone')
def step_disconnect(context: typing.Any) -> None:
    context.harness.run_action(context.harness.scopes['it'].cancel)


@behave.when('the 20 seconds are over')
def step_recovered(context: typing.Any) -> None:
    harness = context.harness
    harness.advance(context.recovers_at - harness.clock.now())


@behave.then('the other request is admitted')
def step_other_admitted(context: typing.Any) -> None:
    assert 'other' in context.harness.admitted, context.harness.results


@behave.when('a failed engine recovers')
def step_recovers(context: typing.Any) -> None:
    harness = context.harness
    harness.view.set_failed('engine-0', harness.clock.now() + 20)
    harness.finish('running')
    assert 'it' not in harness.results
    harness.advance(20)


@behave.then('it is admitted without a further wait')
def step_admitted(context: typing.Any) -> None:
    assert 'it' in context.harness.admitted, context.harness.results


@behave.when('a request for an unknown model arrives')
def step_unknown(context: typing.Any) -> None:
    context.harness.submit('it', model='unknown')


@behave.then('no queue is kept for the unknown model')
def step_no_queue(context: typing.Any) -> None:
    assert 'unknown' not in context.harness.admission.models


@behave.when('its caller disconnects while it waits')
def step_disconnect_waiting(context: typing.Any) -> None:
    context.harness.run_action(context.harness.scopes['it'].cancel)
    context.harness.finish('running')


@behave.when('its caller disconnects as it is being admitted')
def step_disconnect_admitted(context: typing.Any) -> None:
    harness = context.harness

    def admit_and_cancel() -> None:
        harness.admission.release(harness.results['running'])
        assert 'it' in harness.in_progress
        harness.scopes['it'].cancel()

    harness.run_action(admit_and_cancel)


@behave.then('no request waits and the engine has capacity again')
def step_nothing(context: typing.Any) -> None:
    assert context.harness.admission.waiting == 0
    assert context.harness.in_progress == []
    context.harness.submit('next')
    assert 'next' in context.harness.admitted


@behave.when('{count:d} requests wait for {seconds:d} seconds without news')
def step_many_wait(context: typing.Any, count: int, seconds: int) -> None:
    for number in range(count):
        context.harness.submit(f'waits-{number}')
    for _ in range(seconds):
        context.harness.advance(1)
    assert context.harness.admission.waiting == count


@behave.then('the tasks have started at most {count:d} sleeps')
def step_waits_counted(context: typing.Any, count: int) -> None:
    assert context.harness.clock.waits <= count, context.harness.clock.waits
