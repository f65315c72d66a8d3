"""Encoding of the configuration document as JSON."""

from __future__ import annotations

import json
import typing

import attrs
import cattrs
import cattrs.preconf.json
import cattrs.strategies

from laburnumstep.core import _deployment
from laburnumstep.core import _findings


def _build_converter() -> cattrs.preconf.json.JsonConverter:
    converter = cattrs.preconf.json.make_converter(
        forbid_extra_keys=True, detailed_validation=True
    )
    cattrs.strategies.configure_tagged_union(
        _deployment.Target,
        converter,
        tag_generator=lambda cls: (
            'engine' if cls is _deployment.EngineTarget else 'service'
        ),
        tag_name='kind',
    )
    return converter


_CONVERTER = _build_converter()
_T = typing.TypeVar('_T')


def encode_document(value: attrs.AttrsInstance) -> typing.Any:
    """Return an attrs instance as a JSON object."""
    return _CONVERTER.unstructure(value, unstructure_as=type(value))


def decode_document(data: typing.Any, cls: type[_T], source: str) -> _T:
    """Return the instance that a JSON object encodes.

    Args:
        data: The JSON object.
        cls: The expected class or union.
        source: Name of the input, reported in findings.

    Raises:
        FindingsError: The object is invalid; lists every mistake.
    """
    try:
        return _CONVERTER.structure(data, cls)
    except Exception as error:
        raise _findings.FindingsError(
            _collect_findings(error, source)
        ) from error


def _collect_findings(
    error: Exception, source: str
) -> list[_findings.Finding]:
    findings = []
    for line in cattrs.transform_error(error, path='document'):
        message, _, path = line.rpartition(' @ ')
        position = _findings.SourcePosition(source, key=path)
        findings.append(
            _findings.Finding(position, 'bad_document', message or line)
        )
    return findings


def load_json(text: str | bytes, source: str) -> typing.Any:
    """Decode JSON and reject objects with duplicate keys.

    Raises:
        FindingsError: The text is not JSON or has a duplicate key.
    """

    def build_object(
        pairs: list[tuple[str, typing.Any]],
    ) -> dict[str, typing.Any]:
        result = dict(pairs)
        if len(result) != len(pairs):
            names = [name for name, _ in pairs]
            duplicates = sorted({n for n in names if names.count(n) > 1})
            raise ValueError(f'duplicate keys: {", ".join(duplicates)}')
        return result

    try:
        return json.loads(text, object_pairs_hook=build_object)
    except (ValueError, RecursionError) as error:
        position = _findings.SourcePosition(
            source, line=getattr(error, 'lineno', None)
        )
        finding = _findings.Finding(position, 'bad_json', str(error))
        raise _findings.FindingsError([finding]) from error
