"""Steps for the feature of the operators' interface."""

from __future__ import annotations

import json
import typing

import behave
import httpcore

from laburnumstep import core
from laburnumstep import operators
from laburnumstep import siblings
from laburnumstep import targets
from laburnumstep import transport
from support import hooks

AUTHORIZATION = 'Bearer operators-test-key'


class FakeVM:
    """Fake VM with a fixed status that records drain orders."""

    def __init__(self) -> None:
        self.orders: list[operators.DrainOrder] = []

    def read_status(self) -> operators.VMStatus:
        live = siblings.MemberState.LIVE
        member = siblings.Member('vm-1', '127.0.0.1:1', 'lima', live, ['vm-1'])
        leaving = siblings.TargetState.LEAVING
        report = siblings.TargetReport(leaving, 'operator', 'vm-2', 9.0)
        target = siblings.TargetStatus(
            'engine-1', siblings.Availability.LEAVING, [report]
        )
        return operators.VMStatus(
            'vm-1', 'lima-1', 7, 'abc', [member], [target], 3, False
        )

    async def drain(self, order: operators.DrainOrder) -> None:
        if order == operators.DrainTarget('engine-9'):
            raise core.CodedError(core.ErrorCode.NO_TARGET, 'not known')
        self.orders.append(order)


@behave.given(
    "the operators' interface of vm-1 with capacity for {count:d} decisions"
)
def step_interface(context: typing.Any, count: int) -> None:
    context.vm = FakeVM()
    context.decisions = operators.DecisionLog(count)
    context.ledger = targets.CrashLedger(core.ManualClock())
    app = operators.OperatorsApp(
        'operators-test-key',
        context.vm,
        context.decisions,
        context.vm,
        context.ledger,
    )
    context.server = hooks.enter_context(context, transport.serve_app(app.app))


def send(
    context: typing.Any,
    method: str,
    path: str,
    body: bytes = b'',
    authorization: str = AUTHORIZATION,
) -> None:
    headers = {}
    if authorization != 'none':
        headers['Authorization'] = authorization.encode()

    async def request() -> httpcore.Response:
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                method,
                f'http://{context.server.address}{path}',
                headers=[(k.encode(), v) for k, v in headers.items()],
                content=body,
            )

    response = context.portal.call(request)
    context.status = response.status
    context.body = json.loads(response.content)


def record(context: typing.Any, request: str, target: str) -> None:
    context.decisions.record(
        operators.Decision(request, 'desk', target, 'cheapest', [], 1.0)
    )


@behave.given('decisions for "{a}" on {x:S}, "{b}" on {y:S}, "{c}" on {z:S}')
def step_decisions(context: typing.Any, **named: str) -> None:
    for request, target in ('ax', 'by', 'cz'):
        record(context, named[request], named[target].rstrip(','))


@behave.given('{count:d} more decisions')
def step_more(context: typing.Any, count: int) -> None:
    for number in range(count):
        record(context, f'other-{number}', 'engine-1')


@behave.when('an operator reads the status')
def step_status(context: typing.Any) -> None:
    send(context, 'GET', '/v1/status')


@behave.when('an operator reads the decisions for "{request}"')
def step_read(context: typing.Any, request: str) -> None:
    send(context, 'GET', f'/v1/decisions/{request}')


@behave.when('a drain is ordered with authorization "{authorization}"')
def step_authorization(context: typing.Any, authorization: str) -> None:
    body = b'{"target": "engine-1"}'
    send(context, 'POST', '/v1/drain', body, authorization)


@behave.when("a drain is ordered with body '{body}'")
def step_body(context: typing.Any, body: str) -> None:
    content = body.encode()
    if body == '1048577 bytes':
        content = b'{"vm": "vm-1"}'.ljust(1048577)
    send(context, 'POST', '/v1/drain', content)


@behave.then('the response status is {status:d}')
def step_answer(context: typing.Any, status: int) -> None:
    assert context.status == status, (context.status, context.body)
    if status in (400, 401):
        assert context.body['error']['outcome'] == 'not_run', context.body


@behave.then(
    'it shows version {version:d}, member {vm:S} and "{target}" {state:S} by'
    ' "{source}"'
)
def step_shows(
    context: typing.Any,
    version: int,
    vm: str,
    target: str,
    state: str,
    source: str,
) -> None:
    shown = context.body
    assert (shown['version'], shown['requests_in_progress']) == (version, 3)
    assert [member['name'] for member in shown['members']] == [vm], shown
    only = shown['targets'][0]
    seen = (only['name'], only['status'], only['reports'][0]['source'])
    assert seen == (target, state, source), shown


@behave.then('it shows targets "{targets}"')
def step_targets(context: typing.Any, targets: str) -> None:
    shown = [item['target'] for item in context.body['decisions']]
    assert shown == targets.split(', '), shown


@behave.then('{count:d} drains were executed')
def step_drains(context: typing.Any, count: int) -> None:
    assert len(context.vm.orders) == count, context.vm.orders


@behave.when('"{path}" is read without the key')
def step_read_without_key(context: typing.Any, path: str) -> None:
    send(context, 'GET', path, authorization='none')


@behave.given('the VM has blamed parts "{parts}" of model "{model}"')
def step_blamed(context: typing.Any, parts: str, model: str) -> None:
    now = core.ManualClock().now()
    traits = targets.list_part_traits(model, parts.split(', '))
    for number in range(2):
        crashed_at = now - 10 * number - 5
        context.ledger.record(
            targets.CrashReport(
                f'engine-{number}', crashed_at, crashed_at - 1, (traits,)
            )
        )


@behave.when("an operator orders '{body}'")
def step_order_culprits(context: typing.Any, body: str) -> None:
    send(context, 'POST', '/v1/culprits', body.encode())


@behave.then('the culprits are "{expected}"')
@behave.then('the culprits are ""')
def step_culprits(context: typing.Any, expected: str = '') -> None:
    send(context, 'GET', '/v1/culprits')
    found = [','.join(item['traits']) for item in context.body['culprits']]
    assert '; '.join(found) == expected, found
