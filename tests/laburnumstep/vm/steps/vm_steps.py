"""Steps for features that run entry VMs as processes."""

from __future__ import annotations

import signal
import typing

import anyio
import attrs
import behave

from laburnumstep import core
from laburnumstep import log
from laburnumstep_standins import caller
from support import cluster
from support import hooks
from support import polling


def _split_names(text: str) -> list[str]:
    plain = text.replace('"', '').replace(' and ', ',')
    return [name for name in plain.split(',') if name]


async def _read(
    context: typing.Any, client: caller.Caller, answer: caller.Answer
) -> None:
    body = {'model': cluster.MODEL, 'prompt': 'Plan the night shift.'}
    deadline = context.cluster.clock.now() + cluster.DEADLINE_SECONDS
    await client.generate(body, deadline, answer)


def _call(
    context: typing.Any,
    names: list[str],
    operation: str,
    key: core.RequestKey | None = None,
) -> caller.CallReply:
    client = context.cluster.make_caller(*names)
    deadline = context.cluster.clock.now() + cluster.DEADLINE_SECONDS
    body = {
        'service': cluster.SERVICE,
        'operation': operation,
        'payload': {'gang': 'A7'},
    }
    context.key = key or client.issue_key()
    return context.portal.call(client.call, body, context.key, deadline)


@behave.given('VMs {names} and answers of {tokens:d} tokens')
def step_cluster(context: typing.Any, names: str, tokens: int) -> None:
    manager = cluster.run_cluster(tokens, *_split_names(names))
    context.cluster = hooks.enter_context(context, manager)


@behave.given('VMs {names}')
def step_cluster_given(context: typing.Any, names: str) -> None:
    step_cluster(context, names, 50)


@behave.when('a caller of {names} reads a stream')
def step_read(context: typing.Any, names: str) -> None:
    listed = _split_names(names.replace(' and then ', ','))
    client = context.cluster.make_caller(*listed)
    context.answer = caller.Answer()
    context.reading = context.portal.start_task_soon(
        _read, context, client, context.answer
    )


@behave.when('"{name}" gets {number} at token {count:d}')
def step_signal_at(
    context: typing.Any, name: str, number: str, count: int
) -> None:
    answer = context.answer
    context.portal.call(polling.wait_until, lambda: answer.position >= count)
    step_signal(context, name, number)


@behave.when('"{name}" gets {number}')
def step_signal(context: typing.Any, name: str, number: str) -> None:
    context.cluster.vms[name].send_signal(signal.Signals[number])


@behave.when('at the same time: {fault}')
def step_fault(context: typing.Any, fault: str) -> None:
    if fault == 'log outage':
        step_outage(context)


@behave.given('the log has an outage')
@behave.when('the log has an outage')
def step_outage(context: typing.Any) -> None:
    def fail() -> None:
        context.cluster.log.set_faults(outage=True)

    context.portal.call(fail)


@behave.when('the log is available again')
def step_log_available(context: typing.Any) -> None:
    def restore() -> None:
        context.cluster.log.set_faults(outage=False)

    context.portal.call(restore)


@behave.when('the caller resumes through "{name}"')
def step_resume(context: typing.Any, name: str) -> None:
    old = context.answer
    context.reading.cancel()
    client = context.cluster.make_caller(name)
    context.answer = attrs.evolve(old)

    async def resume() -> None:
        await client._send_and_follow(
            '/v1/generations/resume',
            {'handle': old.handle, 'position': old.position},
            {},
            context.cluster.clock.now() + cluster.DEADLINE_SECONDS,
            context.answer,
        )

    context.reading = context.portal.start_task_soon(resume)


@behave.then('the answer is complete, with each token once and in order')
def step_whole(context: typing.Any) -> None:
    context.reading.result(cluster.DEADLINE_SECONDS)
    answer = context.answer
    assert answer.whole, answer.error
    texts = answer.tokens
    assert len(texts) == answer.position


@behave.then('it was resumed {times:d} times')
def step_resumed(context: typing.Any, times: int) -> None:
    assert context.answer.resumed == times, context.answer.resumed


@behave.then('one generation was started')
def step_one_generation(context: typing.Any) -> None:
    hosts = context.cluster.engines.values()
    assert sum(host.stand_in.started for host in hosts) == 1


@behave.then('"{name}" is not ready')
def step_not_ready(context: typing.Any, name: str) -> None:
    async def is_unready() -> bool:
        return not await context.cluster.is_ready(name)

    context.portal.call(polling.wait_until, is_unready)


@behave.then('"{name}" becomes ready')
def step_ready(context: typing.Any, name: str) -> None:
    context.portal.call(
        polling.wait_until, lambda: context.cluster.is_ready(name)
    )


