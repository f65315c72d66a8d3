"""Follows a topic of the log that keeps the newest record of each key."""

from __future__ import annotations

import random
import typing

import attrs

from laburnumstep import core

WAIT_SECONDS = 1.5
"""How long the log may wait for a record. A connection that went silent is
noticed after this and the reply margin, so it bounds how stale a VM is. A
new version has to be in force 2.5 s after its acknowledgement."""
REPLY_SECONDS = 0.8
"""Time for a reply beyond the wait asked for, in seconds."""
SNAPSHOT_SECONDS = 2.0
"""Longest time for reading the newest records, in seconds."""
MIN_RETRY_SECONDS = 0.1
"""First pause after a read that failed, in seconds."""
MAX_RETRY_SECONDS = 0.8
"""Longest pause between reads that fail, in seconds."""

_LOGGER = core.get_logger('log')


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic."""

    key: str
    """Key of the record."""
    value: bytes | None
    """Value, or None where the key was dropped."""
    offset: int
    """Offset in the topic."""


@attrs.frozen
class KeyedPage:
    """Records of a keyed topic."""

    records: list[KeyedRecord]
    """Records in the order of their offsets."""
    following: int
    """Offset from which to read on."""


class TopicUnavailable(Exception):
    """The topic could not be read."""


class HistoryLost(Exception):
    """Records between the reader's offset and now were deleted."""


class KeyedTopic(typing.Protocol):
    """One keyed topic of the log."""

    async def read_newest(self, deadline: float) -> KeyedPage:
        """Return the newest record of each key.

        Raises:
            TopicUnavailable: The topic could not be read.
        """
        ...

    async def read_from(
        self, offset: int, wait_until: float, deadline: float
    ) -> KeyedPage:
        """Return records from an offset on.

        Args:
            offset: First offset wanted.
            wait_until: How long to wait for a record, in epoch seconds.
            deadline: When to give up, in epoch seconds.

        Raises:
            HistoryLost: The offset is no longer retained.
            TopicUnavailable: The topic could not be read.
        """
        ...


class KeyedReader(typing.Protocol):
    """Takes in the records of a keyed topic."""

    def apply_snapshot(self, records: list[KeyedRecord]) -> None:
        """Replace all that is known by the newest record of each key."""
        ...

    def apply_records(self, records: list[KeyedRecord]) -> None:
        """Take in records in the order of their offsets."""
        ...

    def note_failure(self) -> None:
        """Take note that the topic could not be read."""
        ...


class KeyedFollower:
    """Keeps a reader up to date with a keyed topic.

    Args:
        name: Name of the topic, for logs.
        topic: The topic.
        reader: Takes in the records.
        clock: Bounds the reads.
        find_pause: Returns the shortest time between reads, in seconds;
            records that come in between are taken in with one call.
    """

    def __init__(
        self,
        name: str,
        topic: KeyedTopic,
        reader: KeyedReader,
        clock: core.Clock,
        find_pause: typing.Callable[[], float],
    ) -> None:
        self._name = name
        self._topic = topic
        self._reader = reader
        self._clock = clock
        self._find_pause = find_pause
        self._following: int | None = None
        self._failures = 0
        self._rng = random.Random()

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                await self._read()
            except HistoryLost:
                _LOGGER.warning('history lost; topic=%s', self._name)
                self._following = None
                continue
            except TopicUnavailable as error:
                await self._back_off(error)
                continue
            if self._failures:
                _LOGGER.warning(
                    'topic is back; topic=%s failures=%d',
                    self._name,
                    self._failures,
                )
                self._failures = 0
            pause = self._find_pause()
            await self._clock.sleep_until(self._clock.now() + pause)

    async def _read(self) -> None:
        now = self._clock.now()
        if self._following is None:
            page = await self._topic.read_newest(now + SNAPSHOT_SECONDS)
            self._reader.apply_snapshot(page.records)
        else:
            page = await self._topic.read_from(
                self._following,
                now + WAIT_SECONDS,
                now + WAIT_SECONDS + REPLY_SECONDS,
            )
            self._reader.apply_records(page.records)
        self._following = page.following

    async def _back_off(self, error: TopicUnavailable) -> None:
        if not self._failures:
            _LOGGER.warning(
                'topic is unavailable; topic=%s reason=%s', self._name, error
            )
        self._failures += 1
        self._reader.note_failure()
        longest = min(MAX_RETRY_SECONDS, MIN_RETRY_SECONDS * 2**self._failures)
        delay = self._rng.uniform(MIN_RETRY_SECONDS, longest)
        await self._clock.sleep_until(self._clock.now() + delay)
