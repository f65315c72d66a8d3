"""Steps for permits that VMs share."""

from __future__ import annotations

import re
import typing

import behave

from laburnumstep import siblings
from laburnumstep.targets import limits
from support import permit_fleet

_SEED = 1
_PAUSE_SECONDS = 0.5
"""Time between two bursts of requests, in seconds."""


@behave.given(
    '{count:d} VMs and a target that takes {rate:g} requests a second'
)
def step_fleet(context: typing.Any, count: int, rate: float) -> None:
    context.fleet = permit_fleet.PermitFleet(count, rate, _SEED)


@behave.given(
    'after {seconds:g} seconds the target takes {rate:g} requests a second'
)
def step_rate_changes(
    context: typing.Any, seconds: float, rate: float
) -> None:
    def change() -> None:
        context.fleet.target.rate = rate

    context.fleet.schedule(seconds, change)


@behave.given('after {seconds:g} seconds the target ends its limit')
def step_limit_ends(context: typing.Any, seconds: float) -> None:
    def change() -> None:
        context.fleet.target.rate = None

    context.fleet.schedule(seconds, change)


def apply_fault(fleet: permit_fleet.PermitFleet, fault: str) -> None:
    number = re.match(r'\d+', fault)
    match fault.split(maxsplit=1)[1] if number else fault:
        case 'the VM that issues permits is killed':
            fleet.find_owner().down = True
        case 'VMs join':
            for _ in range(int(number[0]) if number else 0):
                fleet.add()
        case 'VMs are cut off':
            fleet.divide(int(number[0]) if number else 0)
        case 'all VMs are cut off from each other':
            fleet.cut = {
                frozenset((first, second))
                for first in fleet.vms
                for second in fleet.vms
                if first != second
            }
        case 'the VM that issues permits is cut off':
            owner = fleet.find_owner().name
            fleet.cut = {frozenset((owner, name)) for name in fleet.vms}
        case 'the VM that issues permits answers late':
            fleet.mute = {fleet.find_owner().name}
        case 'half of the VMs take another one for it':
            fleet.rivals = set(list(fleet.vms)[::2])
            fleet.schedule(permit_fleet.DETECTION_SECONDS, fleet.rivals.clear)
        case 'one datagram of ten is lost':
            fleet.loss = 0.1
        case _:
            raise ValueError(fault)


@behave.given('after {seconds:g} seconds the VM that issues permits is killed')
def step_owner_killed(context: typing.Any, seconds: float) -> None:
    schedule_fault(context, seconds, 'the VM that issues permits is killed')


@behave.given(
    'after {seconds:g} seconds the VM that issues permits is cut off'
)
def step_owner_cut(context: typing.Any, seconds: float) -> None:
    schedule_fault(context, seconds, 'the VM that issues permits is cut off')


@behave.given(
    'after {seconds:g} seconds the VM that issues permits answers late'
)
def step_owner_late(context: typing.Any, seconds: float) -> None:
    schedule_fault(context, seconds, 'the VM that issues permits answers late')


@behave.given(
    'after {seconds:g} seconds half of the VMs take another one for it'
)
def step_rivals(context: typing.Any, seconds: float) -> None:
    schedule_fault(context, seconds, 'half of the VMs take another one for it')


@behave.given('after {seconds:g} seconds {count:d} VMs join')
def step_join(context: typing.Any, seconds: float, count: int) -> None:
    schedule_fault(context, seconds, f'{count} VMs join')


@behave.given('after {seconds:g} seconds {count:d} VMs are cut off')
def step_cut(context: typing.Any, seconds: float, count: int) -> None:
    schedule_fault(context, seconds, f'{count} VMs are cut off')


@behave.given('after {seconds:g} seconds all VMs are cut off from each other')
def step_all_cut(context: typing.Any, seconds: float) -> None:
    schedule_fault(context, seconds, 'all VMs are cut off from each other')


@behave.given('after {seconds:g} seconds one datagram of ten is lost')
def step_loss(context: typing.Any, seconds: float) -> None:
    schedule_fault(context, seconds, 'one datagram of ten is lost')


def schedule_fault(context: typing.Any, seconds: float, fault: str) -> None:
    fleet = context.fleet
    fleet.schedule(seconds, lambda: apply_fault(fleet, fault))
    fleet.schedule(seconds + permit_fleet.DETECTION_SECONDS, fleet.detect)


@behave.given(
    '{count:d} VMs and a {known} target that takes {rate:g} requests a second'
    ' for {seconds:g} seconds'
)
def step_cold_fleet(
    context: typing.Any, count: int, known: str, rate: float, seconds: float
) -> None:
    context.fleet = permit_fleet.PermitFleet(count, None, _SEED)
    context.fleet.start_cold(rate, seconds, 1.0, known == 'known')


@behave.when(
    'callers send {demand:g} requests a second to {spread} of them for'
    ' {seconds:g} seconds'
)
def step_run(
    context: typing.Any, demand: float, spread: str, seconds: float
) -> None:
    context.demand = demand
    context.portal.call(context.fleet.run, seconds, demand, spread)


@behave.when(
    'callers send {demand:g} requests a second in bursts to all of them for'
    ' {seconds:g} seconds'
)
def step_run_bursts(
    context: typing.Any, demand: float, seconds: float
) -> None:
    context.portal.call(
        context.fleet.run, seconds, demand, 'all', _PAUSE_SECONDS
    )


@behave.then('the limit is kept')
def step_kept(context: typing.Any) -> None:
    excess = context.fleet.target.find_excess()
    assert excess is None, 'at {:.2f} s: {}, allowed {}'.format(*excess)


