"""Decodes JSON that another writer may have left in a damaged state."""

from __future__ import annotations

import json
import typing

MALFORMED_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)
"""What decoding raises for a document of an unexpected shape, or with numbers
out of range."""


MAX_COUNT = 2**31 - 1
"""Largest number of tokens or requests that is accepted from a peer. Larger
integers cannot be converted to floating point or sent to siblings."""


def decode_count(value: typing.Any) -> int:
    """Return a number of tokens or requests that a peer states.

    Args:
        value: The decoded JSON.

    Raises:
        TypeError: The value is no number.
        ValueError: The number is not in the range from 0 to `MAX_COUNT`.
        OverflowError: The number is infinite.
    """
    count = int(value)
    if not 0 <= count <= MAX_COUNT:
        raise ValueError(f'the count is not in the range 0 to {MAX_COUNT}')
    return count


def parse_json(
    data: str | bytes,
    parse_constant: typing.Callable[[str], typing.Any] | None = None,
) -> typing.Any:
    """Return the value that JSON describes.

    Args:
        data: The JSON.
        parse_constant: Called with `NaN`, `Infinity` and `-Infinity`; None
            accepts them.

    Raises:
        ValueError: The data is no JSON, or is nested too deeply.
    """
    try:
        return json.loads(data, parse_constant=parse_constant)
    except RecursionError as error:
        raise ValueError('the JSON is nested too deeply') from error
