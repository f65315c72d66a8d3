"""JSON encoding of the evidence about crashes, for sibling VMs."""

from __future__ import annotations

import json
import math
import typing

from laburnumstep import core
from laburnumstep.targets import _crashes
from laburnumstep.targets import _traits


def encode_evidence(evidence: _crashes.CrashEvidence) -> bytes:
    """Return evidence as JSON.

    The traits of a report are listed once, as its requests share them.
    """
    return json.dumps(_encode(evidence), separators=(',', ':')).encode()


def _encode(evidence: _crashes.CrashEvidence) -> dict[str, typing.Any]:
    match evidence:
        case _crashes.CrashReport():
            traits = list(frozenset[_traits.Trait]().union(*evidence.requests))
            numbers = {trait: index for index, trait in enumerate(traits)}
            return {
                'target': evidence.target,
                'crashed_at': evidence.crashed_at,
                'last_sent_at': evidence.last_sent_at,
                'traits': [_traits.encode_trait(trait) for trait in traits],
                'requests': [
                    [numbers[trait] for trait in request]
                    for request in evidence.requests
                ],
            }
        case _crashes.Clearance(trait, cleared_at):
            return {
                'trait': _traits.encode_trait(trait),
                'cleared_at': cleared_at,
            }
        case _crashes.OperatorRefusal():
            return {
                'refused': [_traits.encode_trait(i) for i in evidence.traits],
                'refused_until': evidence.refused_until,
                'ordered_at': evidence.ordered_at,
            }
        case _:
            typing.assert_never(evidence)


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is no time')


def decode_evidence(data: bytes) -> _crashes.CrashEvidence:
    """Return the evidence that JSON encodes.

    Raises:
        ValueError: The data encodes no evidence.
    """
    return _decode(core.parse_json(data, _refuse_constant))


def _decode_time(value: float) -> float:
    try:
        seconds = float(value)
    except OverflowError as error:
        raise ValueError('a time of the evidence is too large') from error
    if not math.isfinite(seconds):
        raise ValueError(f'{seconds} is no time')
    return seconds


def _decode(document: typing.Any) -> _crashes.CrashEvidence:
    match document:
        case {
            'target': str(target),
            'crashed_at': float(crashed_at) | int(crashed_at),
            'last_sent_at': float(last_sent_at) | int(last_sent_at),
            'traits': list(encoded),
            'requests': list(requests),
        }:
            traits = [_traits.decode_trait(item) for item in encoded]
            return _crashes.CrashReport(
                target,
                _decode_time(crashed_at),
                _decode_time(last_sent_at),
                tuple(_decode_request(item, traits) for item in requests),
            )
        case {
            'trait': encoded_trait,
            'cleared_at': float(cleared_at) | int(cleared_at),
        }:
            trait = _traits.decode_trait(encoded_trait)
            return _crashes.Clearance(trait, _decode_time(cleared_at))
        case {
            'refused': list(encoded),
            'refused_until': float(refused_until) | int(refused_until),
            'ordered_at': float(ordered_at) | int(ordered_at),
        }:
            return _crashes.OperatorRefusal(
                frozenset(_traits.decode_trait(item) for item in encoded),
                _decode_time(refused_until),
                _decode_time(ordered_at),
            )
        case other:
            raise ValueError(f'no evidence: {other!r:.80}')


def _decode_request(
    data: typing.Any, traits: list[_traits.Trait]
) -> _traits.Traits:
    if not isinstance(data, list):
        raise ValueError(f'no request: {data!r:.80}')
    numbers = [item for item in data if isinstance(item, int)]
    if len(numbers) < len(data) or any(
        not 0 <= number < len(traits) for number in numbers
    ):
        raise ValueError(f'no traits of the report: {data!r:.80}')
    return frozenset(traits[number] for number in numbers)