@behave.then(
    'at least {share:g} of what the target takes is sent after {start:g}'
    ' seconds'
)
def step_used(context: typing.Any, share: float, start: float) -> None:
    check_share(context, share, start, context.fleet.target.rate)


@behave.then(
    'at least {share:g} of what callers send is sent after {start:g} seconds'
)
def step_served(context: typing.Any, share: float, start: float) -> None:
    check_share(context, share, start, context.demand)


def check_share(
    context: typing.Any, share: float, start: float, rate: float
) -> None:
    target, end = context.fleet.target, context.fleet.clock.now()
    begin = target.started_at + start
    expected = rate * (end - begin)
    found = target.count(begin, end)
    assert found >= share * expected, (found, expected)


@behave.when('a VM receives {message}')
def step_receive(context: typing.Any, message: str) -> None:
    vm = context.fleet.vms['vm-0']
    now = context.fleet.clock.now()
    context.vm = vm
    context.answers = []
    match message.split():
        case ['a', 'question', 'with', 'the', 'rate', rate]:
            ask = siblings.PermitAsk(
                1, 'vm-1', permit_fleet.TARGET, float(rate), now, 1
            )
            context.answers = vm.exchange.receive(ask)
        case ['a', 'question', 'with', 'the', 'age', age]:
            ask = siblings.PermitAsk(
                1, 'vm-1', permit_fleet.TARGET, 1.0, now - float(age), 1
            )
            context.answers = vm.exchange.receive(ask)
        case ['a', 'question', 'for', 'no', 'permits']:
            ask = siblings.PermitAsk(
                1, 'vm-1', permit_fleet.TARGET, 1.0, now, 0
            )
            context.answers = vm.exchange.receive(ask)
        case ['an', 'answer', *_]:
            reply = siblings.PermitReply(9, 5, now + 1.0)
            context.answers = vm.exchange.receive(reply)
        case ['an', 'entry', 'with', 'the', 'rate', *values]:
            send_entry(vm, f'[{" ".join(values)}]'.encode())
        case ['an', 'entry', 'that', 'a', 'target', *_, seconds, 'seconds']:
            starts = {permit_fleet.SERVICE: limits.ColdStart(1.0, 1.0)}
            vm.cold.apply_starts(starts)
            entry = limits.ColdEntry(permit_fleet.SERVICE, 1, 1, 0.0)
            vm.cold.apply_entry(permit_fleet.TARGET, entry)
            subject = f'cold|{permit_fleet.TARGET}'
            send_entry(vm, b'[null]', subject, float(seconds))
        case ['an', 'entry', 'that', 'is', 'not', 'JSON']:
            send_entry(vm, b'[' * 100_000)
        case _:
            raise ValueError(message)


def send_entry(
    vm: permit_fleet.PermitVM,
    data: bytes,
    subject: str = permit_fleet.TARGET,
    seconds: float = limits.LIMIT_SECONDS,
) -> None:
    entry = siblings.GossipEntry(
        siblings.EntryKind.LIMIT,
        subject,
        'vm-1',
        1,
        siblings.DataValue(data),
        vm.fleet.clock.now() + seconds,
    )
    for listener in vm.listeners:
        listener(entry)


@behave.then('it answers nothing and knows no limit')
def step_unchanged(context: typing.Any) -> None:
    assert context.answers == [], context.answers
    assert context.vm.limits.find_rate(permit_fleet.TARGET) is None


@behave.then(
    'no second of the cold time has more than one and a half times the rate'
    ' and five'
)
def step_cold_kept(context: typing.Any) -> None:
    excess = context.fleet.target.find_cold_excess()
    assert excess is None, 'at {:.2f} s: {}, allowed {}'.format(*excess)


@behave.then(
    'at least {share:g} of what the cold target takes is sent after {start:g}'
    ' seconds'
)
def step_cold_used(context: typing.Any, share: float, start: float) -> None:
    target = context.fleet.target
    begin, end = target.started_at + start, target.cold_until
    found = target.count(begin, end)
    expected = target.cold_rate * (end - begin)
    assert found >= share * expected, (found, expected)


@behave.then(
    'the arrivals rise at most {factor}fold in {seconds:g} seconds after the'
    ' cold time'
)
def step_ramp(context: typing.Any, factor: str, seconds: float) -> None:
    target = context.fleet.target
    number = {'four': 4}[factor]
    for second in range(int(seconds)):
        start = target.cold_until + second
        found = target.count(start, start + 1.0)
        allowed = number * target.cold_rate * permit_fleet.TOLERANCE
        allowed += permit_fleet.EXTRA_ARRIVALS
        assert found <= allowed, (second, found, allowed)


@behave.when(
    '{seconds:g} seconds later an answer to one VM says that it is cold for'
    ' {cold:g} seconds'
)
def step_cold_answer(context: typing.Any, seconds: float, cold: float) -> None:
    fleet = context.fleet
    fleet.schedule(
        seconds,
        lambda: fleet.vms['vm-0'].cold.record_answer(
            permit_fleet.TARGET, cold, fleet.clock.now()
        ),
    )
    context.portal.call(fleet.run, seconds + 0.2, 0.0, 'all')


@behave.then('{count:d} VMs limit it')
def step_limited_vms(context: typing.Any, count: int) -> None:
    rates = [
        vm.limits.find_rate(permit_fleet.TARGET)
        for vm in context.fleet.vms.values()
    ]
    assert sum(rate is not None for rate in rates) == count, rates
