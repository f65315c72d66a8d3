"""Steps for the feature of admission."""

from __future__ import annotations

import typing

import behave

from laburnumstep import callers
from support import admission_bench
from support import fleets


@behave.given('an engine with room for {count:d} requests')
def step_engine(context: typing.Any, count: int) -> None:
    bench = admission_bench.AdmissionBench(context, count)
    manager = context.portal.wrap_async_context_manager(bench)
    context.bench = context.stack.enter_context(manager)


@behave.given(
    'answers of workspace plans have 2000 tokens and of questions 10'
)
def step_lengths(context: typing.Any) -> None:
    for _ in range(200):
        context.bench.lengths.observe('plans', fleets.MODEL, 2000)
        context.bench.lengths.observe('questions', fleets.MODEL, 10)


@behave.given('answers take 0.1 seconds a token and have 100 tokens')
def step_pace(context: typing.Any) -> None:
    bench = context.bench
    bench.arrive('earlier')
    bench.view.record_tokens(bench.results['earlier'].send, 100)
    bench.advance(10)
    bench.end('earlier')


@behave.when('a running request fills it')
def step_fill(context: typing.Any) -> None:
    context.bench.arrive('running')
    # It holds more than the rest of the memory, whatever its length.
    send = context.bench.results['running'].send
    context.bench.view.record_tokens(send, 10_000)


@behave.when(
    'requests a, b and c arrive with {left:d} seconds to their deadline'
)
def step_three(context: typing.Any, left: int) -> None:
    for name in 'abc':
        context.bench.arrive(name, left)


@behave.then('{names} are admitted and {name:w} waits')
def step_some(context: typing.Any, names: str, name: str) -> None:
    assert context.bench.admitted == names.split(', ')
    assert context.bench.admission.waiting == 1


@behave.then('{names} are admitted')
def step_all(context: typing.Any, names: str) -> None:
    assert context.bench.admitted == names.split(', ')


@behave.when('{name:w} ends')
def step_end(context: typing.Any, name: str) -> None:
    context.bench.end(name)


@behave.when('the running request ends')
def step_running_ends(context: typing.Any) -> None:
    context.bench.end('running')


@behave.when('a {first} arrives, and {gap:d} seconds later a {second}')
def step_two(context: typing.Any, first: str, gap: int, second: str) -> None:
    for name, kind in (('first', first), ('second', second)):
        workspace = 'plans' if 'plan' in kind else 'questions'
        priority = 1 if 'priority' in kind else 0
        context.bench.arrive(name, workspace=workspace, priority=priority)
        if name == 'first':
            context.bench.advance(gap)


@behave.then('the {name:w} request is admitted first')
def step_first(context: typing.Any, name: str) -> None:
    assert context.bench.order[1] == name, context.bench.order


@behave.when(
    'one request of priority 0 waits while each second one of priority 2 '
    'arrives and one ends'
)
def step_starve(context: typing.Any) -> None:
    bench = context.bench
    bench.arrive('low')
    context.admitted_after = None
    for second in range(60):
        bench.arrive(f'high-{second}', priority=2)
        bench.end(bench.order[-1])
        if 'low' in bench.results:
            context.admitted_after = second
            return
        send = bench.results[bench.order[-1]].send
        bench.view.record_tokens(send, 10_000)
        bench.advance(1)


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
        context.bench.arrive(f'large-{number}', workspace='large')
    context.bench.arrive('small', workspace='small')


@behave.when('requests end one by one')
def step_one_by_one(context: typing.Any) -> None:
    bench = context.bench
    while bench.admission.waiting:
        bench.end(bench.order[-1])
        send = bench.results[bench.order[-1]].send
        bench.view.record_tokens(send, 10_000)


@behave.then(
    'the request of the small workspace is among the first {count:d} admitted'
)
def step_small(context: typing.Any, count: int) -> None:
    place = context.bench.order.index('small')
    assert place <= count, context.bench.order


@behave.when('a running request leaves room for a question only')
def step_leave(context: typing.Any) -> None:
    context.bench.arrive('running', prompt_tokens=340)
    assert context.bench.admitted == ['running']


@behave.when('a priority plan arrives that needs more')
def step_big(context: typing.Any) -> None:
    context.bench.arrive('plan', workspace='plans', priority=4)
    assert 'plan' not in context.bench.results


@behave.then('a question that arrives next is admitted at once')
def step_passes(context: typing.Any) -> None:
    context.bench.arrive('question', workspace='questions')
    assert 'question' in context.bench.admitted
    context.bench.end('question')


@behave.then(
    '{seconds:d} seconds later a further question waits behind the plan'
)
def step_kept(context: typing.Any, seconds: int) -> None:
    context.bench.advance(seconds)
    context.bench.arrive('later', workspace='questions')
    assert context.bench.admission.waiting == 2


@behave.when('{count:d} requests of priority {priority:d} arrive')
def step_prioritised(context: typing.Any, count: int, priority: int) -> None:
    for number in range(count):
        context.bench.arrive(f'{priority}/{number}', priority=priority)


@behave.then('from {low:d} to {high:d} of them find room')
def step_between(context: typing.Any, low: int, high: int) -> None:
    context.early = len(context.bench.admitted)
    assert low <= context.early <= high, context.early


@behave.then('it is admitted at once, ahead of those that wait')
def step_ahead(context: typing.Any) -> None:
    assert context.bench.order[-1] == '0/0', context.bench.order
    assert len(context.bench.admitted) == context.early + 1


@behave.then('more of them are admitted, up to what priority 0 may use')
def step_aged(context: typing.Any) -> None:
    # Waiting requests look again when there is news, such as a report.
    bench = context.bench
    bench.act(lambda: bench.view.set_leaving('engine-0', False))
    assert len(bench.admitted) > context.early + 1, bench.admitted
    assert bench.admission.waiting > 0


