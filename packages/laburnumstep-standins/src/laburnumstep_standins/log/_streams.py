"""In-memory streams of the log."""

from __future__ import annotations

import collections
import typing

import anyio
import attrs

if typing.TYPE_CHECKING:
    from laburnumstep import core


@attrs.define
class LogFaults:
    """Faults that `POST /control` sets."""

    outage: bool = False
    """Responds to every request with 503."""
    lost_replies: int = 0
    """Next appends whose connection is closed after they took effect."""
    hold_reads: bool = False
    """Leaves records that are appended from now on out of reads."""
    stalled_reads: int = 0
    """Next reads that never get a response."""


@attrs.frozen
class StoredRecord:
    """A record of a stream."""

    offset: int
    """Position in the stream, from 0."""
    appended_at: float
    """Time of the append, in epoch seconds."""
    data: typing.Any
    """Appended JSON value."""


class RateExceeded(Exception):
    """An append exceeds the rate of the log.

    Args:
        retry_at: When an append is possible again, in epoch seconds.
    """

    def __init__(self, retry_at: float) -> None:
        super().__init__(f'retry at {retry_at}')
        self.retry_at = retry_at


@attrs.define
class AppendRateLimiter:
    """Token bucket for the appends of all streams."""

    per_second: float
    """Appends a second, and most appends at once."""
    _available: float = 0.0
    _updated_at: float = 0.0

    def consume(self, now: float) -> None:
        """Count one append against the rate.

        Args:
            now: Time of the append, in epoch seconds.

        Raises:
            RateExceeded: The bucket is empty.
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
        clock: Time source of append times and retention.
        retention_seconds: Retention time of records, in seconds.
    """

    def __init__(self, clock: core.Clock, retention_seconds: float) -> None:
        self._clock = clock
        self._retention_seconds = retention_seconds
        self._records: collections.deque[StoredRecord] = collections.deque()
        self._end = 0
        self._appended = anyio.Event()

    @property
    def end(self) -> int:
        """Offset of the next record to be appended."""
        return self._end

    @property
    def first(self) -> int:
        """Offset of the earliest retained record, or `end` without any."""
        self._drop_expired()
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
        """Return the retained records from an offset on.

        Args:
            start: First offset.
            limit: Most records to return.
        """
        self._drop_expired()
        if not self._records:
            return []
        skip = max(0, start - self._records[0].offset)
        stop = min(len(self._records), skip + limit)
        return [self._records[index] for index in range(skip, stop)]

    def truncate(self, end: int) -> None:
        """Remove the records from an offset on, like a restored backup."""
        while self._records and self._records[-1].offset >= end:
            self._records.pop()
        self._end = min(self._end, end)
        self._appended.set()
        self._appended = anyio.Event()

    async def wait_beyond(self, start: int, seconds: float) -> None:
        """Wait until a record is appended at an offset.

        The wait also ends when records are removed from the end.

        Args:
            start: The offset.
            seconds: Longest wait, in seconds.
        """
        end_before = self._end
        with anyio.move_on_after(seconds):
            while end_before <= self._end <= start:
                await self._appended.wait()

    def _drop_expired(self) -> None:
        oldest = self._clock.now() - self._retention_seconds
        while self._records and self._records[0].appended_at < oldest:
            self._records.popleft()
