"""Encoding of the configuration stream's records as JSON."""

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


class BadRecord(Exception):
    """A record of the configuration stream cannot be read."""


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
    """Read a record of the configuration stream.

    Raises:
        BadRecord: When it does not follow the protocol.
    """
    if not isinstance(data, dict):
        raise BadRecord('is no object')
    match data.get('type'):
        case 'publication':
            return _decode_publication(data)
        case 'snapshot':
            return _decode_snapshot(data)
        case other:
            raise BadRecord(f'has the unknown type {other!r}')


def _decode_publication(
    data: core.DocumentObject,
) -> _publications.Publication:
    changes = data.get('changes')
    if not isinstance(changes, list):
        raise BadRecord('has no list of changes')
    return _publications.Publication(
        _take(data, 'deployment', str),
        _take(data, 'version', int),
        _take(data, 'made_from', int),
        _take(data, 'nonce', str),
        [_decode_change(item) for item in changes],
    )


def _decode_snapshot(data: core.DocumentObject) -> _publications.Snapshot:
    header = _publications.SnapshotHeader(
        _take(data, 'version', int),
        _take(data, 'digest', str),
        _take(data, 'through', int),
    )
    read = functools.partial(
        core.decode_document, data.get('deployment'), core.Deployment, _SOURCE
    )
    return _publications.Snapshot(header, read)


def _decode_change(data: typing.Any) -> _changes.Change:
    tag = data.get('change') if isinstance(data, dict) else None
    # A JSON array or object is no key that a table can be asked for.
    cls = _CHANGE_TAGS.get(tag) if isinstance(tag, str) else None
    if cls is None:
        raise BadRecord('has a change of an unknown kind')
    fields = {k: value for k, value in data.items() if k != 'change'}
    try:
        return core.decode_document(fields, cls, _SOURCE)
    except core.FindingsError as error:
        raise BadRecord(f'has a bad change: {error}') from error


_T = typing.TypeVar('_T')


def _take(data: core.DocumentObject, key: str, cls: type[_T]) -> _T:
    value = data.get(key)
    # bool is a subclass of int, and `true` is no version.
    if not isinstance(value, cls) or isinstance(value, bool):
        raise BadRecord(f'has no {cls.__name__} {key!r}')
    return value