@behave.when('a plan of at most {count:d} tokens arrives')
def step_bounded(context: typing.Any, count: int) -> None:
    context.bench.max_tokens = count
    context.bench.arrive('plan', workspace='plans')


@behave.when('a plan arrives')
def step_plan(context: typing.Any) -> None:
    assert context.bench.admission.waiting > 0
    context.bench.arrive('plan', workspace='plans')


@behave.then('the plan is admitted at once')
def step_plan_admitted(context: typing.Any) -> None:
    assert 'plan' in context.bench.admitted


@behave.when('a request arrives with {left:d} seconds to its deadline')
def step_arrives(context: typing.Any, left: int) -> None:
    context.bench.arrive('it', left)


@behave.when('{seconds:d} seconds pass without news')
def step_pass(context: typing.Any, seconds: int) -> None:
    context.bench.advance(seconds)


@behave.then('it is shed as {code:w} with a time to resend in the future')
def step_shed(context: typing.Any, code: str) -> None:
    result = context.bench.results.get('it')
    assert isinstance(result, callers.Shed), result
    assert result.code.value == code, result
    assert result.resend_at > context.bench.clock.now()


@behave.then('no target has seen it, then or when room comes')
def step_not_sent(context: typing.Any) -> None:
    assert 'it' not in context.bench.in_progress
    if 'running' in context.bench.results:
        context.bench.end('running')
    context.bench.advance(100)
    assert 'it' not in context.bench.in_progress
    assert context.bench.admission.waiting == 0


@behave.when(
    '1 request a second has found room for {seconds:d} seconds and {count:d} '
    'wait'
)
def step_drain(context: typing.Any, seconds: int, count: int) -> None:
    bench = context.bench
    for number in range(seconds + count):
        bench.arrive(f'waits-{number}')
    for _ in range(seconds):
        bench.advance(1)
        bench.end(bench.order[-1])
        send = bench.results[bench.order[-1]].send
        bench.view.record_tokens(send, 10_000)
    assert bench.admission.waiting == count


@behave.then('a request with {left:d} seconds to its deadline waits')
def step_waits(context: typing.Any, left: int) -> None:
    context.bench.arrive('other', left)
    assert 'other' not in context.bench.results


@behave.when('a report shows room')
def step_room_report(context: typing.Any) -> None:
    bench = context.bench
    report = fleets.make_report(bench.clock.now(), 0, 0, 100_000)
    bench.act(lambda: bench.view.record_report('engine-0', report))


@behave.when('the configuration adds engines')
def step_more(context: typing.Any) -> None:
    bench = context.bench
    more = fleets.make_deployment(3)
    bench.act(lambda: bench.view.apply_deployment(more))


@behave.when('the engine fails for 20 seconds')
def step_fails(context: typing.Any) -> None:
    bench = context.bench
    context.back_at = bench.clock.now() + 20
    bench.view.set_failed('engine-0', context.back_at)


@behave.when('another request arrives with {left:d} seconds to its deadline')
def step_another(context: typing.Any, left: int) -> None:
    context.bench.arrive('other', left)


@behave.when('its caller is gone')
def step_caller_gone(context: typing.Any) -> None:
    context.bench.act(context.bench.scopes['it'].cancel)


@behave.when('the 20 seconds are over')
def step_over(context: typing.Any) -> None:
    bench = context.bench
    bench.advance(context.back_at - bench.clock.now())


@behave.then('the other request is admitted')
def step_other_admitted(context: typing.Any) -> None:
    assert 'other' in context.bench.admitted, context.bench.results


@behave.when('a failed engine recovers')
def step_recovers(context: typing.Any) -> None:
    bench = context.bench
    bench.view.set_failed('engine-0', bench.clock.now() + 20)
    bench.end('running')
    assert 'it' not in bench.results
    bench.advance(20)


@behave.then('it is admitted without a further wait')
def step_admitted(context: typing.Any) -> None:
    assert 'it' in context.bench.admitted, context.bench.results


@behave.when('a request for an unknown model arrives')
def step_unknown(context: typing.Any) -> None:
    context.bench.arrive('it', model='unknown')


@behave.then('no queue is kept for the unknown model')
def step_no_queue(context: typing.Any) -> None:
    assert 'unknown' not in context.bench.admission.models


@behave.when('its caller is gone while it waits')
def step_gone(context: typing.Any) -> None:
    context.bench.act(context.bench.scopes['it'].cancel)
    context.bench.end('running')


@behave.when('its caller is gone as it is being admitted')
def step_gone_late(context: typing.Any) -> None:
    bench = context.bench

    def admit_and_cancel() -> None:
        bench.admission.release(bench.results['running'])
        assert 'it' in bench.in_progress
        bench.scopes['it'].cancel()

    bench.act(admit_and_cancel)


@behave.then('nothing waits and the engine has room again')
def step_nothing(context: typing.Any) -> None:
    assert context.bench.admission.waiting == 0
    assert context.bench.in_progress == []
    context.bench.arrive('next')
    assert 'next' in context.bench.admitted


@behave.when('{count:d} requests wait for {seconds:d} seconds without news')
def step_many_wait(context: typing.Any, count: int, seconds: int) -> None:
    for number in range(count):
        context.bench.arrive(f'waits-{number}')
    for _ in range(seconds):
        context.bench.advance(1)
    assert context.bench.admission.waiting == count


@behave.then('the clock was asked to wait at most {count:d} times')
def step_waits_counted(context: typing.Any, count: int) -> None:
    assert context.bench.clock.waits <= count, context.bench.clock.waits
