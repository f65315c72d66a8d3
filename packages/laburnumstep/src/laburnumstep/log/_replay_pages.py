"""Replay of whole pages of the configuration stream."""

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
    """A record and the result of applying it."""

    offset: int
    """Offset of the record."""
    appended_at: float
    """Time of the append by the log's clock, in epoch seconds."""
    record: _publications.ConfigurationRecord | _replay.Malformed
    """The record, or why it could not be decoded."""
    result: _replay.ReplayResult
    """Result of the record."""
    version: int
    """Version in force after the record, or 0 if none is known."""
    digest: str
    """Digest of that version."""


def count_items(
    replay: _replay.ConfigurationReplay, page: _records.LogPage
) -> int:
    """Return the number of items to decode in a page.

    A complete replay does not decode the deployments of snapshots.
    """
    count = len(page.records)
    for record in page.records:
        if not isinstance(record.data, dict):
            continue
        match record.data:
            case {'changes': list(changes)}:
                count += len(changes)
            case {'deployment': {'workspaces': dict(workspaces)}}:
                count += 0 if replay.complete else len(workspaces)
    return count


def replay_page(
    replay: _replay.ConfigurationReplay, page: _records.LogPage
) -> list[ReplayedRecord]:
    """Apply the records of a page and return their results."""
    items = []
    for item in page.records:
        record: _publications.ConfigurationRecord | _replay.Malformed
        try:
            record = _configuration_codec.decode_record(item.data)
        except _configuration_codec.MalformedRecord as error:
            record = _replay.Malformed(str(error))
        result = replay.apply_record(item.offset, record)
        items.append(
            ReplayedRecord(
                item.offset,
                item.appended_at,
                record,
                result,
                replay.version,
                replay.digest,
            )
        )
    if not page.records and page.first > replay.position:
        replay.skip_to(page.first)
    return items
