"""Follows the configuration stream and tells the version in force."""

from __future__ import annotations

import random
import typing

import anyio

from laburnumstep import core
from laburnumstep.log import _client
from laburnumstep.log import _configuration_codec
from laburnumstep.log import _replay

if typing.TYPE_CHECKING:
    from laburnumstep.log import _publications
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
FIRST_BACKOFF_SECONDS = 0.1
"""Delay after the first failed read, in seconds."""
MAX_BACKOFF_SECONDS = 1.0
"""Longest delay after failed reads, in seconds."""

_logger = core.get_logger('log')


class ConfigurationFollower:
    """Keeps the configuration in force, as the log and siblings give it.

    Args:
        client: Client of the log.
        clock: Tells the deadlines of reads and retries.
        stream: Name of the stream.
        chooser: Source of the jitter of retries.
    """

    def __init__(
        self,
        client: _client.LogClient,
        clock: core.Clock,
        stream: str = CONFIGURATION_STREAM,
        chooser: random.Random | None = None,
    ) -> None:
        self._client = client
        self._clock = clock
        self._stream = stream
        self._random = chooser or random.Random()
        self._replay = _replay.ConfigurationReplay()
        self._current: core.VersionedDeployment | None = None
        self._changed = anyio.Event()
        self._advanced = anyio.Event()

    @property
    def current(self) -> core.VersionedDeployment | None:
        """The configuration in force, or None where none is known."""
        return self._current

    async def run(self) -> None:
        """Read the stream until cancelled."""
        failures = 0
        while True:
            try:
                page = await self._read()
            except _client.LogUnavailable as error:
                await self._back_off(failures, error)
                failures += 1
                continue
            if failures:
                _logger.info('reads of %s succeed again', self._stream)
            failures = 0
            self._take_page(page)

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
        connected = self._replay.rebase(state)
        if not connected and self._current and self._replay.complete:
            _logger.warning(
                'version %d from a sibling contradicts the log',
                state.version,
            )
            return False
        followed = self._replay.state if connected else None
        self._put_in_force(followed or state, 'a sibling')
        return True

    async def wait_for_version(self, version: int) -> None:
        """Wait until the version in force is at least `version`."""
        while self._current is None or self._current.version < version:
            await self._changed.wait()

    async def wait_for_position(self, offset: int) -> None:
        """Wait until every record before `offset` has been read."""
        while self._replay.position < offset:
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
        if failures == 0:
            _logger.warning('reads of %s fail: %s', self._stream, error)
        longest = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**failures)
        delay = self._random.uniform(longest / 2, longest)
        await self._clock.sleep_until(self._clock.now() + delay)

    def _take_page(self, page: _records.LogPage) -> None:
        for record in page.records:
            decoded = self._decode(record)
            verdict = self._replay.observe(record.offset, decoded)
            self._report(record.offset, verdict)
        if not page.records and page.first > self._replay.position:
            self._replay.skip_to(page.first)
        state = self._replay.state
        if state is not None:
            self._put_in_force(state, 'the log')
        self._advanced.set()
        self._advanced = anyio.Event()

    def _decode(
        self, record: _records.LogRecord
    ) -> _publications.ConfigurationRecord | None:
        try:
            return _configuration_codec.decode_record(record.data)
        except _configuration_codec.BadRecord as error:
            _logger.error(
                'skipped record %d of %s: it %s',
                record.offset,
                self._stream,
                error,
            )
            return None

    def _report(self, offset: int, verdict: _replay.Verdict) -> None:
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
        self._changed.set()
        self._changed = anyio.Event()


def _is_same(
    one: core.VersionedDeployment, other: core.VersionedDeployment
) -> bool:
    return (one.version, one.digest) == (other.version, other.digest)
