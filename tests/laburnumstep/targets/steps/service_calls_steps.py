"""Steps for the operations of plain services."""

from __future__ import annotations

import time
import typing

import anyio
import behave

from laburnumstep import core
from laburnumstep import log
from laburnumstep import targets
from laburnumstep import transport
from laburnumstep_standins import service
from support import hooks
from support import permits

FAULTS = {
    'works': {},
    'refuses': {'refuse': True},
    'loses its reply': {'lost_replies': 1},
    'crashes': {'crash_on': 'boom'},
    'delays operations': {'delayed': True},
}


class GrantingClaims:
    """Grants every claim and records its settlement."""

    def __init__(self) -> None:
        self.settled: list[core.CallResult] = []
        self.done = anyio.Event()

    async def claim(self, key, workspace, until, request='') -> log.Granted:
        return log.Granted(key, 'nonce')

    async def wait_until_done(self) -> None:
        # Fails a scenario that hangs; not a limit of the tested system.
        with anyio.fail_after(20):
            await self.done.wait()

    def release(self, claim) -> None:
        self.done.set()

    def settle(self, claim, result) -> None:
        self.settled.append(result)
        self.done.set()


class Budget:
    """Allows a number of retries."""

    def __init__(self, left: int) -> None:
        self.left = left

    def try_spend(self, now: float) -> bool:
        self.left -= 1
        return self.left >= 0


async def answer_503(
    scope: typing.Any, receive: typing.Any, send: typing.Any
) -> None:
    """Answer 503 without a code, as a proxy of a failed server does."""
    await send({'type': 'http.response.start', 'status': 503})
    await send({'type': 'http.response.body', 'body': b'{}'})


def replace_address(context, index: int, address: str) -> None:
    declared = context.targets[index]
    context.targets[index] = core.ServiceTarget(
        declared.name, 'lima-1', address, 'booking'
    )


@behave.given('2 servers of one service')
def step_servers(context) -> None:
    ledger = service.Ledger()
    context.servers = [service.ServiceStandIn(ledger) for _ in range(2)]
    context.targets = []
    for index, server in enumerate(context.servers):
        http = hooks.enter_context(context, transport.serve_app(server.app))
        context.targets.append(
            core.ServiceTarget(
                f'booking-{index}', 'lima-1', http.address, 'booking'
            )
        )
    context.budget = Budget(10)
    context.outcome_query = False
    context.claims = context.portal.call(make_claims)


async def make_claims() -> GrantingClaims:
    return GrantingClaims()


@behave.given('the {which} service server is not reachable')
def step_unreachable(context, which: str) -> None:
    # Port 1 of the loopback address has no listener.
    index = ['first', 'second'].index(which)
    replace_address(context, index, '127.0.0.1:1')


@behave.given('the {which} service server fails with 503')
def step_fails_with_503(context, which: str) -> None:
    http = hooks.enter_context(context, transport.serve_app(answer_503))
    index = ['first', 'second'].index(which)
    replace_address(context, index, http.address)


for _name in FAULTS:

    def _set_fault(context, which: str, name: str = _name) -> None:
        server = context.servers[['first', 'second'].index(which)]
        context.portal.call(lambda: server.set_faults(**FAULTS[name]))

    behave.given('the {which} service server ' + _name)(_set_fault)


@behave.given('the retry budget of calls is empty')
def step_no_budget(context) -> None:
    context.budget = Budget(0)


@behave.given('the service answers outcome queries')
def step_outcome_query(context) -> None:
    context.outcome_query = True


async def run_call(context, name: str) -> None:
    now = time.time()
    call = core.ServiceCall(
        core.RequestKey.new(now),
        'clerks',
        'booking',
        name,
        {'note': 'boom'},
        now + 30,
    )
    context.key = str(call.key)
    operation = core.Operation(name == 'balance', context.outcome_query)
    runner = targets.CallRunner(
        targets.ServiceClients(
            permits.make_limits(core.SystemClock()), core.SystemClock()
        ),
        context.claims,
        context.budget,
        permits.make_open_gate(core.SystemClock()),
        lambda target, until: None,
        core.SystemClock(),
        core.Metrics(None, ''),
    )
    context.answer = None
    try:
        result = await runner.run(call, operation, context.targets)
        context.answer = 'an answer' if result.status == 200 else 'other'
    except core.CodedError as error:
        context.answer = f'the outcome {error.outcome.value}'


@behave.when('a caller calls operation "{name}"')
def step_run(context, name: str) -> None:
    context.portal.call(run_call, context, name)


@behave.when('a caller calls operation "{name}" and disconnects while it runs')
def step_disconnect(context, name: str) -> None:
    context.future = context.portal.start_task_soon(run_call, context, name)
    context.portal.call(context.servers[0].wait_for_arrival)
    context.future.cancel()


@behave.when('the first service server continues')
def step_service_continues(context) -> None:
    server = context.servers[0]
    context.portal.call(lambda: server.set_faults(delayed=False))
    context.portal.call(context.claims.wait_until_done)


@behave.then('the call ends with {answer}')
def step_answer(context, answer: str) -> None:
    assert context.answer == answer, context.answer


@behave.then('the operation took effect {count:d} times')
def step_effects(context, count: int) -> None:
    effects = context.servers[0].ledger.effects[context.key]
    assert effects == count, effects


@behave.then('the claim is settled')
def step_settled(context) -> None:
    assert len(context.claims.settled) == 1, context.claims.settled
