"""Steps for targets that name a limit to the product's own VMs."""

from __future__ import annotations

import typing

import behave

from laburnumstep_standins import caller
from support import cluster


@behave.given('the service names a limit of {rate:g} requests a second')
def step_service_limit(context: typing.Any, rate: float) -> None:
    def name_limit() -> None:
        context.cluster.service.set_faults(request_limit=rate)

    context.portal.call(name_limit)


@behave.given('every engine names a limit of {rate:g} requests a second')
def step_engine_limits(context: typing.Any, rate: float) -> None:
    def name_limits() -> None:
        for host in context.cluster.engines.values():
            host.stand_in.set_faults(request_limit=rate)

    context.portal.call(name_limits)


@behave.when(
    '{count:d} operations "{operation}" are sent through "{first}" and'
    ' "{second}" in turn'
)
def step_operations(
    context: typing.Any, count: int, operation: str, first: str, second: str
) -> None:
    async def send() -> list[caller.CallReply]:
        replies = []
        for number in range(count):
            name = (first, second)[number % 2]
            client = context.cluster.make_caller(name)
            deadline = context.cluster.clock.now() + cluster.DEADLINE_SECONDS
            body = {
                'service': cluster.SERVICE,
                'operation': operation,
                'payload': {'gang': 'A7'},
            }
            key = client.issue_key()
            replies.append(await client.call(body, key, deadline))
        return replies

    context.replies = context.portal.call(send)


def count_runs(context: typing.Any) -> int:
    ledger = context.cluster.service.ledger
    return sum(ledger.effects.values()) + sum(ledger.reads.values())


@behave.then('at most {count:d} of them ran')
def step_ran(context: typing.Any, count: int) -> None:
    runs = count_runs(context)
    assert runs <= count, runs


@behave.then('the others were refused as not run or later')
def step_refused(context: typing.Any) -> None:
    errors = [reply.body.get('error') for reply in context.replies]
    assert errors.count(None) == count_runs(context), context.replies
    for error in errors:
        if error is not None:
            assert error['outcome'] in ('not_run', 'unknown'), error
            assert error['resend'], error


@behave.when(
    '{count:d} generations with a deadline in {seconds:g} seconds are'
    ' requested through "{first}" and "{second}" in turn'
)
def step_generations(
    context: typing.Any, count: int, seconds: float, first: str, second: str
) -> None:
    async def send() -> None:
        for number in range(count):
            name = (first, second)[number % 2]
            client = context.cluster.make_caller(name)
            body = {'model': cluster.MODEL, 'prompt': f'Plan {number}.'}
            deadline = context.cluster.clock.now() + seconds
            await client.generate(body, deadline, caller.Answer())

    context.portal.call(send)


@behave.then('at most {count:d} of them started')
def step_started(context: typing.Any, count: int) -> None:
    hosts = context.cluster.engines.values()
    started = sum(host.stand_in.started for host in hosts)
    assert started <= count, started
