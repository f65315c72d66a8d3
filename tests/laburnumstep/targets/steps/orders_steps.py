"""Steps for the orders to engines."""

from __future__ import annotations

import behave

from support import hooks
from support import orders_harness


def run_for(context, seconds: float) -> None:
    context.portal.call(context.harness.run_for, seconds)


def run_until(context, condition) -> None:
    context.portal.call(context.harness.run_until, condition)


def set_faults(context, stand_in: str, **faults) -> None:
    target = getattr(context.harness, stand_in)
    context.portal.call(lambda: target.set_faults(**faults))


def open_harness(context, **options) -> None:
    context.harness = hooks.enter_context(
        context, orders_harness.open_harness(**options)
    )
    for name in 'ab':
        context.portal.call(context.harness.add_vm, name)


@behave.given(
    'ordering VMs "a" and "b" and an engine that {checks} fencing tokens'
)
def step_vms(context, checks: str) -> None:
    open_harness(context, checks_fence=checks == 'checks')


@behave.given(
    'ordering VMs "a" and "b" and an engine that loads for {count:d} seconds'
)
def step_slow_engine(context, count: int) -> None:
    open_harness(context, order_seconds=float(count))


@behave.given('a VM holds the order lease')
def step_lease_held(context) -> None:
    run_until(context, context.harness.list_holders)
    (context.holder,) = context.harness.list_holders()
    context.other = 'b' if context.holder == 'a' else 'a'


@behave.given('the weight store is down')
def step_store_down(context) -> None:
    set_faults(context, 'store', outage=True)


@behave.given('the weight store refuses {count:d} fetches')
def step_store_refuses(context, count: int) -> None:
    set_faults(context, 'store', refusals=count)


@behave.given('the engine refuses connections for orders')
def step_engine_cut(context) -> None:
    context.address = context.harness.addresses['engine']
    # Port 1 of the loopback address has no listener.
    context.harness.addresses['engine'] = '127.0.0.1:1'


@behave.when('the weight store is up')
def step_store_up(context) -> None:
    set_faults(context, 'store', outage=False, refusals=0)


@behave.when('the orders log is down for {seconds:d} seconds')
def step_log_down(context, seconds: int) -> None:
    set_faults(context, 'log', outage=True)
    run_for(context, seconds)


@behave.when('the orders log is up again')
def step_log_up(context) -> None:
    set_faults(context, 'log', outage=False)


@behave.when('version "{version}" is declared at "a" and "b"')
def step_declare_all(context, version: str) -> None:
    for name in 'ab':
        context.portal.call(context.harness.declare, name, version)


@behave.when('version "{version}" is declared at the holder')
def step_declare_holder(context, version: str) -> None:
    context.portal.call(context.harness.declare, context.holder, version)
    run_for(context, 5)


@behave.when('version "{version}" is declared at the other VM')
def step_declare_other(context, version: str) -> None:
    context.portal.call(context.harness.declare, context.other, version)


@behave.when('the holder is paused while the other VM takes the lease')
def step_pause(context) -> None:
    context.portal.call(context.harness.pause, context.holder)
    run_until(
        context, lambda: context.harness.list_holders() == [context.other]
    )


@behave.when('the holder resumes')
def step_resume(context) -> None:
    context.portal.call(context.harness.resume, context.holder)


@behave.when(
    'the former holder believes for {count:d} seconds that it holds the lease'
)
def step_former_holder_believes(context, count: int) -> None:
    leases = context.harness.vms[context.holder].leases
    find_fencing_token = leases.find_fencing_token
    ends_at = context.harness.clock.now() + count

    def find_old_fence(resource: str) -> int | None:
        if context.harness.clock.now() < ends_at:
            return 0
        return find_fencing_token(resource)

    leases.find_fencing_token = find_old_fence


@behave.then('the engine eventually reports version "{version}"')
def step_reports(context, version: str) -> None:
    run_until(context, lambda: context.harness.reported_version() == version)


@behave.then(
    'the engine eventually reports version "{version}" once it is reachable'
)
def step_reports_later(context, version: str) -> None:
    run_for(context, 20)
    assert context.harness.orders == []
    context.harness.addresses['engine'] = context.address
    step_declare_all(context, version)
    step_reports(context, version)


@behave.then('the engine reports version "{version}" for {seconds:d} seconds')
def step_version_retained(context, version: str, seconds: int) -> None:
    seen = set()
    for _ in range(seconds):
        run_for(context, 1)
        seen.add(context.harness.reported_version())
    assert seen == {version}, seen


@behave.then('after {seconds:d} seconds {count:d} orders were sent')
def step_count(context, seconds: int, count: int) -> None:
    run_for(context, seconds)
    assert len(context.harness.orders) == count, context.harness.orders


@behave.then("no fetch exceeded the store's rate")
def step_no_excess(context) -> None:
    assert context.harness.store.excess == 0, context.harness.store.fetches
