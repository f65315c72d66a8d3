"""Random schedules of calls and faults, from a seed."""

from __future__ import annotations

import random
import typing

import anyio
import anyio.lowlevel

from laburnumstep import log

if typing.TYPE_CHECKING:
    from support import claims_rig

MAX_KEYS = 12
MAX_PAUSE = 60
"""Turns of the event loop between two steps, at most."""


class Schedule:
    """Runs random steps against a rig.

    Args:
        rig: The rig.
        seed: Decides every step.
    """

    def __init__(self, rig: claims_rig.Rig, seed: int) -> None:
        self._rig = rig
        self._random = random.Random(seed)
        self._names = [f'k{number}' for number in range(MAX_KEYS)]
        self._ended: list[anyio.Event] = []
        self._started = 0

    async def run(self, steps: int) -> None:
        """Run a number of steps, end every fault and wait for the calls."""
        actions = [self._post] * 8 + [
            self._kill,
            self._hold,
            self._fail_log,
            self._lose_log_replies,
            self._lose_service_replies,
            self._refuse,
            self._delay,
            self._change_query,
            self._change_owner,
            self._append_malformed,
            self._advance,
            self._advance,
            self._end_faults,
        ]
        for _ in range(steps):
            self._random.choice(actions)()
            for _ in range(self._random.randrange(MAX_PAUSE)):
                await anyio.lowlevel.checkpoint()
        self._end_faults()
        for event in self._ended:
            await self._rig.run_until(event)

    def _choose_vm(self) -> claims_rig.VM:
        return self._rig.vms[self._random.choice(sorted(self._rig.vms))]

    def _post(self) -> None:
        name = self._random.choice(self._names)
        if name in self._rig.keys:
            # A caller does not send a key again while it counts as fresh.
            age = self._rig.clock.now() - self._rig.keys[name].issued_at
            if age <= log.FIRST_REQUEST_SECONDS:
                return
        vm = self._choose_vm()
        if name in vm.ended and not vm.ended[name].is_set():
            return
        seconds = self._random.choice([0.5, 5.0, 30.0])
        self._rig.start_call(vm.name, name, seconds=seconds)
        self._ended.append(vm.ended[name])

    def _kill(self) -> None:
        self._rig.kill(self._choose_vm().name)
        self._started += 1
        self._rig.add_vm(f'vm-{self._started}')

    def _hold(self) -> None:
        self._choose_vm().claims.hold = True

    def _fail_log(self) -> None:
        self._rig.log.set_faults(outage=True)

    def _lose_log_replies(self) -> None:
        self._rig.log.set_faults(lost_replies=self._random.randrange(1, 4))

    def _lose_service_replies(self) -> None:
        count = self._random.randrange(1, 3)
        self._rig.service.set_faults(lost_replies=count)

    def _refuse(self) -> None:
        self._rig.service.set_faults(refuse=True)

    def _delay(self) -> None:
        self._rig.service.set_faults(delayed=True)

    def _change_query(self) -> None:
        self._rig.operation = type(self._rig.operation)(
            False, self._random.random() < 0.5
        )

    def _change_owner(self) -> None:
        forwarder = self._choose_vm().forwarder
        owners = [None, *sorted(self._rig.vms)]
        forwarder.owner_name = self._random.choice(owners)
        forwarder.cut = self._random.random() < 0.2
        forwarder.lose_answers = self._random.random() < 0.2

    def _append_malformed(self) -> None:
        number = self._random.randrange(log.PARTITIONS)
        self._rig.log.find_stream(f'claims-{number:02}').append([{'a': 1}])

    def _advance(self) -> None:
        seconds = self._random.choice([0.1, 0.3, 1.0, 3.0, 20.0])
        self._rig.clock.advance(seconds)

    def _end_faults(self) -> None:
        self._rig.log.set_faults(outage=False, lost_replies=0)
        self._rig.service.set_faults(
            lost_replies=0, refuse=False, delayed=False
        )
        for vm in self._rig.vms.values():
            vm.claims.hold = False
            vm.claims.go_on.set()
            vm.claims.go_on = anyio.Event()
