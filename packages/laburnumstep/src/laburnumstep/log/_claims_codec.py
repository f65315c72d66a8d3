"""Encoding of claim records and of answers to claims."""

from __future__ import annotations

import json
import typing

from laburnumstep import core
from laburnumstep.log import _claims_answers
from laburnumstep.log import _claims_forward
from laburnumstep.log import _claims_records

MAX_RESULT_BYTES = 1024
"""Largest answer that a settlement carries, in bytes of JSON. The
settlements of the log's whole retention time must fit in a VM's memory."""


def fits_record(result: core.CallResult) -> bool:
    """Return whether an answer is small enough to be recorded."""
    return len(json.dumps(result.result).encode()) <= MAX_RESULT_BYTES


def encode_record(record: _claims_records.ClaimsRecord) -> core.DocumentObject:
    """Return a record as a JSON object."""
    match record:
        case _claims_records.ClaimRecord():
            return {
                'type': 'claim',
                'key': str(record.key),
                'workspace': record.workspace,
                'vm': record.vm,
                'nonce': record.nonce,
                'request': record.request,
            }
        case _claims_records.ReleaseRecord():
            return {
                'type': 'release',
                'key': str(record.key),
                'nonce': record.nonce,
            }
        case _claims_records.SettleRecord():
            return {
                'type': 'settle',
                'key': str(record.key),
                'nonce': record.nonce,
                'outcome': core.Outcome.RAN.value,
                'status': record.status,
                **_encode_result(record.result),
            }
        case _:
            typing.assert_never(record)


def decode_record(data: typing.Any) -> _claims_records.ClaimsRecord:
    """Decode a record of a claim stream.

    Raises:
        ValueError: The record is malformed.
    """
    kind = _read_text(data, 'type')
    try:
        key = core.RequestKey.parse(_read_text(data, 'key'))
    except core.CodedError as error:
        raise ValueError(error.message) from error
    nonce = _read_text(data, 'nonce')
    match kind:
        case 'claim':
            return _claims_records.ClaimRecord(
                key,
                _read_text(data, 'workspace'),
                _read_text(data, 'vm'),
                nonce,
                _read_text(data, 'request'),
            )
        case 'release':
            return _claims_records.ReleaseRecord(key, nonce)
        case 'settle':
            if data.get('outcome') != core.Outcome.RAN.value:
                raise ValueError('a settlement has the outcome ran')
            status = _read_status(data)
            result = _decode_result(data, status)
            return _claims_records.SettleRecord(key, nonce, status, result)
    raise ValueError(f'unknown type {kind!r}')


def encode_answer(answer: _claims_answers.ClaimAnswer) -> core.DocumentObject:
    """Return an answer to a claim as a JSON object."""
    match answer:
        case _claims_answers.Granted():
            body: core.DocumentObject = {
                'key': str(answer.key),
                'nonce': answer.nonce,
            }
        case _claims_answers.Held():
            body = {
                'key': str(answer.key),
                'nonce': answer.nonce,
                'vm': answer.vm,
            }
        case _claims_answers.Settled():
            body = {'status': answer.status, **_encode_result(answer.result)}
        case _claims_answers.NotValidYet():
            body = {'valid_at': answer.valid_at}
        case _claims_answers.Taken() | _claims_answers.Expired():
            body = {}
        case _:
            typing.assert_never(answer)
    return {'answer': type(answer).__name__, **body}


def decode_answer(data: typing.Any) -> _claims_answers.ClaimAnswer:
    """Decode an answer to a claim.

    Raises:
        ValueError: The answer is malformed.
    """
    match _read_text(data, 'answer'):
        case 'Granted':
            key = core.RequestKey.parse(_read_text(data, 'key'))
            return _claims_answers.Granted(key, _read_text(data, 'nonce'))
        case 'Held':
            key = core.RequestKey.parse(_read_text(data, 'key'))
            return _claims_answers.Held(
                key, _read_text(data, 'nonce'), _read_text(data, 'vm')
            )
        case 'Settled':
            status = _read_status(data)
            return _claims_answers.Settled(
                status, _decode_result(data, status)
            )
        case 'NotValidYet':
            return _claims_answers.NotValidYet(float(data['valid_at']))
        case 'Taken':
            return _claims_answers.Taken()
        case 'Expired':
            return _claims_answers.Expired()
    raise ValueError('unknown answer')


def encode_claims(
    batch: _claims_forward.ForwardedRecords,
) -> core.DocumentObject:
    """Return the records of a forwarded batch as a JSON object."""
    return {'records': [encode_record(record) for record in batch.records]}


def decode_claims(
    partition: int, body: typing.Any, until: float
) -> _claims_forward.ForwardedRecords:
    """Decode a batch that a sibling forwarded.

    Args:
        partition: Number of the partition, as the sibling sent it.
        body: The JSON object.
        until: When the sibling gives up, in epoch seconds.

    Raises:
        CodedError: The batch is malformed; the code is `bad_request`.
    """
    try:
        records = [decode_record(data) for data in body['records']]
    except (KeyError, TypeError, ValueError) as error:
        raise core.CodedError(
            core.ErrorCode.BAD_REQUEST, f'malformed claims: {error}'
        ) from error
    return _claims_forward.ForwardedRecords(partition, records, until)


def encode_claim_answers(
    answers: list[_claims_answers.ClaimAnswer | None],
) -> core.DocumentObject:
    """Return the answers to a forwarded batch as a JSON object."""
    return {
        'answers': [
            None if answer is None else encode_answer(answer)
            for answer in answers
        ]
    }


def decode_claim_answers(
    body: typing.Any,
) -> list[_claims_answers.ClaimAnswer | None]:
    """Decode the answers to a forwarded batch.

    Raises:
        CodedError: The answers are malformed. The claims may have been
            recorded.
    """
    try:
        return [
            None if data is None else decode_answer(data)
            for data in body['answers']
        ]
    except (KeyError, TypeError, ValueError, core.CodedError) as error:
        raise core.CodedError(
            core.ErrorCode.INTERNAL,
            f'malformed answers to claims: {error}',
            core.Outcome.UNKNOWN,
        ) from error


def _encode_result(result: core.CallResult | None) -> core.DocumentObject:
    return {} if result is None else {'result': result.result}


def _decode_result(data: typing.Any, status: int) -> core.CallResult | None:
    if 'result' not in data:
        return None
    return core.CallResult(status, data['result'])


def _read_text(data: typing.Any, name: str) -> str:
    value = data.get(name) if isinstance(data, dict) else None
    if not isinstance(value, str):
        raise ValueError(f'{name} is missing or no text')
    return value


def _read_status(data: typing.Any) -> int:
    value = data.get('status')
    if not isinstance(value, int):
        raise ValueError('status is missing or no integer')
    return value
