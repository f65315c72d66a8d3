"""Feeds pages of the log to a replay."""

from __future__ import annotations

import typing

import attrs

from laburnumstep.log import _configuration_codec
from laburnumstep.log import _publications
from laburnumstep.log import _replay

if typing.TYPE_CHECKING:
    from laburnumstep.log import _records


@attrs.frozen
class ReplayedRecord:
    """One record and its effect."""

    offset: int
    """Position in the stream."""
    appended_at: float
    """The log's own time of the append, in epoch seconds."""
    record: _publications.ConfigurationRecord | _replay.Malformed
    """The record, or why it cannot be read."""
    verdict: _replay.Verdict
    """What became of it."""


def replay_page(
    replay: _replay.ConfigurationReplay, page: _records.LogPage
) -> typing.Iterator[ReplayedRecord]:
    """Take a page into account, record by record."""
    for item in page.records:
        record: _publications.ConfigurationRecord | _replay.Malformed
        try:
            record = _configuration_codec.decode_record(item.data)
        except _configuration_codec.BadRecord as error:
            record = _replay.Malformed(str(error))
        verdict = replay.observe(item.offset, record)
        yield ReplayedRecord(item.offset, item.appended_at, record, verdict)
    if not page.records and page.first > replay.position:
        replay.skip_to(page.first)
