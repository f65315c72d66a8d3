"""Follower that polls the VM list."""

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
"""Bytes a second that a VM may use for polls, out of 10 KB/s for control
traffic. The list of 370 entry VMs and 4,300 targets has about 560 KB, so each
VM polls every 187 s, and all VMs together poll about twice a second. The VM
that reads a change first announces it by gossip."""
READ_TIMEOUT_SECONDS = 2.0
"""Longest time for a read of the list, in seconds."""
_LOG = core.get_logger('vmlist')


class VMListReader(typing.Protocol):
    """Source of VM lists, implemented by `VMListClient`."""

    async def read(self, deadline: float) -> _records.VMList:
        """Read the list once."""
        ...


class VMListFollower:
    """Polls the VM list and keeps the newest one.

    Args:
        client: Reads the list.
        clock: Clock for the intervals between polls.
        on_change: Called with each list that differs from the one before.
        random_source: Source of the jitter that spreads the polls of VMs.
    """

    def __init__(
        self,
        client: VMListReader,
        clock: core.Clock,
        on_change: collections.abc.Callable[[_records.VMList], None],
        random_source: random.Random,
    ) -> None:
        self._client = client
        self._clock = clock
        self._on_change = on_change
        self._random_source = random_source
        self._status: _records.ListStatus = _records.NotRead()

    @property
    def status(self) -> _records.ListStatus:
        """The newest list, and whether the last poll confirmed it."""
        return self._status

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            wait = choose_poll_interval(self._status, self._random_source)
            await self._clock.sleep_until(self._clock.now() + wait)

    async def poll(self) -> None:
        """Read the list once and keep it unless it is older."""
        try:
            # HTTP timeouts use the machine's clock, not `self._clock`.
            vm_list = await self._client.read(
                time.time() + READ_TIMEOUT_SECONDS
            )
        except _client.VMListUnavailable as error:
            self._record_failure(str(error))
            return
        match self._status:
            case _records.NotRead():
                self._apply_list(vm_list)
            case _records.Current(previous) | _records.Outdated(previous):
                if vm_list.as_of < previous.as_of:
                    self._record_failure(
                        'the list is older than the previous one'
                    )
                elif vm_list != previous:
                    self._apply_list(vm_list)
                else:
                    self._status = _records.Current(previous)
            case _:
                typing.assert_never(self._status)

    def _apply_list(self, vm_list: _records.VMList) -> None:
        self._status = _records.Current(vm_list)
        self._on_change(vm_list)

    def _record_failure(self, message: str) -> None:
        match self._status:
            case _records.NotRead() | _records.Outdated():
                _LOG.debug('cannot read the list: %s', message)
            case _records.Current(previous):
                _LOG.warning(
                    'cannot read the list: %s; keeping the previous one',
                    message,
                )
                now = self._clock.now()
                self._status = _records.Outdated(previous, now)
            case _:
                typing.assert_never(self._status)


def choose_poll_interval(
    status: _records.ListStatus, random_source: random.Random
) -> float:
    """Return the time until the next poll, in seconds."""
    match status:
        case _records.NotRead():
            size = 0
        case _records.Current(previous) | _records.Outdated(previous):
            size = previous.encoded_bytes
        case _:
            typing.assert_never(status)
    wait = max(MIN_POLL_SECONDS, size / POLL_BYTES_PER_SECOND)
    return wait * random_source.uniform(0.8, 1.2)
