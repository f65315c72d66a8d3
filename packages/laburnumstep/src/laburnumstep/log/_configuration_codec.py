"""Encoding of records of the configuration stream as JSON."""

from __future__ import annotations

import functools
import typing

from laburnumstep import core
from laburnumstep.log import _changes
from laburnumstep.log import _publications

_SOURCE = 'configuration record'
_CHANGE_TAGS: dict[str, type[typing.Any]] = {
    'put_place': _changes.PutPlace,
    'remove_place': _changes.RemovePlace,
    'put_target': _changes.PutTarget,
    'remove_target': _changes.RemoveTarget,
    'put_service': _changes.PutService,
    'remove_service': _changes.RemoveService,
    'put_workspace': _changes.PutWorkspace,
    'remove_workspace': _changes.RemoveWorkspace,
    'set_weights': _changes.SetWeights,
    'set_links': _changes.SetLinks,
}
_TAG_OF_CHANGE = {cls: tag for tag, cls in _CHANGE_TAGS.items()}


class MalformedRecord(Exception):
    """A record of the configuration stream is malformed.

    The message completes a sentence whose subject is the record.
    """


def encode_change(change: _changes.Change) -> core.DocumentObject:
    """Return a change as a JSON object."""
    tag = _TAG_OF_CHANGE[type(change)]
    return {'change': tag, **core.encode_document(change)}


def encode_publication(
    publication: _publications.Publication,
) -> core.DocumentObject:
    """Return a publication as a JSON object."""
    return {
        'type': 'publication',
        'deployment': publication.deployment,
        'version': publication.version,
        'made_from': publication.made_from,
        'nonce': publication.nonce,
        'changes': [encode_change(item) for item in publication.changes],
    }


def encode_snapshot(state: core.VersionedDeployment) -> core.DocumentObject:
    """Return a configuration as a JSON object of type `snapshot`."""
    return {
        'type': 'snapshot',
        'version': state.version,
        'digest': state.digest,
        'through': state.through,
        'deployment': core.encode_document(state.deployment),
    }


def decode_record(data: typing.Any) -> _publications.ConfigurationRecord:
    """Decode a record of the configuration stream.

    Raises:
        MalformedRecord: The record does not follow the protocol.
    """
    if not isinstance(data, dict):
        raise MalformedRecord('is no object')
    match data.get('type'):
        case 'publication':
            return _decode_publication(data)
        case 'snapshot':
            return _decode_snapshot(data)
        case other:
            raise MalformedRecord(f'has the unknown type {other!r}')


def _decode_publication(
    data: core.DocumentObject,
) -> _publications.Publication:
    changes = data.get('changes')
    if not isinstance(changes, list):
        raise MalformedRecord('has no list of changes')
    return _publications.Publication(
        _read_field(data, 'deployment', str),
        _read_field(data, 'version', int),
        _read_field(data, 'made_from', int),
        _read_field(data, 'nonce', str),
        [_decode_change(item) for item in changes],
    )


def _decode_snapshot(data: core.DocumentObject) -> _publications.Snapshot:
    header = _publications.SnapshotHeader(
        _read_field(data, 'version', int),
        _read_field(data, 'digest', str),
        _read_field(data, 'through', int),
    )
    read = functools.partial(
        core.decode_document, data.get('deployment'), core.Deployment, _SOURCE
    )
    return _publications.Snapshot(header, read)


def _decode_change(data: typing.Any) -> _changes.Change:
    tag = data.get('change') if isinstance(data, dict) else None
    # A JSON array or object is unhashable and cannot be looked up in a dict.
    cls = _CHANGE_TAGS.get(tag) if isinstance(tag, str) else None
    if cls is None:
        raise MalformedRecord('has a change of an unknown kind')
    fields = {k: value for k, value in data.items() if k != 'change'}
    try:
        return core.decode_document(fields, cls, _SOURCE)
    except core.FindingsError as error:
        raise MalformedRecord(f'has a bad change: {error}') from error


_T = typing.TypeVar('_T')


def _read_field(data: core.DocumentObject, key: str, cls: type[_T]) -> _T:
    value = data.get(key)
    # bool is a subclass of int, but `true` is not a valid version.
    if not isinstance(value, cls) or isinstance(value, bool):
        raise MalformedRecord(f'has no {cls.__name__} {key!r}')
    return value
