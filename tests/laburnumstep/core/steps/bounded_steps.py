"""Steps for dictionaries with a limited number of entries."""

from __future__ import annotations

import typing

import behave

from laburnumstep import core


@behave.given('a dictionary with a limit of {limit:d} entries')
def step_dictionary(context: typing.Any, limit: int) -> None:
    context.items = {}
    context.limit = limit


@behave.when('the keys "{keys}" are stored one after another')
def step_store(context: typing.Any, keys: str) -> None:
    for number, key in enumerate(keys.split()):
        core.put_bounded(context.items, key, number, context.limit)


@behave.then('the dictionary holds the keys "{keys}" in this order')
def step_check_keys(context: typing.Any, keys: str) -> None:
    assert list(context.items) == keys.split(), context.items
