"""What an answer of a target says about the requests that it takes."""

from __future__ import annotations

import re
import typing

import attrs

LIMIT_HEADER = 'request-limit'
"""Name, in lower case, of the header with which engines and services of the
product's own protocol name a limit."""
MIN_RATE = 0.1
"""Lowest rate that is used, in requests a second. Without requests nobody
would learn that a target has ended its limit."""
MAX_RATE = 1e6
"""Highest rate that is used, in requests a second."""
_MAX_TEXT_LENGTH = 64
_DECIMAL = re.compile(r'\d+(\.\d*)?|\.\d+', re.ASCII)


@attrs.frozen
class NoLimit:
    """The answer names no limit."""


@attrs.frozen
class RateLimit:
    """The target takes requests at a rate, from all VMs together."""

    rate: float
    """Requests a second."""


@attrs.frozen
class UnreadableLimit:
    """The answer names a limit that cannot be read."""

    text: str
    """Beginning of the value."""


LimitWord = NoLimit | RateLimit | UnreadableLimit


def parse_limit(values: typing.Sequence[str]) -> LimitWord:
    """Return what the values of an answer's limit header say.

    Of several rates the lowest counts. Rates are bounded by `MIN_RATE` and
    `MAX_RATE`.

    Args:
        values: Value of each header of that name; each may be a list.
    """
    items = [item.strip() for value in values for item in value.split(',')]
    if not items:
        return NoLimit()
    text = ','.join(values)[:_MAX_TEXT_LENGTH]
    if len(text) < len(','.join(values)):
        return UnreadableLimit(text)
    if not all(_DECIMAL.fullmatch(item) for item in items):
        return UnreadableLimit(text)
    rate = min(float(item) for item in items)
    return RateLimit(min(max(rate, MIN_RATE), MAX_RATE))