@behave.then('"{name}" ends with status {status:d}')
def step_ends(context: typing.Any, name: str, status: int) -> None:
    async def wait() -> int:
        with anyio.fail_after(cluster.DEADLINE_SECONDS):
            return await context.cluster.vms[name].process.wait()

    assert context.portal.call(wait) == status


# Postings.


@behave.when(
    '"{operation}" is sent through "{name}" and delayed by the service'
)
def step_call_delayed(context: typing.Any, operation: str, name: str) -> None:
    stand_in = context.cluster.service

    def delay() -> None:
        stand_in.set_faults(delayed=True)

    context.portal.call(delay)
    client = context.cluster.make_caller(name)
    context.key = client.issue_key()
    body = {
        'service': cluster.SERVICE,
        'operation': operation,
        'payload': {'gang': 'A7'},
    }
    deadline = context.cluster.clock.now() + cluster.DEADLINE_SECONDS
    context.sending = context.portal.start_task_soon(
        client.call, body, context.key, deadline
    )
    context.portal.call(stand_in.wait_for_arrival)


@behave.when('the service continues')
def step_service_continues(context: typing.Any) -> None:
    def release() -> None:
        context.cluster.service.set_faults(delayed=False)

    context.portal.call(release)


@behave.given('the service loses {count:d} replies after the effect')
def step_lost_replies(context: typing.Any, count: int) -> None:
    def lose() -> None:
        context.cluster.service.set_faults(lost_replies=count)

    context.portal.call(lose)


@behave.when('"{operation}" is sent through "{name}"')
def step_call(context: typing.Any, operation: str, name: str) -> None:
    context.reply = _call(context, [name], operation)


@behave.when('"{operation}" is sent again through "{name}"')
def step_call_again(context: typing.Any, operation: str, name: str) -> None:
    context.reply = _call(context, [name], operation, context.key)


@behave.when('"{operation}" is sent through {names} at the same time')
def step_call_concurrently(
    context: typing.Any, operation: str, names: str
) -> None:
    listed = _split_names(names)
    key = context.cluster.make_caller(*listed).issue_key()
    body = {
        'service': cluster.SERVICE,
        'operation': operation,
        'payload': {'gang': 'A7'},
    }
    deadline = context.cluster.clock.now() + cluster.DEADLINE_SECONDS
    tasks = [
        context.portal.start_task_soon(
            context.cluster.make_caller(name).call, body, key, deadline
        )
        for name in listed
    ]
    context.key = key
    context.replies = [task.result() for task in tasks]


@behave.when(
    '{count:d} keys of "{operation}" are each sent through both VMs,'
    ' {limit:d} at a time'
)
def step_call_pairs(
    context: typing.Any, count: int, operation: str, limit: int
) -> None:
    context.pairs = context.portal.call(
        _send_pairs, context, operation, count, limit
    )


async def _send_pairs(
    context: typing.Any, operation: str, count: int, limit: int
) -> list[tuple[str, caller.CallReply]]:
    """Send each key through both VMs at once; return keys with replies."""
    body = {
        'service': cluster.SERVICE,
        'operation': operation,
        'payload': {'gang': 'A7'},
    }
    vms = [context.cluster.make_caller(n) for n in ('vm-1', 'vm-2')]
    limiter = anyio.CapacityLimiter(limit)
    replies: list[tuple[str, caller.CallReply]] = []

    async def send(key: core.RequestKey) -> None:
        async def call(vm: typing.Any) -> None:
            deadline = context.cluster.clock.now() + cluster.DEADLINE_SECONDS
            replies.append((str(key), await vm.call(body, key, deadline)))

        async with limiter, anyio.create_task_group() as pair:
            for vm in vms:
                pair.start_soon(call, vm)

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(send, vms[0].issue_key())
    return replies


@behave.then('some callers are refused with "{code}"')
def step_some_refused(context: typing.Any, code: str) -> None:
    codes = [
        reply.body['error']['code']
        for _, reply in context.pairs
        if 'error' in reply.body
    ]
    assert code in codes, set(codes)


@behave.then('no caller receives "not_run" for a key that had an effect')
def step_no_false_not_run(context: typing.Any) -> None:
    effects = context.cluster.service.ledger.effects
    denied = [
        key for key, reply in context.pairs if reply.outcome == 'not_run'
    ]
    denied_wrongly = [key for key in denied if effects[key]]
    assert not denied_wrongly, len(denied_wrongly)


@behave.then('no key had 2 effects')
def step_no_duplicate(context: typing.Any) -> None:
    effects = context.cluster.service.ledger.effects
    duplicates = [key for key, _ in context.pairs if effects[key] > 1]
    assert not duplicates, len(duplicates)


