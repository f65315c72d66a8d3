"""Random schedules of calls and faults that a seed reproduces."""

from __future__ import annotations

import random
import typing

import anyio
import anyio.lowlevel

from laburnumstep import log

if typing.TYPE_CHECKING:
    from support import claims_harness

MAX_KEYS = 12
"""Number of keys that the calls of a schedule use."""
MAX_PAUSE_TURNS = 60
"""Most turns of the event loop between two steps."""


class Schedule:
    """Runs random steps on a harness.

    Args:
        harness: Harness with the VMs, the log and the service.
        seed: Seed of the random choice of steps.
    """

    def __init__(
        self, harness: claims_harness.ClaimsHarness, seed: int
    ) -> None:
        self._harness = harness
        self._random = random.Random(seed)
        self._names = [f'k{number}' for number in range(MAX_KEYS)]
        self._ended: list[anyio.Event] = []
        self._started = 0

    async def run(self, steps: int) -> None:
        """Run random steps, end all faults and wait for the calls.

        Args:
            steps: Number of steps.
        """
        actions = [self._post] * 8 + [
            self._kill,
            self._pause_claims,
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
            for _ in range(self._random.randrange(MAX_PAUSE_TURNS)):
                await anyio.lowlevel.checkpoint()
        self._end_faults()
        for event in self._ended:
            await self._harness.run_until(event)

    def _choose_vm(self) -> claims_harness.VM:
        return self._harness.vms[
            self._random.choice(sorted(self._harness.vms))
        ]

    def _post(self) -> None:
        name = self._random.choice(self._names)
        if name in self._harness.keys:
            # Callers do not resend a key that counts as fresh: a VM assumes
            # that such a key belongs to a first request.
            age = (
                self._harness.clock.now() - self._harness.keys[name].issued_at
            )
            if age <= log.FIRST_REQUEST_SECONDS:
                return
        vm = self._choose_vm()
        if name in vm.ended and not vm.ended[name].is_set():
            return
        seconds = self._random.choice([0.5, 5.0, 30.0])
        self._harness.start_call(vm.name, name, seconds=seconds)
        self._ended.append(vm.ended[name])

    def _kill(self) -> None:
        self._harness.kill(self._choose_vm().name)
        self._started += 1
        self._harness.add_vm(f'vm-{self._started}')

    def _pause_claims(self) -> None:
        self._choose_vm().claims.paused = True

    def _fail_log(self) -> None:
        self._harness.log.set_faults(outage=True)

    def _lose_log_replies(self) -> None:
        self._harness.log.set_faults(lost_replies=self._random.randrange(1, 4))

    def _lose_service_replies(self) -> None:
        count = self._random.randrange(1, 3)
        self._harness.service.set_faults(lost_replies=count)

    def _refuse(self) -> None:
        self._harness.service.set_faults(refuse=True)

    def _delay(self) -> None:
        self._harness.service.set_faults(delayed=True)

    def _change_query(self) -> None:
        self._harness.operation = type(self._harness.operation)(
            False, self._random.random() < 0.5
        )

    def _change_owner(self) -> None:
        forwarder = self._choose_vm().forwarder
        owners = [None, *sorted(self._harness.vms)]
        forwarder.owner_name = self._random.choice(owners)
        forwarder.cut = self._random.random() < 0.2
        forwarder.lose_answers = self._random.random() < 0.2

    def _append_malformed(self) -> None:
        number = self._random.randrange(log.PARTITIONS)
        self._harness.log.get_stream(f'claims-{number:02}').append([{'a': 1}])

    def _advance(self) -> None:
        seconds = self._random.choice([0.1, 0.3, 1.0, 3.0, 20.0])
        self._harness.clock.advance(seconds)

    def _end_faults(self) -> None:
        self._harness.log.set_faults(outage=False, lost_replies=0)
        self._harness.service.set_faults(
            lost_replies=0, refuse=False, delayed=False
        )
        for vm in self._harness.vms.values():
            vm.claims.paused = False
            vm.claims.resumed.set()
            vm.claims.resumed = anyio.Event()
