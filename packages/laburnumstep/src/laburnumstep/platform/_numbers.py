"""Decodes numbers of other writers within a stated range."""

from __future__ import annotations

import math
import typing

from laburnumstep import core

_MAX_TEXT_LENGTH = 64

_LOGGER = core.get_logger('platform')


def decode_optional(
    value: typing.Any, maximum: float, field: str, subject: str
) -> float | None:
    """Return a number that is not negative, at most a maximum.

    Args:
        value: A decoded JSON value; None if the field is missing.
        maximum: Largest number that is returned.
        field: Name of the field, for the log.
        subject: What the field belongs to, for the log.

    Returns:
        The number, or None if it is missing or cannot be read.
    """
    if value is None:
        return None
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # A whole number of hundreds of digits does not fit into a float, but can
    # be compared with one.
    if not is_number or value < 0 or math.isnan(min(value, maximum)):
        _LOGGER.warning(
            'value cannot be read; subject=%s field=%s value=%.*s',
            subject,
            field,
            _MAX_TEXT_LENGTH,
            _describe(value),
        )
        return None
    return float(min(value, maximum))


def _describe(value: typing.Any) -> str:
    # Whole numbers of thousands of digits cannot be written as text.
    if isinstance(value, int):
        return 'a number out of range'
    return repr(value)
