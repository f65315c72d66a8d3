"""Dictionaries that hold a limited number of entries."""

from __future__ import annotations

import typing

_Key = typing.TypeVar('_Key')
_Value = typing.TypeVar('_Value')


def put_bounded(
    items: dict[_Key, _Value], key: _Key, value: _Value, limit: int
) -> None:
    """Store a value as the newest entry and drop the oldest beyond a limit.

    Args:
        items: Entries in the order in which they were stored.
        key: Key of the entry.
        value: Its value.
        limit: Maximum number of entries.
    """
    items.pop(key, None)
    items[key] = value
    if len(items) > limit:
        del items[next(iter(items))]
