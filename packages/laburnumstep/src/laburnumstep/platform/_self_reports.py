"""Decodes what the head of an answer says about its server."""

from __future__ import annotations

import re
import typing

from laburnumstep import core
from laburnumstep.platform import _headers
from laburnumstep import targets
from laburnumstep.targets import limits

if typing.TYPE_CHECKING:
    from laburnumstep import transport

_SERVICE_UNAVAILABLE = 503
_MAX_TEXT_LENGTH = 64
_DECIMAL = re.compile(rb'\d+(\.\d*)?|\.\d+')

_LOGGER = core.get_logger('platform')


def decode_self_report(
    target: str, response: transport.ResponseHead
) -> targets.SelfReport | None:
    """Return what an answer says about its server; None if nothing.

    Values that cannot be read are logged and ignored.

    Args:
        target: Name of the server, for the log.
        response: Head of the answer.
    """
    leaving = response.find(_headers.SERVER_LEAVING)
    cold_ms = response.find(_headers.COLD_MS)
    # Other statuses do not ask for a pause; most refusals state none.
    retry_after = (
        response.find(_headers.RETRY_AFTER)
        if response.status == _SERVICE_UNAVAILABLE
        else None
    )
    if leaving is None and cold_ms is None and retry_after is None:
        return None
    cold_seconds = _decode_number(
        target, _headers.COLD_MS, cold_ms, limits.MAX_COLD_SECONDS * 1000
    )
    return targets.SelfReport(
        leaving=_decode_flag(target, leaving),
        back_off_seconds=_decode_number(
            target,
            _headers.RETRY_AFTER,
            retry_after,
            targets.MAX_BACK_OFF_SECONDS,
        ),
        cold_seconds=None if cold_seconds is None else cold_seconds / 1000,
    )


def _decode_flag(target: str, value: bytes | None) -> bool:
    if value not in (None, b'0', b'1'):
        _log_unreadable(target, _headers.SERVER_LEAVING, value)
    return value == b'1'


def _decode_number(
    target: str, name: bytes, value: bytes | None, maximum: float
) -> float | None:
    """Return a number, at most the maximum; None if it cannot be read."""
    if value is None:
        return None
    if len(value) > _MAX_TEXT_LENGTH or not _DECIMAL.fullmatch(value):
        _log_unreadable(target, name, value)
        return None
    return min(float(value), maximum)


def _log_unreadable(target: str, name: bytes, value: bytes | None) -> None:
    _LOGGER.warning(
        'header cannot be read; target=%s name=%s value=%r',
        target,
        name.decode(),
        (value or b'')[:_MAX_TEXT_LENGTH],
    )
