"""Periodic append of snapshots to the configuration stream."""

from __future__ import annotations

import random
import typing

import anyio.to_thread

from laburnumstep import core
from laburnumstep.log import _client
from laburnumstep.log import _configuration_codec
from laburnumstep.log import _follower
from laburnumstep.log import _snapshots

CHECK_INTERVAL_SECONDS = 5.0
"""Time between two checks for a due snapshot, in seconds."""
CHOSEN_SECONDS = 30.0
"""How long the same VM is chosen to append snapshots, in seconds.

If it has failed or has not read the log, another VM is chosen after this
time.
"""
MAX_JITTER_SECONDS = 2.0
"""Longest random delay before an append, in seconds. VMs with different lists
of live VMs can each choose themselves; the delay gives one of them time to
read the snapshot of the other.
"""
APPEND_TIMEOUT_SECONDS = 10.0
"""Longest time for an append, in seconds."""

_LOGGER = core.get_logger('log')


class SnapshotRepublisher:
    """Keeps a usable snapshot in the log, in turn with the other VMs.

    Args:
        client: Client of the log.
        clock: Clock for checks and deadlines.
        follower: Follower of the same stream.
        vm: Name of this VM.
        list_vms: Returns the names of the live VMs, including this one.
        retention_seconds: How long the log keeps records, in seconds.
        stream: Name of the stream.
        random_source: Source of the jitter.
    """

    def __init__(
        self,
        client: _client.LogClient,
        clock: core.Clock,
        follower: _follower.ConfigurationFollower,
        vm: str,
        list_vms: typing.Callable[[], list[str]],
        retention_seconds: float,
        stream: str = _follower.CONFIGURATION_STREAM,
        random_source: random.Random | None = None,
    ) -> None:
        self._client = client
        self._clock = clock
        self._follower = follower
        self._vm = vm
        self._list_vms = list_vms
        self._retention_seconds = retention_seconds
        self._stream = stream
        self._random_source = random_source or random.Random()

    async def run(self) -> None:
        """Append due snapshots until cancelled."""
        while True:
            await self._clock.sleep_until(
                self._clock.now() + CHECK_INTERVAL_SECONDS
            )
            if not self._is_due():
                continue
            delay = self._random_source.uniform(0, MAX_JITTER_SECONDS)
            await self._clock.sleep_until(self._clock.now() + delay)
            decision = self._decide()
            match decision:
                case _snapshots.AppendSnapshot():
                    await self._append(decision)
                case _snapshots.NoSnapshot():
                    pass
                case _:
                    typing.assert_never(decision)

    def _is_due(self) -> bool:
        if isinstance(self._decide(), _snapshots.NoSnapshot):
            return False
        period = int(self._clock.now() // CHOSEN_SECONDS)
        chosen = core.choose_by_rendezvous(
            f'{self._stream}|{period}', self._list_vms()
        )
        return chosen == self._vm

    def _decide(self) -> _snapshots.SnapshotDecision:
        return _snapshots.decide_snapshot(
            self._follower.view, self._clock.now(), self._retention_seconds
        )

    async def _append(self, decision: _snapshots.AppendSnapshot) -> None:
        state = decision.state
        # Encoding 10,000 workspaces takes about 40 ms, which would delay
        # token streams on the event loop.
        record = await anyio.to_thread.run_sync(
            _configuration_codec.encode_snapshot, state
        )
        deadline = self._clock.now() + APPEND_TIMEOUT_SECONDS
        try:
            await self._client.append(self._stream, [record], deadline)
        except (
            _client.LogUnavailable,
            _client.AppendRateExceeded,
        ) as error:
            _LOGGER.warning(
                'could not append a snapshot of version %d: %s',
                state.version,
                error,
            )
            return
        _LOGGER.info(
            'appended a snapshot of version %d: %s',
            state.version,
            decision.reason,
        )
