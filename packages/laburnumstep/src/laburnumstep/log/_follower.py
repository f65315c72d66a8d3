"""Follower of the configuration stream."""

from __future__ import annotations

import random
import typing

import anyio
import anyio.to_thread
import attrs

from laburnumstep import core
from laburnumstep.log import _client
from laburnumstep.log import _publications
from laburnumstep.log import _replay
from laburnumstep.log import _replay_pages
from laburnumstep.log import _snapshots

if typing.TYPE_CHECKING:
    from laburnumstep.log import _records

CONFIGURATION_STREAM = 'configuration'
"""Name of the stream to which operators publish."""
POLL_WAIT_SECONDS = 1.0
"""How long one read waits for a record, in seconds.

A read on a dead connection fails after this time plus the reply margin. The
sum must stay well below the 4 s within which a published version has to be
in force.
"""
REPLY_MARGIN_SECONDS = 1.0
"""Time allowed for a reply in addition to the wait, in seconds."""
PAGE_RECORDS = 500
"""Maximum number of records in one read."""
MIN_POLL_SECONDS = 0.25
"""Shortest time between two reads that return nothing, in seconds. It
prevents a busy loop if the log replies at once instead of waiting.
"""
FIRST_BACKOFF_SECONDS = 0.1
"""Delay after the first failed read, in seconds."""
MAX_BACKOFF_SECONDS = 1.0
"""Longest delay after failed reads, in seconds."""
MAX_LAG_SECONDS = 30.0
"""How long the log may end before the position of a configuration that was
adopted from a sibling, in seconds. Lagging reads catch up within this time; a
log that does not has lost records.
"""
MAX_INLINE_ITEMS = 50
"""Largest number of items that is replayed on the event loop, at about 60 us
each. Larger pages are replayed in a thread, as a change of 10,000 workspaces
would block token streams for 0.6 s.
"""
MIN_REPLAY_INTERVAL_SECONDS = 60.0
"""Shortest time between two replays from the start, in seconds."""

_LOGGER = core.get_logger('log')


