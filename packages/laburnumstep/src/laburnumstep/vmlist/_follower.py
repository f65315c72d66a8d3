"""Polls the VM list and keeps the newest one."""

from __future__ import annotations

import random
import time
import typing

from laburnumstep import core
from laburnumstep.vmlist import _client
from laburnumstep.vmlist import _records

if typing.TYPE_CHECKING:
    import collections.abc

MIN_POLL_SECONDS = 1.0
"""Shortest time between polls, in seconds."""
POLL_BYTES_PER_SECOND = 3000.0
"""Bytes a second that a VM spends on polls, of its 10 KB/s for control. A
list of 370 entry VMs and 4,300 targets has about 560 KB, so each VM polls
every 187 s and all VMs together about twice a second; whoever sees a change
first gossips it."""
ANSWER_SECONDS = 2.0
"""Longest wait for an answer, in seconds."""
_LOG = core.get_logger('vmlist')


class VMListReader(typing.Protocol):
    """Reads the list; `VMListClient` does so over HTTP."""

    async def read(self, deadline: float) -> _records.VMList:
        """Read the list once."""
        ...


class VMListFollower:
    """One task that polls the VM list.

    Args:
        client: Reads the list.
        clock: Times the polls.
        on_change: Called with each list that is newer than the one before.
        randomness: Spreads the polls of the VMs.
    """

    def __init__(
        self,
        client: VMListReader,
        clock: core.Clock,
        on_change: collections.abc.Callable[[_records.VMList], None],
        randomness: random.Random,
    ) -> None:
        self._client = client
        self._clock = clock
        self._on_change = on_change
        self._randomness = randomness
        self._status: _records.ListStatus = _records.NotRead()

    @property
    def status(self) -> _records.ListStatus:
        """How well the list is known."""
        return self._status

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            wait = choose_interval(self._status, self._randomness)
            await self._clock.sleep_until(self._clock.now() + wait)

    async def poll(self) -> None:
        """Read the list once and keep it if it is newer."""
        try:
            # The connection's timeouts run on the machine's clock.
            vm_list = await self._client.read(time.time() + ANSWER_SECONDS)
        except _client.VMListUnavailable as error:
            self._note_failure(str(error))
            return
        match self._status:
            case _records.NotRead():
                self._accept(vm_list)
            case _records.Current(held) | _records.Outdated(held):
                if vm_list.as_of < held.as_of:
                    self._note_failure('the list is older than the last one')
                elif vm_list != held:
                    self._accept(vm_list)
                else:
                    self._status = _records.Current(held)
            case _:
                typing.assert_never(self._status)

    def _accept(self, vm_list: _records.VMList) -> None:
        self._status = _records.Current(vm_list)
        self._on_change(vm_list)

    def _note_failure(self, message: str) -> None:
        match self._status:
            case _records.NotRead() | _records.Outdated():
                _LOG.debug('list still not read: %s', message)
            case _records.Current(held):
                _LOG.warning('list not read: %s; keeping the last', message)
                now = self._clock.now()
                self._status = _records.Outdated(held, now)
            case _:
                typing.assert_never(self._status)


def choose_interval(
    status: _records.ListStatus, randomness: random.Random
) -> float:
    """Return the time to the next poll, in seconds."""
    match status:
        case _records.NotRead():
            size = 0
        case _records.Current(held) | _records.Outdated(held):
            size = held.encoded_bytes
        case _:
            typing.assert_never(status)
    wait = max(MIN_POLL_SECONDS, size / POLL_BYTES_PER_SECOND)
    return wait * randomness.uniform(0.8, 1.2)
