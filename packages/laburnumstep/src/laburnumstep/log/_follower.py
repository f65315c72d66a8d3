"""Follows the configuration stream and tells the version in force."""

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

A read on a dead connection is noticed after this time and the margin for
the reply, which must leave room within the 4 s in which a version is to be
in force.
"""
REPLY_MARGIN_SECONDS = 1.0
"""Time for a reply beyond the wait, in seconds."""
PAGE_RECORDS = 500
"""Most records in one read."""
MIN_POLL_SECONDS = 0.25
"""Shortest time between two reads that bring nothing, in seconds. A log
that answers at once in place of waiting would else be asked in a loop.
"""
FIRST_BACKOFF_SECONDS = 0.1
"""Delay after the first failed read, in seconds."""
MAX_BACKOFF_SECONDS = 1.0
"""Longest delay after failed reads, in seconds."""
LAG_SECONDS = 30.0
"""How long the log may end before a position that a sibling gave, in
seconds. Reads may lag; a log that lost records does not catch up.
"""
INLINE_ITEMS = 50
"""Most items that are read between two tokens, at about 60 us each. A
change of 10,000 workspaces held token streams up for 0.6 s; larger pages
are read in a thread.
"""
RESTART_SECONDS = 60.0
"""Shortest time between two replays from the start, in seconds."""

_logger = core.get_logger('log')


class ConfigurationFollower:
    """Keeps the configuration in force, as the log and siblings give it.

    Args:
        client: Client of the log.
        clock: Tells the deadlines of reads and retries.
        stream: Name of the stream.
        chooser: Source of the jitter of retries.
        metrics: Counts verdicts and failed reads; None for none.
    """

    def __init__(
        self,
        client: _client.LogClient,
        clock: core.Clock,
        stream: str = CONFIGURATION_STREAM,
        chooser: random.Random | None = None,
        metrics: core.Metrics | None = None,
    ) -> None:
        self._client = client
        self._metrics = metrics or core.Metrics(None, '')
        self._clock = clock
        self._stream = stream
        self._random = chooser or random.Random()
        self._replay = _replay.ConfigurationReplay()
        self._coverage = _snapshots.SnapshotCoverage()
        self._caught_up = False
        self._seen_end = 0
        self._lag_until: float | None = None
        self._restart_at = 0.0
        self._current: core.VersionedDeployment | None = None
        self._changed = anyio.Event()
        self._advanced = anyio.Event()

    @property
    def current(self) -> core.VersionedDeployment | None:
        """The configuration in force, or None where none is known."""
        return self._current

    @property
    def view(self) -> _snapshots.FollowerView:
        """What this follower knows, for the choice of snapshots."""
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
            # Measures the log's wait, which a clock set by hand does not.
            started_at = anyio.current_time()
            try:
                page = await self._read()
            except _client.LogUnavailable as error:
                await self._back_off(failures, error)
                failures += 1
                continue
            if failures:
                _logger.info('reads of %s succeed again', self._stream)
            failures = 0
            # A sibling may have caused a new start during the read.
            if replay is self._replay:
                await self._take_page(page)
            waited = anyio.current_time() - started_at
            unmoved = self._replay.position == position
            if unmoved and waited < MIN_POLL_SECONDS:
                resume_at = self._clock.now() + MIN_POLL_SECONDS
                await self._clock.sleep_until(resume_at)

    def adopt(self, state: core.VersionedDeployment) -> bool:
        """Take over the configuration that another VM holds.

        Returns:
            Whether it was newer and consistent, and is now in force.
        """
        if self._current and state.version <= self._current.version:
            return False
        if core.digest_deployment(state.deployment) != state.digest:
            _logger.warning(
                'version %d from a sibling does not match its digest',
                state.version,
            )
            return False
        if self._current is not None and not self._caught_up:
            # The log is being replayed from its start and decides.
            return False
        connected = self._replay.rebase(state)
        if not connected and self._current and self._replay.complete:
            self._restart(f'a sibling holds version {state.version}')
            return False
        followed = self._replay.state if connected else None
        self._put_in_force(followed or state, 'a sibling')
        return True

    async def wait_for_version(self, version: int) -> None:
        """Wait until the version in force is at least `version`."""
        while self._current is None or self._current.version < version:
            await self._changed.wait()

    async def wait_for_change(
        self, known: core.VersionedDeployment | None
    ) -> core.VersionedDeployment:
        """Wait until another configuration than `known` is in force.

        Its version is the same as before where the log lost a version and
        gave its number to another one.
        """
        while self._current is None or (
            known is not None and _is_same(self._current, known)
        ):
            await self._changed.wait()
        return self._current

    async def wait_for_view(
        self, accepts: typing.Callable[[_snapshots.FollowerView], bool]
    ) -> None:
        """Wait until what this follower has read fulfils a condition."""
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
            _logger.warning('reads of %s fail: %s', self._stream, error)
        longest = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**failures)
        delay = self._random.uniform(longest / 2, longest)
        await self._clock.sleep_until(self._clock.now() + delay)

    async def _take_page(self, page: _records.LogPage) -> None:
        if self._is_reset(page):
            self._follow_reset(page)
            return
        self._seen_end = page.end
        base, position = self._replay, self._replay.position
        replay = base.copy()
        items = await self._replay_page(replay, page)
        if self._replay is not base or base.position != position:
            # A sibling's configuration came first; the page is read again.
            return
        self._replay = replay
        for item in items:
            self._coverage.observe(item)
            self._report(item.offset, item.verdict)
        if self._replay is not replay:
            return
        self._caught_up = replay.position >= page.end
        state = replay.state
        if state is not None:
            self._put_in_force(state, 'the log')
        self._signal_advance()

    async def _replay_page(
        self, replay: _replay.ConfigurationReplay, page: _records.LogPage
    ) -> list[_replay_pages.ReplayedRecord]:
        if _replay_pages.estimate_work(replay, page) <= INLINE_ITEMS:
            return _replay_pages.replay_page(replay, page)
        return await anyio.to_thread.run_sync(
            _replay_pages.replay_page, replay, page
        )

    def _is_reset(self, page: _records.LogPage) -> bool:
        if page.end < self._seen_end:
            return True
        if page.end >= self._replay.position:
            self._lag_until = None
            return False
        now = self._clock.now()
        if self._lag_until is None:
            self._lag_until = now + LAG_SECONDS
        return now >= self._lag_until

    def _follow_reset(self, page: _records.LogPage) -> None:
        _logger.error(
            '%s ends at %d, but was read up to %d: the log has lost records;'
            ' the configuration in force is kept',
            self._stream,
            page.end,
            self._replay.position,
        )
        if self._current is not None:
            # Its position means nothing in the log as it is now.
            through = _publications.RESTORED_THROUGH
            self._current = attrs.evolve(self._current, through=through)
        self._start_over()

    def _restart(self, reason: str) -> None:
        now = self._clock.now()
        if now < self._restart_at:
            return
        self._restart_at = now + RESTART_SECONDS
        _logger.error(
            'replaying %s from its start, because %s, which contradicts'
            ' what was read of it',
            self._stream,
            reason,
        )
        self._start_over()

    def _start_over(self) -> None:
        self._replay = _replay.ConfigurationReplay()
        self._coverage = _snapshots.SnapshotCoverage()
        self._caught_up = False
        self._seen_end = 0
        self._lag_until = None
        self._signal_advance()

    def _signal_advance(self) -> None:
        self._advanced.set()
        self._advanced = anyio.Event()

    def _report(self, offset: int, verdict: _replay.Verdict) -> None:
        if not isinstance(verdict, _replay.Unchanged):
            name = type(verdict).__name__.lower()
            self._metrics.count(f'configuration.{name}')
        match verdict:
            case _replay.Accepted(version=version):
                _logger.info('accepted version %d at %d', version, offset)
            case _replay.Refused(made_from=made_from, in_force=in_force):
                _logger.info(
                    'refused the publication at %d: made from %d, not %d',
                    offset,
                    made_from,
                    in_force,
                )
            case _replay.Loaded(version=version, restored=restored):
                kind = 'restored' if restored else 'loaded'
                _logger.info(
                    '%s version %d from the snapshot at %d',
                    kind,
                    version,
                    offset,
                )
            case _replay.Unusable(reason=reason):
                _logger.error('skipped the snapshot at %d: %s', offset, reason)
            case _replay.Malformed(reason=reason):
                _logger.error(
                    'skipped record %d of %s: it %s',
                    offset,
                    self._stream,
                    reason,
                )
            case _replay.Contradicted(version=version):
                self._restart(f'record {offset} holds version {version}')
            case _replay.Unchanged():
                pass
            case _:
                typing.assert_never(verdict)

    def _put_in_force(
        self, state: core.VersionedDeployment, source: str
    ) -> None:
        known = self._current
        if known is not None and state.version < known.version:
            return
        self._current = state
        if known is not None and _is_same(state, known):
            return
        _logger.info(
            'version %d (%s) from %s is in force',
            state.version,
            state.digest,
            source,
        )
        self._metrics.set_gauge('configuration.version', state.version)
        self._changed.set()
        self._changed = anyio.Event()


def _is_same(
    one: core.VersionedDeployment, other: core.VersionedDeployment
) -> bool:
    return (one.version, one.digest) == (other.version, other.digest)
