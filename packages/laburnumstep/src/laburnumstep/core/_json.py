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