@behave.then('the caller receives outcome "{outcome}"')
def step_outcome(context: typing.Any, outcome: str) -> None:
    assert context.reply.outcome == outcome, context.reply


@behave.then('at least one caller receives outcome "{outcome}"')
def step_one_outcome(context: typing.Any, outcome: str) -> None:
    outcomes = [reply.outcome for reply in context.replies]
    assert outcome in outcomes, context.replies
    assert 'not_run' not in outcomes, context.replies


@behave.then('the operation had {count:d} effects')
def step_effects(context: typing.Any, count: int) -> None:
    effects = context.cluster.service.ledger.effects[str(context.key)]
    assert effects == count, effects


# Configuration.


@behave.when('a configuration with workspace "{name}" is published')
def step_publish(context: typing.Any, name: str) -> None:
    context.result = context.portal.call(
        context.cluster.publish, _with_workspace(context, name)
    )


@behave.when('two operators publish workspaces "{first}" and "{second}"')
def step_publish_concurrently(
    context: typing.Any, first: str, second: str
) -> None:
    base = context.cluster.version
    tasks = [
        context.portal.start_task_soon(
            context.cluster.publish, _with_workspace(context, name), base
        )
        for name in (first, second)
    ]
    context.results = [task.result() for task in tasks]


def _with_workspace(context: typing.Any, name: str) -> core.Deployment:
    deployment = context.cluster.deployment
    digest = core.digest_secret(cluster.SECRET)
    added = core.Workspace(name, digest, 10, 10, 1e6)
    workspaces = {**deployment.workspaces, name: added}
    return attrs.evolve(deployment, workspaces=workspaces)


@behave.when('"{name}" loses its connection to the log')
def step_cut_log(context: typing.Any, name: str) -> None:
    context.portal.call(context.cluster.cut_log, name)


@behave.when('"{name}" starts without any state')
def step_start(context: typing.Any, name: str) -> None:
    context.portal.call(context.cluster.start_vm, name, False)


@behave.then('workspace "{workspace}" is served by "{name}"')
def step_served(context: typing.Any, workspace: str, name: str) -> None:
    vm = context.cluster.vms[name]
    client = caller.Caller(
        [vm.addresses['callers']],
        workspace,
        cluster.SECRET,
        context.cluster.clock,
    )
    body = {
        'service': cluster.SERVICE,
        'operation': 'roster',
        'payload': {},
    }

    async def is_served() -> bool:
        deadline = context.cluster.clock.now() + cluster.DEADLINE_SECONDS
        reply = await client.call(body, client.issue_key(), deadline)
        return reply.outcome == 'ran'

    context.portal.call(polling.wait_until, is_served)


@behave.then('one publication is accepted and the other conflicts')
def step_one_accepted(context: typing.Any) -> None:
    kinds = sorted(type(result).__name__ for result in context.results)
    assert kinds == ['Conflict', 'Published'], context.results
    conflict = next(r for r in context.results if isinstance(r, log.Conflict))
    assert conflict.in_force == context.cluster.version


# Leaving targets.


@behave.when('engine "{name}" announces its reclaim')
def step_reclaim(context: typing.Any, name: str) -> None:
    stand_in = context.cluster.engines[name].stand_in
    reclaim_at = context.cluster.clock.now() + 3600

    def announce() -> None:
        stand_in.set_faults(reclaim_at=reclaim_at)

    context.portal.call(announce)


@behave.when('{names} know that "{target}" is leaving')
def step_leaving_known(context: typing.Any, names: str, target: str) -> None:
    message = f'target is leaving; target={target}'
    for name in _split_names(names):
        vm = context.cluster.vms[name]
        context.portal.call(
            polling.wait_until, lambda vm=vm: message in vm.read_log()
        )


@behave.when('{count:d} generations are requested through {names}')
def step_generations(context: typing.Any, count: int, names: str) -> None:
    hosts = context.cluster.engines
    context.started = {n: h.stand_in.started for n, h in hosts.items()}
    client = context.cluster.make_caller(*_split_names(names))
    for _ in range(count):
        answer = caller.Answer()
        context.portal.call(_read, context, client, answer)
        assert answer.whole, answer.error


@behave.then('none of them started on "{name}"')
def step_none_started(context: typing.Any, name: str) -> None:
    host = context.cluster.engines[name]
    assert host.stand_in.started == context.started[name]


@behave.then('the operation had {count:d} effects after the first send ends')
def step_effects_later(context: typing.Any, count: int) -> None:
    context.sending.result(cluster.DEADLINE_SECONDS)
    step_effects(context, count)


@behave.given('the log has an outage before VMs start')
def step_early_outage(context: typing.Any) -> None:
    step_cluster(context, '', 50)
    step_outage(context)