class ConfigurationFollower:
    """Determines the configuration in force from the log and from siblings.

    Args:
        client: Client of the log.
        clock: Clock for deadlines and retries.
        stream: Name of the stream.
        random_source: Source of the jitter of retries.
        metrics: Counts the results of records and failed reads; None to
            count nothing.
    """

    def __init__(
        self,
        client: _client.LogClient,
        clock: core.Clock,
        stream: str = CONFIGURATION_STREAM,
        random_source: random.Random | None = None,
        metrics: core.Metrics | None = None,
    ) -> None:
        self._client = client
        self._metrics = metrics or core.Metrics(None, '')
        self._clock = clock
        self._stream = stream
        self._random_source = random_source or random.Random()
        self._replay = _replay.ConfigurationReplay()
        self._coverage = _snapshots.SnapshotCoverage()
        self._caught_up = False
        self._epoch: int | None = None
        self._last_end = 0
        self._lag_until: float | None = None
        self._next_replay_at = 0.0
        self._current: core.VersionedDeployment | None = None
        self._changed = anyio.Event()
        self._advanced = anyio.Event()

    @property
    def current(self) -> core.VersionedDeployment | None:
        """The configuration in force, or None if none is known."""
        return self._current

    @property
    def view(self) -> _snapshots.FollowerView:
        """State of this follower, for decisions about snapshots."""
        return _snapshots.FollowerView(
            self._replay.state,
            self._current,
            self._replay.position,
            self._caught_up and self._replay.complete,
            self._coverage.covered_since,
        )

    async def run(self) -> None:
        """Read the stream until cancelled."""
        failures = 0
        while True:
            replay, position = self._replay, self._replay.position
            # The event loop's clock measures how long the log waited; a
            # manual clock in a test does not advance during the read.
            started_at = anyio.current_time()
            try:
                page = await self._read()
            except _client.LogUnavailable as error:
                await self._back_off(failures, error)
                failures += 1
                continue
            if failures:
                _LOGGER.info('reads of stream %s succeed again', self._stream)
            failures = 0
            # An adopted configuration may have reset the replay meanwhile.
            if replay is self._replay:
                await self._apply_page(page)
            waited = anyio.current_time() - started_at
            unmoved = self._replay.position == position
            if unmoved and waited < MIN_POLL_SECONDS:
                resume_at = self._clock.now() + MIN_POLL_SECONDS
                await self._clock.sleep_until(resume_at)

    def adopt(self, state: core.VersionedDeployment) -> bool:
        """Adopt a configuration that a sibling has in force.

        Returns:
            Whether it is newer and consistent, and is now in force.
        """
        if self._current and state.version <= self._current.version:
            return False
        if core.digest_deployment(state.deployment) != state.digest:
            _LOGGER.warning(
                'rejected version %d from a sibling: digest mismatch',
                state.version,
            )
            return False
        if self._current is not None and not self._caught_up:
            # The log is being replayed from its start, and its result is
            # authoritative.
            return False
        connected = self._replay.rebase(state)
        if not connected and self._current and self._replay.complete:
            self._replay_from_start(
                f'a sibling has version {state.version} in force'
            )
            return False
        followed = self._replay.state if connected else None
        self._activate(followed or state, 'a sibling')
        return True

    async def wait_for_version(self, version: int) -> None:
        """Wait until the version in force is at least `version`."""
        while self._current is None or self._current.version < version:
            await self._changed.wait()

    async def wait_for_change(
        self, known: core.VersionedDeployment | None
    ) -> core.VersionedDeployment:
        """Wait until a configuration other than `known` is in force.

        Its version number can equal that of `known` if the log lost a
        version and another publication was accepted under its number.
        """
        while self._current is None or (
            known is not None and _is_same_version(self._current, known)
        ):
            await self._changed.wait()
        return self._current

    async def wait_for_view(
        self, accepts: typing.Callable[[_snapshots.FollowerView], bool]
    ) -> None:
        """Wait until a condition on `view` holds."""
        while not accepts(self.view):
            await self._advanced.wait()

    async def _read(self) -> _records.LogPage:
        deadline = self._clock.now() + POLL_WAIT_SECONDS + REPLY_MARGIN_SECONDS
        return await self._client.read(
            self._stream,
            self._replay.position,
            PAGE_RECORDS,
            POLL_WAIT_SECONDS,
            deadline,
        )

    async def _back_off(
        self, failures: int, error: _client.LogUnavailable
    ) -> None:
        self._metrics.count('configuration.failed_reads')
        if failures == 0:
            _LOGGER.warning('cannot read stream %s: %s', self._stream, error)
        longest = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**failures)
        delay = self._random_source.uniform(longest / 2, longest)
        await self._clock.sleep_until(self._clock.now() + delay)

    async def _apply_page(self, page: _records.LogPage) -> None:
        if self._is_truncated(page):
            self._handle_truncation(page)
            return
        self._last_end = page.end
        base, position = self._replay, self._replay.position
        replay = base.copy()
        items = await self._replay_page(replay, page)
        if self._replay is not base or base.position != position:
            # A configuration was adopted during the replay in a thread. The
            # page is read again.
            return
        self._replay = replay
        for item in items:
            self._coverage.record_replayed(item)
            self._record_result(item.offset, item.result)
        if self._replay is not replay:
            return
        self._caught_up = replay.position >= page.end
        state = replay.state
        if state is not None:
            self._activate(state, 'the log')
        self._notify_view_waiters()

    async def _replay_page(
        self, replay: _replay.ConfigurationReplay, page: _records.LogPage
    ) -> list[_replay_pages.ReplayedRecord]:
        if _replay_pages.count_items(replay, page) <= MAX_INLINE_ITEMS:
            return _replay_pages.replay_page(replay, page)
        return await anyio.to_thread.run_sync(
            _replay_pages.replay_page, replay, page
        )

    def _is_truncated(self, page: _records.LogPage) -> bool:
        known, self._epoch = self._epoch, page.epoch
        if known is not None and page.epoch != known:
            # The log may have grown beyond this position again.
            return True
        if page.end < self._last_end:
            return True
        if page.end >= self._replay.position:
            self._lag_until = None
            return False
        now = self._clock.now()
        if self._lag_until is None:
            self._lag_until = now + MAX_LAG_SECONDS
        return now >= self._lag_until

    def _handle_truncation(self, page: _records.LogPage) -> None:
        _LOGGER.error(
            'stream %s of epoch %d ends at %d but was read up to %d: the log'
            ' has lost records; keeping the configuration in force',
            self._stream,
            page.epoch,
            page.end,
            self._replay.position,
        )
        if self._current is not None:
            # Its offset does not refer to the records of the log any more.
            through = _publications.RESTORED_THROUGH
            self._current = attrs.evolve(self._current, through=through)
        self._reset_replay()

    def _replay_from_start(self, reason: str) -> None:
        now = self._clock.now()
        if now < self._next_replay_at:
            return
        self._next_replay_at = now + MIN_REPLAY_INTERVAL_SECONDS
        _LOGGER.error(
            'replaying stream %s from its start, because %s, which'
            ' contradicts the records read so far',
            self._stream,
            reason,
        )
        self._reset_replay()

    def _reset_replay(self) -> None:
        self._replay = _replay.ConfigurationReplay()
        self._coverage = _snapshots.SnapshotCoverage()
        self._caught_up = False
        self._last_end = 0
        self._lag_until = None
        self._notify_view_waiters()

    def _notify_view_waiters(self) -> None:
        self._advanced.set()
        self._advanced = anyio.Event()

    def _record_result(
        self, offset: int, result: _replay.ReplayResult
    ) -> None:
        if not isinstance(result, _replay.Unchanged):
            name = type(result).__name__.lower()
            self._metrics.count(f'configuration.{name}')
        match result:
            case _replay.Accepted(version=version):
                _LOGGER.info(
                    'accepted version %d at offset %d', version, offset
                )
            case _replay.Refused(made_from=made_from, in_force=in_force):
                _LOGGER.info(
                    'refused the publication at offset %d: made from version'
                    ' %d, but version %d is in force',
                    offset,
                    made_from,
                    in_force,
                )
            case _replay.Loaded(version=version, restored=restored):
                kind = 'restored' if restored else 'loaded'
                _LOGGER.info(
                    '%s version %d from the snapshot at offset %d',
                    kind,
                    version,
                    offset,
                )
            case _replay.Unusable(reason=reason):
                _LOGGER.error(
                    'skipped the snapshot at offset %d: %s', offset, reason
                )
            case _replay.Malformed(reason=reason):
                _LOGGER.error(
                    'skipped the record at offset %d of stream %s: it %s',
                    offset,
                    self._stream,
                    reason,
                )
            case _replay.Contradicted(version=version):
                self._replay_from_start(
                    f'record {offset} contains version {version}'
                )
            case _replay.Unchanged():
                pass
            case _:
                typing.assert_never(result)

    def _activate(self, state: core.VersionedDeployment, source: str) -> None:
        known = self._current
        if known is not None and state.version < known.version:
            return
        self._current = state
        if known is not None and _is_same_version(state, known):
            return
        _LOGGER.info(
            'version %d (digest %s) from %s is in force',
            state.version,
            state.digest,
            source,
        )
        self._metrics.set_gauge('configuration.version', state.version)
        self._changed.set()
        self._changed = anyio.Event()


def _is_same_version(
    one: core.VersionedDeployment, other: core.VersionedDeployment
) -> bool:
    return (one.version, one.digest) == (other.version, other.digest)
