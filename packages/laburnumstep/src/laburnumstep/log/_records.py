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
    epoch: int = 0
    """Epoch of the log; rises each time that it comes back from an older
    copy. 0 for a log that names none."""
    restored_at: float = 0.0
    """When the log came back last, by its clock in epoch seconds; 0 if it
    never has."""
