"""Steps for the VM list feature."""

from __future__ import annotations

import json
import random
import time
import typing

import behave

from laburnumstep import core
from laburnumstep import transport
from laburnumstep import vmlist
from laburnumstep.vmlist import _follower
from laburnumstep_standins import vmlist as standin
from support import hooks


@behave.given('a VM list with "{name}" live')
def step_list(context: typing.Any, name: str) -> None:
    context.clock = core.ManualClock()
    context.standin = standin.VMListStandIn(context.clock)
    context.standin.set_vm(name, 'target', '127.0.0.1:1', 'lima-1')
    context.server = hooks.enter_context(
        context, transport.serve_app(context.standin.app)
    )


@behave.given('a follower that has polled once')
def step_follower(context: typing.Any) -> None:
    client = vmlist.VMListClient(context.server.address)
    context.stack.callback(lambda: context.portal.call(client.close))
    context.follower = vmlist.VMListFollower(
        client, context.clock, lambda vm_list: None, random.Random(1)
    )
    context.portal.call(context.follower.poll)


async def post_faults(address: str, body: dict[str, typing.Any]) -> None:
    client = transport.JsonClient(address)
    reply = await client.request('POST', '/control', time.time() + 10, body)
    assert reply.status == 200, reply
    await client.close()


@behave.given('the VM list has fault "{fault}" set to "{value}"')
def step_fault(context: typing.Any, fault: str, value: str) -> None:
    body = {fault: json.loads(value)}
    context.portal.call(post_faults, context.server.address, body)


@behave.given('"{name}" is leaving in the list')
def step_leaving(context: typing.Any, name: str) -> None:
    context.standin.set_vm(name, 'target', '127.0.0.1:1', 'lima-1', 'leaving')


@behave.given('the list has a VM without a state')
def step_bad_vm(context: typing.Any) -> None:
    context.standin.set_vm('engine-2', 'target', '', '', state='sleeping')


@behave.given('{seconds:d} s pass')
@behave.when('{seconds:d} s pass')
def step_pass(context: typing.Any, seconds: int) -> None:
    context.portal.call(context.clock.advance, seconds)


@behave.given('the follower polls')
@behave.when('the follower polls')
def step_poll(context: typing.Any) -> None:
    context.portal.call(context.follower.poll)


@behave.then('its status is "{status}" with {count:d} VM')
def step_status(context: typing.Any, status: str, count: int) -> None:
    current = context.follower.status
    assert type(current).__name__ == status, current
    assert len(current.vm_list.vms) == count, current


@behave.then('the list shows "{name}" as "{state}"')
def step_shows(context: typing.Any, name: str, state: str) -> None:
    current = context.follower.status
    shown = {vm.name: vm.state.value for vm in current.vm_list.vms}
    assert shown == {name: state}, shown


@behave.then(
    'a list of {size:d} bytes is polled after {shortest:g} to {longest:g} s'
)
def step_interval(
    context: typing.Any, size: int, shortest: float, longest: float
) -> None:
    status = vmlist.Current(vmlist.VMList(0.0, [], size))
    interval = _follower.choose_poll_interval(status, random.Random(1))
    assert shortest <= interval <= longest, interval
