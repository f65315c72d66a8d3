"""Steps for the processes feature."""

from __future__ import annotations

import re
import signal
import typing

import behave

from support import forwarder
from support import hooks
from support import sibling_vm

Predicate = typing.Callable[[dict[str, typing.Any]], bool]


def start_process(context: typing.Any, name: str) -> None:
    process = sibling_vm.SiblingProcess(name, [context.seed])
    context.stack.callback(process.stop)
    context.processes[name] = process


def wait_for_view(
    context: typing.Any, name: str, predicate: Predicate
) -> None:
    context.portal.call(context.local_vms[name].wait_until, predicate)


def count_live(view: dict[str, typing.Any]) -> int:
    return sum(state == 'live' for state, _ in view['vms'].values())


@behave.given('VM vm-0 in this process and VMs {names} in their own')
def step_processes(context: typing.Any, names: str) -> None:
    vm = hooks.enter_context(context, sibling_vm.SiblingVM('vm-0', []).run())
    context.local_vms = {'vm-0': vm}
    context.seed = vm.membership.address
    context.processes = {}
    for name in re.split(', ', names):
        start_process(context, name)
    expected = len(context.processes) + 1
    wait_for_view(context, 'vm-0', lambda view: count_live(view) == expected)
    for process in context.processes.values():
        process.wait_until(lambda view: count_live(view) == expected)


@behave.given('VMs vm-0 and vm-1 in this process behind forwarders')
def step_forwarders(context: typing.Any) -> None:
    context.local_vms = {}
    context.forwarders = []
    seeds: list[str] = []
    for name in ('vm-0', 'vm-1'):
        vm_forwarder = context.portal.call(forwarder.Forwarder)
        vm = sibling_vm.SiblingVM(name, seeds, vm_forwarder)
        context.local_vms[name] = hooks.enter_context(context, vm.run())
        context.forwarders.append(vm_forwarder)
        seeds = [vm_forwarder.address]
    for name in ('vm-0', 'vm-1'):
        wait_for_view(context, name, lambda view: count_live(view) == 2)


@behave.when('{name:S} gets {signal_name:S}')
def step_signal(context: typing.Any, name: str, signal_name: str) -> None:
    number = getattr(signal, signal_name)
    context.processes[name].send_signal(number)


@behave.when('{name:S} starts again in another process')
def step_start_again(context: typing.Any, name: str) -> None:
    start_process(context, name)


@behave.when('the forwarders are "{fault}"')
def step_forwarder_fault(context: typing.Any, fault: str) -> None:
    for vm_forwarder in context.forwarders:
        context.portal.call(vm_forwarder.set_fault, fault)


@behave.when('{name:S} in this process announces that "{target}" is leaving')
def step_leaving(context: typing.Any, name: str, target: str) -> None:
    context.portal.call(context.local_vms[name].announce_leaving, target)


@behave.when('the process {name:S} announces that "{target}" is leaving')
def step_process_announces(
    context: typing.Any, name: str, target: str
) -> None:
    context.processes[name].announce_leaving(target)


@behave.then('{observer:S} sees {name:S} as "{state}"')
def step_sees_state(
    context: typing.Any, observer: str, name: str, state: str
) -> None:
    wait_for_view(
        context,
        observer,
        lambda view: view['vms'].get(name, [''])[0] == state,
    )


@behave.then('{observer:S} sees {name:S} as "{state}" at its new address')
def step_sees_address(
    context: typing.Any, observer: str, name: str, state: str
) -> None:
    expected = [state, context.processes[name].address]
    wait_for_view(
        context, observer, lambda view: view['vms'].get(name) == expected
    )


@behave.then('{observer:S} sees "{target}" leaving')
def step_sees_leaving(context: typing.Any, observer: str, target: str) -> None:
    wait_for_view(context, observer, lambda view: target in view['leaving'])


@behave.then('the process {observer:S} sees {name:S} as "{state}"')
def step_process_sees(
    context: typing.Any, observer: str, name: str, state: str
) -> None:
    context.processes[observer].wait_until(
        lambda view: view['vms'].get(name, [''])[0] == state
    )


@behave.then('the process {observer:S} sees "{target}" leaving')
def step_process_leaving(
    context: typing.Any, observer: str, target: str
) -> None:
    context.processes[observer].wait_until(
        lambda view: target in view['leaving']
    )


@behave.then(
    'the process {observer:S} sees "{target}" leaving and {count:d} live VMs'
)
def step_process_view(
    context: typing.Any, observer: str, target: str, count: int
) -> None:
    context.processes[observer].wait_until(
        lambda view: target in view['leaving'] and count_live(view) == count
    )
