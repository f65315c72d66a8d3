"""Encoding of fetch records as JSON."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep.weights import _schedule


def encode_fetch(record: _schedule.FetchRecord) -> core.DocumentObject:
    """Return a record as a JSON object."""
    return {'type': 'fetch', 'vm': record.vm, 'nonce': record.nonce}


def decode_fetch(data: typing.Any) -> _schedule.FetchRecord | None:
    """Decode a record; return None if it is malformed or of another type."""
    if not isinstance(data, dict) or data.get('type') != 'fetch':
        return None
    nonce = data.get('nonce')
    if not isinstance(nonce, str):
        return None
    return _schedule.FetchRecord(str(data.get('vm')), nonce)
