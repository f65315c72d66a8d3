"""Steps for the cache of a topic's records."""

from __future__ import annotations

import typing

import anyio
import anyio.lowlevel
import behave

from laburnumstep import log
from support import clocks

WAIT_SECONDS = 1.0
PASSES = 20


def parse_records(text: str, start: int) -> list[log.KeyedRecord]:
    """Return records; a trailing plus sign stands for the counter."""
    records = []
    for item in text.split():
        key, _, value = item.partition('=')
        offset = start + len(records)
        records.append(log.KeyedRecord(key, value.encode() or None, offset))
    return records


def format_records(records: list[log.KeyedRecord]) -> str:
    texts = [f'{r.key}={(r.value or b"").decode()}' for r in records]
    return ' '.join(texts) or 'nothing'


def extend(context: typing.Any, text: str) -> None:
    start = context.cache.next_offset
    records = parse_records(text, start)
    page = log.KeyedPage(records, start + len(records))
    context.cache.extend(page, context.clock.now())


@behave.given('a cache of a topic whose values count without their counter')
def step_cache(context: typing.Any) -> None:
    context.clock = clocks.ObservedClock()

    async def create() -> None:
        context.cache = log.TopicCache(
            context.clock, lambda value: value.rstrip(b'+')
        )
        context.cache.replace(log.KeyedPage([], 0), context.clock.now())

    context.portal.call(create)


@behave.given('the cache has read {count:d} changes of a')
def step_many(context: typing.Any, count: int) -> None:
    text = ' '.join(f'a={number}' for number in range(count))
    context.portal.call(extend, context, text)


@behave.given('the cache has read {text}')
def step_read(context: typing.Any, text: str) -> None:
    context.portal.call(extend, context, text)


def apply_event(context: typing.Any, event: str) -> None:
    match event.split():
        case ['nothing', 'happens']:
            pass
        case [record, 'is', 'read']:
            extend(context, record)
        case ['the', 'topic', 'cannot', 'be', 'read']:
            context.cache.record_failure()
        case ['the', 'history', 'is', 'lost']:
            page = log.KeyedPage([], 50)
            context.cache.replace(page, context.clock.now())
        case ['its', 'wait', 'ends']:
            context.clock.advance(WAIT_SECONDS)
        case _:
            raise AssertionError(event)


@behave.given('nothing happens')
def step_nothing(context: typing.Any) -> None:
    pass


@behave.given('the topic cannot be read')
def step_failure(context: typing.Any) -> None:
    context.portal.call(context.cache.record_failure)


async def read(context: typing.Any, start: int, seconds: float) -> None:
    wait_until = context.clock.now() + seconds
    try:
        context.page = await context.cache.read_from(start, wait_until)
        context.result = f'returns {format_records(context.page.records)}'
    except log.HistoryLost:
        context.result = 'finds its history lost'
    except log.TopicUnavailable:
        context.result = 'finds it unavailable'


@behave.when('records from offset {start:d} are read')
def step_read_from(context: typing.Any, start: int) -> None:
    clocks.run_bounded(context, read, context, start, 0.0)


@behave.when('a read from offset {start:d} waits, and then {event}')
def step_wait(context: typing.Any, start: int, event: str) -> None:
    async def wait() -> None:
        context.result = 'is still waiting'
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read, context, start, WAIT_SECONDS)
            await context.clock.wait_for_sleeps(1)
            apply_event(context, event)
            for _ in range(PASSES):
                await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()

    clocks.run_bounded(context, wait)


@behave.when('the newest records at offset {start:d} or later are read')
def step_newest(context: typing.Any, start: int) -> None:
    async def read_newest() -> None:
        try:
            await context.cache.read_newest(start, context.clock.now())
            context.result = 'returns records'
        except log.TopicUnavailable:
            context.result = 'finds it unavailable'

    clocks.run_bounded(context, read_newest)


@behave.then('the read returns {expected}, next {next_offset:d}')
def step_returned(
    context: typing.Any, expected: str, next_offset: int
) -> None:
    assert context.result == f'returns {expected}', context.result
    assert context.page.next_offset == next_offset, context.page


@behave.then('the newest records are {expected}, next {next_offset:d}')
def step_newest_are(
    context: typing.Any, expected: str, next_offset: int
) -> None:
    page = clocks.run_bounded(
        context, context.cache.read_newest, 0, context.clock.now()
    )
    assert format_records(page.records) == expected, page
    assert page.next_offset == next_offset, page


@behave.then('the waiting read {expected}')
def step_waited(context: typing.Any, expected: str) -> None:
    assert context.result == expected, context.result


@behave.then('the topic is unavailable')
def step_unavailable(context: typing.Any) -> None:
    assert context.result == 'finds it unavailable', context.result


@behave.then('the history is lost')
def step_lost(context: typing.Any) -> None:
    assert context.result == 'finds its history lost', context.result
