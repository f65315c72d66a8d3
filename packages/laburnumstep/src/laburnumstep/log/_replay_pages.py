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
    version: int
    """Version in force after it; 0 where none is known."""
    digest: str
    """Digest of that version."""


def estimate_work(
    replay: _replay.ConfigurationReplay, page: _records.LogPage
) -> int:
    """Return how many items have to be read for a page.

    A replay that is in step with the log does not read snapshots.
    """
    work = len(page.records)
    for record in page.records:
        if not isinstance(record.data, dict):
            continue
        match record.data:
            case {'changes': list(changes)}:
                work += len(changes)
            case {'deployment': {'workspaces': dict(workspaces)}}:
                work += 0 if replay.complete else len(workspaces)
    return work


def replay_page(
    replay: _replay.ConfigurationReplay, page: _records.LogPage
) -> list[ReplayedRecord]:
    """Take a page into account, record by record."""
    items = []
    for item in page.records:
        record: _publications.ConfigurationRecord | _replay.Malformed
        try:
            record = _configuration_codec.decode_record(item.data)
        except _configuration_codec.BadRecord as error:
            record = _replay.Malformed(str(error))
        verdict = replay.observe(item.offset, record)
        items.append(
            ReplayedRecord(
                item.offset,
                item.appended_at,
                record,
                verdict,
                replay.version,
                replay.digest,
            )
        )
    if not page.records and page.first > replay.position:
        replay.skip_to(page.first)
    return items
