"""Steps for leases."""

from __future__ import annotations

import json

import behave

from laburnumstep import log
from support import hooks
from support import orders_harness


def find_fencing_token(context, vm: str) -> int | None:
    return context.harness.vms[vm].leases.find_fencing_token(
        orders_harness.RESOURCE
    )


def run_for(context, seconds: float) -> None:
    context.portal.call(context.harness.run_for, seconds)


def run_until(context, condition) -> None:
    context.portal.call(context.harness.run_until, condition)


def append(context, record) -> None:
    stream = context.harness.log.get_stream(log.LEASES_STREAM)
    context.portal.call(stream.append, [record])


def start_vms(context) -> None:
    for name in 'ab':
        context.portal.call(context.harness.add_vm, name)


@behave.given('VMs "a" and "b" that request the same lease')
def step_vms(context) -> None:
    context.harness = hooks.enter_context(
        context, orders_harness.open_harness()
    )
    context.started = False


@behave.given('the leases log loses the next {count:d} replies')
def step_lost_replies(context, count: int) -> None:
    stand_in = context.harness.log
    context.portal.call(lambda: stand_in.set_faults(lost_replies=count))


@behave.given('the record {record} is in the leases stream')
def step_malformed(context, record: str) -> None:
    append(context, json.loads(record))


@behave.given(
    'a lease record of another VM that should last {seconds:d} seconds'
)
def step_long_lease(context, seconds: int) -> None:
    append_other_lease(context, seconds)
    start_vms(context)


@behave.when('a lease record of another VM is in the leases stream')
def step_other_lease(context) -> None:
    append_other_lease(context, 30)


def append_other_lease(context, seconds: int) -> None:
    append(
        context,
        {
            'type': 'acquire',
            'resource': orders_harness.RESOURCE,
            'vm': 'x',
            'holder': 'x',
            'serial': 1,
            'fence': -1,
            'until': context.harness.clock.now() + seconds,
        },
    )


@behave.when('a VM holds the lease')
def step_lease_held(context) -> None:
    start_vms(context)
    run_until(context, context.harness.list_holders)
    (context.holder,) = context.harness.list_holders()
    context.fence = find_fencing_token(context, context.holder)
    context.other = 'b' if context.holder == 'a' else 'a'


@behave.when('time passes for {seconds:d} seconds')
def step_run(context, seconds: int) -> None:
    run_for(context, seconds)


@behave.when('the holder is paused until the other VM holds the lease')
def step_pause(context) -> None:
    context.portal.call(context.harness.pause, context.holder)
    run_until(
        context, lambda: find_fencing_token(context, context.other) is not None
    )


@behave.when('the paused VM resumes')
def step_resume(context) -> None:
    context.portal.call(context.harness.resume, context.holder)
    assert find_fencing_token(context, context.holder) is None
    run_for(context, 15)


@behave.when('the leases log is down for {seconds:d} seconds')
def step_down(context, seconds: int) -> None:
    stand_in = context.harness.log
    context.portal.call(lambda: stand_in.set_faults(outage=True))
    run_for(context, seconds)


@behave.when('the leases log is up')
def step_log_up(context) -> None:
    stand_in = context.harness.log
    context.portal.call(lambda: stand_in.set_faults(outage=False))


@behave.when('the holder dies and a VM with its name starts')
def step_restart(context) -> None:
    context.portal.call(context.harness.kill, context.holder)
    context.portal.call(context.harness.add_vm, context.holder)


@behave.then('the same VM holds the lease with the same fencing token')
def step_same_holder(context) -> None:
    assert context.harness.list_holders() == [context.holder]
    assert find_fencing_token(context, context.holder) == context.fence


@behave.then('only the other VM holds the lease')
def step_only_other_holds(context) -> None:
    assert context.harness.list_holders() == [context.other]


@behave.then('its fencing token is higher')
def step_higher_token(context) -> None:
    assert find_fencing_token(context, context.other) > context.fence


@behave.then('no VM holds the lease')
def step_none(context) -> None:
    assert context.harness.list_holders() == []


@behave.then('exactly one VM holds the lease')
def step_one(context) -> None:
    assert len(context.harness.list_holders()) == 1, (
        context.harness.list_holders()
    )


@behave.then('a VM holds the lease with a higher fencing token')
def step_new_token(context) -> None:
    run_until(context, context.harness.list_holders)
    (holder,) = context.harness.list_holders()
    assert find_fencing_token(context, holder) > context.fence


@behave.when('the leases log comes back without any record')
def step_restored(context) -> None:
    def restore() -> None:
        context.harness.log.restore({log.LEASES_STREAM: 0})

    context.portal.call(restore)
