"""Recent records of a keyed topic, kept for other VMs."""

from __future__ import annotations

import collections
import operator
import typing

import anyio

from laburnumstep import core
from laburnumstep.log import _keyed_follower

MAX_RECENT_RECORDS = 1024
"""Limit of the recent records. A reader that is further behind starts again
with the newest record of each key."""
MAX_RECENT_BYTES = 4 * 1024 * 1024
"""Limit of the values of the recent records, in bytes."""

Fingerprint = typing.Callable[[bytes], typing.Hashable]
FingerprintCheck = typing.Callable[[typing.Hashable, typing.Hashable], bool]
"""Returns whether a value has changed, by the former and new fingerprint."""


class TopicCache:
    """Newest and recent records of a keyed topic that this VM follows.

    A record that repeats the value of its key is left out, so that readers
    are not woken by renewals.

    Args:
        clock: Clock of the waits.
        find_fingerprint: Returns what has to differ for a value to count as
            changed.
        is_changed: Compares the fingerprints of two values of a key.
    """

    def __init__(
        self,
        clock: core.Clock,
        find_fingerprint: Fingerprint,
        is_changed: FingerprintCheck = operator.ne,
    ) -> None:
        self._clock = clock
        self._is_changed = is_changed
        self._find_fingerprint = find_fingerprint
        self._newest: dict[str, _keyed_follower.KeyedRecord] = {}
        self._fingerprints: dict[str, typing.Hashable] = {}
        self._recent: collections.deque[_keyed_follower.KeyedRecord] = (
            collections.deque()
        )
        self._recent_bytes = 0
        self._first_offset = 0
        self._position: _keyed_follower.TopicPosition | None = None
        self._complete_at = 0.0
        self._available = False
        self._changed = anyio.Event()

    @property
    def position(self) -> _keyed_follower.TopicPosition | None:
        """Position after the last known record; None before a first read."""
        return self._position

    @property
    def complete_at(self) -> float:
        """When the cache last had every record, in epoch seconds."""
        return self._complete_at

    def replace(
        self, page: _keyed_follower.KeyedPage, complete_at: float
    ) -> None:
        """Replace all records by the newest record of each key.

        Args:
            page: The records.
            complete_at: When they were complete, in epoch seconds.
        """
        self._newest = {}
        self._fingerprints = {}
        self._recent.clear()
        self._recent_bytes = 0
        self._first_offset = page.next_position.offset
        self._position = page.next_position
        for record in page.records:
            self._put(record)
        self._confirm(complete_at)
        self._wake_readers()

    def extend(
        self, page: _keyed_follower.KeyedPage, complete_at: float
    ) -> None:
        """Add the records that follow the last known one.

        Records of another epoch follow none of the known ones, so the cache
        refuses readers until it is replaced.

        Args:
            page: The records.
            complete_at: When they were complete, in epoch seconds.
        """
        known = self._position
        if known is None or known.epoch != page.next_position.epoch:
            self.record_failure()
            return
        changed = False
        for record in page.records:
            if self._put(record):
                self._recent.append(record)
                self._recent_bytes += len(record.value or b'')
                changed = True
        self._position = max(known, page.next_position)
        self._drop_oldest()
        self._confirm(complete_at)
        if changed:
            self._wake_readers()

    def record_failure(self) -> None:
        """Refuse readers until the topic has been read again."""
        self._available = False
        self._wake_readers()

    async def read_newest(
        self,
        start: _keyed_follower.TopicPosition | None,
        wait_until: float,
    ) -> _keyed_follower.KeyedPage:
        """Return the newest record of each key.

        Args:
            start: Position that the cache has to have reached, if any.
            wait_until: End of the wait for the first read of the topic, in
                epoch seconds.

        Raises:
            TopicUnavailable: The cache has not, or cannot be updated.
        """
        while self._position is None and self._clock.now() < wait_until:
            await self._wait_for_change(wait_until)
        position = self._require_available()
        if start is not None and position < start:
            raise _keyed_follower.TopicUnavailable('the cache is behind')
        return _keyed_follower.KeyedPage(list(self._newest.values()), position)

    async def read_from(
        self, start: _keyed_follower.TopicPosition, wait_until: float
    ) -> _keyed_follower.KeyedPage:
        """Return the records from a position on, and wait for a first one.

        Args:
            start: Position of the first record.
            wait_until: End of the wait, in epoch seconds.

        Raises:
            HistoryLost: The first record is no longer kept.
            EpochChanged: The position belongs to an earlier epoch.
            TopicUnavailable: The cache cannot be updated, or is of an
                earlier epoch itself.
        """
        page = self._read_recent(start)
        while not page.records and self._clock.now() < wait_until:
            await self._wait_for_change(wait_until)
            page = self._read_recent(start)
        return page

    async def _wait_for_change(self, wait_until: float) -> None:
        await core.wait_until(self._clock, self._changed, wait_until)

    def _read_recent(
        self, start: _keyed_follower.TopicPosition
    ) -> _keyed_follower.KeyedPage:
        position = self._require_available()
        if start.epoch < position.epoch:
            raise _keyed_follower.EpochChanged
        if start.epoch > position.epoch:
            raise _keyed_follower.TopicUnavailable('the cache is behind')
        if start.offset < self._first_offset:
            raise _keyed_follower.HistoryLost
        records = [
            item for item in self._recent if item.offset >= start.offset
        ]
        return _keyed_follower.KeyedPage(records, max(start, position))

    def _require_available(self) -> _keyed_follower.TopicPosition:
        if self._position is None or not self._available:
            raise _keyed_follower.TopicUnavailable('the cache is not updated')
        return self._position

    def _put(self, record: _keyed_follower.KeyedRecord) -> bool:
        """Store a record; return whether the value of its key changed."""
        if record.value is None:
            self._fingerprints.pop(record.key, None)
            return self._newest.pop(record.key, None) is not None
        fingerprint = self._find_fingerprint(record.value)
        previous = self._fingerprints.get(record.key)
        changed = previous is None or self._is_changed(previous, fingerprint)
        self._newest[record.key] = record
        self._fingerprints[record.key] = fingerprint
        return changed

    def _drop_oldest(self) -> None:
        while (
            len(self._recent) > MAX_RECENT_RECORDS
            or self._recent_bytes > MAX_RECENT_BYTES
        ):
            dropped = self._recent.popleft()
            self._recent_bytes -= len(dropped.value or b'')
            self._first_offset = dropped.offset + 1

    def _confirm(self, complete_at: float) -> None:
        self._complete_at = max(self._complete_at, complete_at)
        self._available = True

    def _wake_readers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
