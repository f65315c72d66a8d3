"""Streams of the log, held in memory."""

from __future__ import annotations

import collections
import typing

import anyio
import attrs

if typing.TYPE_CHECKING:
    from laburnumstep import core


@attrs.define
class LogFaults:
    """Faults that the control route switches."""

    outage: bool = False
    """Answers every request with 503."""
    lost_replies: int = 0
    """Appends to come whose connection is cut after they took effect."""
    hold_reads: bool = False
    """Answers reads as if nothing had been appended since."""
    stalled_reads: int = 0
    """Reads to come that are never answered."""


@attrs.frozen
class StoredRecord:
    """One record as it is kept."""

    offset: int
    """Position in the stream, from 0."""
    appended_at: float
    """Time of the append, in epoch seconds."""
    data: typing.Any
    """The JSON value as it was given."""


class RateExceeded(Exception):
    """An append is over the log's rate.

    Args:
        retry_at: When an append is possible again, in epoch seconds.
    """

    def __init__(self, retry_at: float) -> None:
        super().__init__(f'retry at {retry_at}')
        self.retry_at = retry_at


@attrs.define
class AppendRate:
    """Token bucket over the appends of all streams."""

    per_second: float
    """Appends a second."""
    _available: float = 0.0
    _updated_at: float = 0.0

    def take(self, now: float) -> None:
        """Count one append.

        Raises:
            RateExceeded: When there is none left.
        """
        if not self._updated_at:
            self._available = self.per_second
        gained = (now - self._updated_at) * self.per_second
        self._available = min(self.per_second, self._available + gained)
        self._updated_at = now
        if self._available < 1:
            missing = (1 - self._available) / self.per_second
            raise RateExceeded(now + missing)
        self._available -= 1


class Stream:
    """One stream of records.

    Args:
        clock: Gives each record its time.
        retention_seconds: How long records are kept, in seconds.
    """

    def __init__(self, clock: core.Clock, retention_seconds: float) -> None:
        self._clock = clock
        self._retention_seconds = retention_seconds
        self._records: collections.deque[StoredRecord] = collections.deque()
        self._end = 0
        self._appended = anyio.Event()

    @property
    def end(self) -> int:
        """Offset that the next append will get."""
        return self._end

    @property
    def first(self) -> int:
        """Earliest offset that is still kept."""
        self._drop_old()
        return self._records[0].offset if self._records else self._end

    def append(self, records: list[typing.Any]) -> int:
        """Append records and return the offset of the first one."""
        first = self._end
        now = self._clock.now()
        for data in records:
            self._records.append(StoredRecord(self._end, now, data))
            self._end += 1
        self._appended.set()
        self._appended = anyio.Event()
        return first

    def read(self, start: int, limit: int) -> list[StoredRecord]:
        """Return records from an offset on."""
        self._drop_old()
        if not self._records:
            return []
        skip = max(0, start - self._records[0].offset)
        stop = min(len(self._records), skip + limit)
        return [self._records[index] for index in range(skip, stop)]

    def truncate(self, end: int) -> None:
        """Lose the records from an offset on, as a restored log would."""
        while self._records and self._records[-1].offset >= end:
            self._records.pop()
        self._end = min(self._end, end)
        self._appended.set()
        self._appended = anyio.Event()

    async def wait_beyond(self, start: int, seconds: float) -> None:
        """Wait until there is a record at an offset, or for a time.

        Losing records ends the wait as well.
        """
        known = self._end
        with anyio.move_on_after(seconds):
            while known <= self._end <= start:
                await self._appended.wait()

    def _drop_old(self) -> None:
        oldest = self._clock.now() - self._retention_seconds
        while self._records and self._records[0].appended_at < oldest:
            self._records.popleft()
