"""Encoding of requests and responses as JSON and event streams."""

from __future__ import annotations

import json
import math
import typing

import attrs
import cattrs
import cattrs.preconf.json

from laburnumstep import core

DEFAULT_MAX_TOKENS = 65536
"""Maximum length of an answer unless the caller sets one, in tokens."""
DEFAULT_DEADLINE_SECONDS = 3600.0
"""Time for a generation without a deadline, in seconds."""
DEFAULT_CALL_SECONDS = 30.0
"""Time for a service call without a deadline, in seconds."""

_CONVERTER = cattrs.preconf.json.make_converter(
    forbid_extra_keys=True, detailed_validation=True
)


def _structure_strictly(value: typing.Any, cls: type) -> typing.Any:
    # By default cattrs coerces 5 to '5' and "no" to True. Values of the
    # wrong type are rejected instead.
    if cls is float and isinstance(value, int):
        value = float(value) if not isinstance(value, bool) else value
    if type(value) is not cls:
        raise ValueError(f'must be of type {cls.__name__}')
    if isinstance(value, float) and not math.isfinite(value):
        raise ValueError('must be finite')
    return value


for _cls in (str, int, float, bool):
    _CONVERTER.register_structure_hook(_cls, _structure_strictly)


@attrs.frozen
class GenerationBody:
    """Body of a request for a generation."""

    model: str
    """Name of the model."""
    prompt: str
    """Text to continue."""
    max_tokens: int = attrs.field(
        default=DEFAULT_MAX_TOKENS,
        validator=attrs.validators.and_(
            attrs.validators.ge(1), attrs.validators.le(DEFAULT_MAX_TOKENS)
        ),
    )
    """Maximum length of the answer, in tokens."""
    priority: int | None = None
    """Higher values are served first; None means that of the workspace."""
    deadline: float | None = None
    """Deadline of the answer, in epoch seconds."""
    delivery: core.Delivery = core.Delivery.STREAM
    """Delivery of the tokens."""


@attrs.frozen
class ResumeBody:
    """Body of a request to resume a stream."""

    handle: str
    """The handle of the `accepted` event."""
    position: int = attrs.field(validator=attrs.validators.ge(0))
    """Position of the first token to send."""


@attrs.frozen
class CancelBody:
    """Body of a request to cancel a generation."""

    handle: str
    """The handle of the `accepted` event."""


@attrs.frozen
class CallBody:
    """Body of a request to a plain service."""

    service: str
    """Name of the service."""
    operation: str
    """Name of the operation."""
    payload: dict[str, typing.Any] = attrs.field(factory=dict)
    """Arguments, as the service defines them."""
    deadline: float | None = None
    """Deadline of the answer, in epoch seconds."""


_Body = typing.TypeVar('_Body')


def decode_body(content: bytes, cls: type[_Body]) -> _Body:
    """Decode a JSON body.

    Args:
        content: The body.
        cls: Class of the result.

    Raises:
        CodedError: `bad_request` with all findings in the body.
    """
    try:
        data = core.load_json(content, 'body')
        return _CONVERTER.structure(data, cls)
    except core.FindingsError as error:
        raise _bad_request(str(error)) from error
    except Exception as error:
        findings = cattrs.transform_error(error, path='body')
        raise _bad_request('; '.join(findings)) from error


def decode_key(header: str | None) -> core.RequestKey:
    """Decode the value of the Idempotency-Key header.

    Raises:
        CodedError: `bad_request` if it is missing or malformed.
    """
    if header is None:
        raise _bad_request('the Idempotency-Key header is missing')
    return core.RequestKey.parse(header)


def encode_event(name: str, data: dict[str, typing.Any]) -> bytes:
    """Return one server-sent event."""
    return f'event: {name}\ndata: {json.dumps(data)}\n\n'.encode()


def find_status(error: core.CodedError) -> int:
    """Return the HTTP status of an error."""
    match error.code:
        case core.ErrorCode.BAD_REQUEST | core.ErrorCode.KEY_NOT_VALID_YET:
            return 400
        case core.ErrorCode.UNAUTHORIZED:
            return 401
        case core.ErrorCode.HANDLE_INVALID:
            return 403
        case core.ErrorCode.NO_TARGET | core.ErrorCode.GENERATION_UNKNOWN:
            return 404
        case core.ErrorCode.KEY_IN_USE | core.ErrorCode.OUTCOME_UNKNOWN:
            return 409
        case core.ErrorCode.KEY_EXPIRED | core.ErrorCode.GENERATION_LOST:
            return 410
        case core.ErrorCode.REQUEST_CRASHES_TARGETS:
            return 422
        case core.ErrorCode.LIMIT_EXCEEDED:
            return 429
        case core.ErrorCode.INTERNAL:
            return 500
        case core.ErrorCode.DEADLINE_EXCEEDED:
            return 504
        case _:
            return 503


def _bad_request(message: str) -> core.CodedError:
    return core.CodedError(core.ErrorCode.BAD_REQUEST, message)
