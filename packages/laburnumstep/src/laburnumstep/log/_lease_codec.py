"""Encoding of lease records."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep.log import _lease_table

_FIELDS = ('resource', 'vm', 'holder', 'serial', 'fence', 'until')


def encode_acquire(record: _lease_table.AcquireRecord) -> core.DocumentObject:
    """Return a record as a JSON object."""
    fields = {name: getattr(record, name) for name in _FIELDS}
    return {'type': 'acquire', **fields}


def decode_acquire(data: typing.Any) -> _lease_table.AcquireRecord | None:
    """Decode a record; return None for a record of another type.

    Raises:
        ValueError: The record is malformed.
    """
    if not isinstance(data, dict):
        raise ValueError('the record is no object')
    if data.get('type') != 'acquire':
        return None
    try:
        return _lease_table.AcquireRecord(
            str(data['resource']),
            str(data['vm']),
            str(data['holder']),
            int(data['serial']),
            int(data['fence']),
            float(data['until']),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f'malformed lease: {error!r}') from error
