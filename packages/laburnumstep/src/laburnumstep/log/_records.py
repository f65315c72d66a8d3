"""Records and pages as they are read from the log."""

from __future__ import annotations

import typing

import attrs


@attrs.frozen
class LogRecord:
    """One record of a stream."""

    offset: int
    """Position in the stream, starting at 0."""
    appended_at: float
    """Time of the append by the log's clock, in epoch seconds."""
    data: typing.Any
    """Decoded JSON value of any type."""


@attrs.frozen
class LogPage:
    """Consecutive records of a stream."""

    records: list[LogRecord]
    """Records in the order of their offsets."""
    next: int
    """Offset at which the next read starts."""
    first: int
    """Lowest offset that the log still retains."""
    end: int
    """Offset of the next record that is appended."""
