"""Records of the log as they are read."""

from __future__ import annotations

import typing

import attrs


@attrs.frozen
class LogRecord:
    """One record of a stream."""

    offset: int
    """Position in the stream, from 0."""
    appended_at: float
    """The log's own time of the append, in epoch seconds."""
    data: typing.Any
    """Decoded JSON; a record may hold anything."""


@attrs.frozen
class LogPage:
    """Part of a stream."""

    records: list[LogRecord]
    """Records in order."""
    next: int
    """Offset from which to read on."""
    first: int
    """Earliest offset that is still retained."""
    end: int
    """Offset that the next append will get."""
