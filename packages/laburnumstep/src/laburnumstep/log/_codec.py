"""Decoding of the log's pages and records."""

from __future__ import annotations

import typing

from laburnumstep.log import _records


def decode_page(body: typing.Any) -> _records.LogPage:
    """Decode a page as the log sends it."""
    return _records.LogPage(
        [
            _records.LogRecord(
                int(item['offset']), float(item['appended_at']), item['data']
            )
            for item in body['records']
        ],
        int(body['next']),
        int(body['first']),
        int(body['end']),
        int(body.get('epoch', 0)),
        float(body.get('restored_at', 0.0)),
    )
