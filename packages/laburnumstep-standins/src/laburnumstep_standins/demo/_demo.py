"""Confirms a booking, then streams a plan while a VM is killed."""

from __future__ import annotations

import contextlib
import pathlib
import signal
import subprocess
import sys
import typing

import anyio

from laburnumstep import core
from laburnumstep_standins import caller
from laburnumstep_standins import processes
from laburnumstep_standins import settings

_ENGINES = ['gang-1', 'gang-2', 'gang-3', 'gang-4', 'gang-5']
_SERVICES = ['booking-1', 'booking-2', 'booking-3']
_WORKSPACE = 'callao'
_SECRET = 'callao-example-secret'
_PLAN_TOKENS = 120
_TOKENS_BEFORE_KILL = 30
_REQUEST_SECONDS = 30.0
"""Time from a request to its deadline, in seconds."""
_ENGINE_CONFIG = (
    '{"model": "gang-plan", "kv_tokens": 120000, "length_profiles":'
    ' [{"marker": "", "median_tokens": 500, "sigma": 0.1}]}'
)


class _DemoProcesses:
    """Stand-ins and entry VMs of the demo, each a process."""

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._stack = contextlib.AsyncExitStack()
        self.targets: dict[str, processes.Child] = {}
        self.vms: list[processes.Child] = []

    async def start(self) -> None:
        log = await self._enter('log', 'log')
        vmlist = await self._enter('vmlist', 'vmlist')
        weights = await self._enter('weights', 'weights')
        for name in _ENGINES:
            self.targets[name] = await self._enter(
                name, 'engine', '--config', _ENGINE_CONFIG
            )
        for name in _SERVICES:
            self.targets[name] = await self._enter(name, 'service')
        await anyio.to_thread.run_sync(
            publish_example, 'cuadrilla', self.addresses, log.address
        )
        seeds = ''
        for name, data_centre in (('vm-1', 'lima-1'), ('vm-2', 'lima-2')):
            text = settings.render_settings(
                name=name,
                data_centre=data_centre,
                log=log.address,
                vmlist=vmlist.address,
                weights=weights.address,
                seeds=seeds,
            )
            child = await self._stack.enter_async_context(
                processes.run_vm(name, text, self._directory)
            )
            self.vms.append(child)
            seeds = child.addresses['siblings']
        for vm in self.vms:
            await processes.wait_until_ready(vm.addresses['callers'])

    async def stop(self) -> None:
        await self._stack.aclose()

    @property
    def addresses(self) -> dict[str, str]:
        return {name: child.address for name, child in self.targets.items()}

    async def _enter(
        self, name: str, kind: str, *arguments: str
    ) -> processes.Child:
        return await self._stack.enter_async_context(
            processes.run_stand_in(name, kind, self._directory, *arguments)
        )


def publish_example(
    name: str, addresses: dict[str, str], log_address: str
) -> None:
    """Publish the configuration that an example program prints.

    Args:
        name: Name of the program in `examples/`, without its suffix.
        addresses: Address of each target, by name.
        log_address: Address of the log.

    Raises:
        CalledProcessError: The program or the publication failed.
    """
    command = [sys.executable, f'examples/{name}.py']
    for target, address in addresses.items():
        command += ['--address', f'{target}={address}']
    printed = subprocess.run(command, check=True, capture_output=True)
    operator = pathlib.Path(sys.executable).parent / 'laburnumstep-operator'
    subprocess.run(
        [str(operator), 'publish', '-', '--log', log_address]
        + ['--made-from', '0'],
        input=printed.stdout,
        check=True,
    )


async def run() -> int:
    """Run the demo.

    Returns:
        0 if all guarantees held, else 1.
    """
    with processes.make_directory() as name:
        demo_processes = _DemoProcesses(pathlib.Path(name))
        try:
            await demo_processes.start()
            held = await _run_scenarios(demo_processes)
            _print_decisions(demo_processes)
        finally:
            await demo_processes.stop()
    print('every promise shown held' if held else 'a promise was broken')
    return 0 if held else 1


async def _run_scenarios(demo_processes: _DemoProcesses) -> bool:
    addresses = [vm.addresses['callers'] for vm in demo_processes.vms]
    clock = core.SystemClock()
    client = caller.Caller(addresses, _WORKSPACE, _SECRET, clock)
    try:
        booked = await _run_booking(client, clock)
        planned = await _run_plan(client, clock, demo_processes)
    finally:
        await client.close()
    return planned and booked


async def _run_plan(
    client: caller.Caller, clock: core.Clock, demo_processes: _DemoProcesses
) -> bool:
    body = {
        'model': 'gang-plan',
        'prompt': 'Plan the night shift of hatches 1 to 4.',
        'max_tokens': _PLAN_TOKENS,
    }
    answer = caller.Answer()
    deadline = clock.now() + _REQUEST_SECONDS
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_kill_relaying_vm, answer, demo_processes)
            await client.generate(body, deadline, answer)
    except* caller.Broken as group:
        print(f'plan: broken: {group.exceptions}')
        answer.whole = False
    print(
        f'plan: {answer.position} tokens of generation {answer.generation},'
        f' each once and in order; whole={answer.whole}'
        f' resumed={answer.resumed}'
    )
    whole = answer.whole and answer.position == _PLAN_TOKENS
    return whole and answer.resumed == 1


async def _kill_relaying_vm(
    answer: caller.Answer, demo_processes: _DemoProcesses
) -> None:
    """Kill the VM that relays the stream after some tokens."""
    while answer.position < _TOKENS_BEFORE_KILL:
        await anyio.sleep(0.005)
    for vm in demo_processes.vms:
        if 'placed request' in vm.read_log():
            print(f'plan: {vm.name} is killed at token {answer.position}')
            vm.send_signal(signal.SIGKILL)
            return


async def _run_booking(client: caller.Caller, clock: core.Clock) -> bool:
    body: dict[str, typing.Any] = {
        'service': 'booking',
        'operation': 'confirm',
        'payload': {'gang': 'A7', 'hatch': 3},
    }
    key = client.issue_key()
    replies = [
        await client.call(body, key, clock.now() + _REQUEST_SECONDS)
        for _ in range(2)
    ]
    for number, reply in enumerate(replies, 1):
        print(f'booking: send {number} answered {reply.status} {reply.body}')
    return replies[0].outcome == 'ran' and replies[0] == replies[1]


def _print_decisions(demo_processes: _DemoProcesses) -> None:
    print('routing decisions:')
    for vm in demo_processes.vms:
        for line in vm.read_log().splitlines():
            if ' callers: ' in line or ' targets: ' in line:
                print(f'  {vm.name} {line}')
