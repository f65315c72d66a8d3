"""Follower of a log topic that retains the newest record of each key."""

from __future__ import annotations

import random
import typing

import attrs

from laburnumstep import core

LONG_POLL_SECONDS = 1.5
"""How long the log may wait for a record, in seconds. A dead connection is
noticed after this time plus the reply margin, so the sum bounds how stale a VM
can be. A new version has to be in force 2.5 s after its acknowledgement."""
REPLY_MARGIN_SECONDS = 0.8
"""Time allowed for a reply in addition to the wait, in seconds."""
SNAPSHOT_TIMEOUT_SECONDS = 2.0
"""Longest time for a read of the newest records, in seconds."""
MIN_RETRY_SECONDS = 0.1
"""Shortest backoff after a failed read, in seconds."""
MAX_RETRY_SECONDS = 0.8
"""Longest backoff after a failed read, in seconds."""

_LOGGER = core.get_logger('log')


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic."""

    key: str
    """Key of the record."""
    value: bytes | None
    """Value, or None if the key was deleted."""
    offset: int
    """Offset of the record in the topic."""


@attrs.frozen(order=True)
class TopicPosition:
    """A position in a topic.

    A log that comes back from an older copy gives offsets out again, so an
    offset means something only together with the epoch of the log.
    """

    epoch: int
    """Epoch of the log; rises each time that it comes back older."""
    offset: int
    """Offset of the next record."""


@attrs.frozen
class KeyedPage:
    """Records of a keyed topic."""

    records: list[KeyedRecord]
    """Records in the order of their offsets."""
    next_position: TopicPosition
    """Position at which the next read starts."""


class TopicUnavailable(Exception):
    """The topic could not be read."""


class HistoryLost(Exception):
    """Records after the reader's position were deleted."""


class EpochChanged(HistoryLost):
    """The reader's position belongs to another epoch of the log."""


class KeyedTopic(typing.Protocol):
    """A topic of the log that retains the newest record of each key."""

    async def read_newest(self, deadline: float) -> KeyedPage:
        """Return the newest record of each key.

        Raises:
            TopicUnavailable: The topic could not be read.
        """
        ...

    async def read_from(
        self, position: TopicPosition, wait_until: float, deadline: float
    ) -> KeyedPage:
        """Return records, starting at a position.

        Args:
            position: Position of the first record to read.
            wait_until: How long to wait for a record, in epoch seconds.
            deadline: When to give up, in epoch seconds.

        Raises:
            HistoryLost: The position is no longer retained.
            EpochChanged: The position belongs to another epoch.
            TopicUnavailable: The topic could not be read.
        """
        ...


class KeyedReader(typing.Protocol):
    """Receives the records of a keyed topic."""

    def apply_snapshot(self, records: list[KeyedRecord]) -> None:
        """Replace the reader's state by the newest record of each key."""
        ...

    def apply_records(self, records: list[KeyedRecord]) -> None:
        """Apply records in the order of their offsets."""
        ...

    def record_failure(self) -> None:
        """Record that the topic could not be read."""
        ...


class KeyedFollower:
    """Keeps a reader up to date with a keyed topic.

    Args:
        name: Name of the topic, for log lines.
        topic: The topic.
        reader: Receives the records.
        clock: Clock for deadlines and retries.
        find_pause: Returns the pause between two reads, in seconds. Records
            that arrive in a pause are applied with one call.
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
        self._position: TopicPosition | None = None
        self._failures = 0
        self._random_source = random.Random()

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                await self._read()
            except HistoryLost as error:
                self._start_anew(error)
                continue
            except TopicUnavailable as error:
                await self._back_off(error)
                continue
            if self._failures:
                _LOGGER.warning(
                    'topic is back; topic=%s failures=%d position=%s',
                    self._name,
                    self._failures,
                    self._position,
                )
                self._failures = 0
            pause = self._find_pause()
            await self._clock.sleep_until(self._clock.now() + pause)

    async def _read(self) -> None:
        now = self._clock.now()
        if self._position is None:
            page = await self._topic.read_newest(
                now + SNAPSHOT_TIMEOUT_SECONDS
            )
            self._reader.apply_snapshot(page.records)
        else:
            page = await self._topic.read_from(
                self._position,
                now + LONG_POLL_SECONDS,
                now + LONG_POLL_SECONDS + REPLY_MARGIN_SECONDS,
            )
            self._reader.apply_records(page.records)
        self._position = page.next_position

    def _start_anew(self, error: HistoryLost) -> None:
        """Read the newest records next."""
        _LOGGER.warning(
            'history lost; topic=%s position=%s reason=%s',
            self._name,
            self._position,
            type(error).__name__,
        )
        self._position = None
        if isinstance(error, EpochChanged):
            # Until everybody has written again what the log has lost, it is
            # no more complete than one that cannot be read.
            self._reader.record_failure()

    async def _back_off(self, error: TopicUnavailable) -> None:
        if not self._failures:
            _LOGGER.warning(
                'topic is unavailable; topic=%s reason=%s', self._name, error
            )
        self._failures += 1
        self._reader.record_failure()
        longest = min(MAX_RETRY_SECONDS, MIN_RETRY_SECONDS * 2**self._failures)
        delay = self._random_source.uniform(MIN_RETRY_SECONDS, longest)
        await self._clock.sleep_until(self._clock.now() + delay)
