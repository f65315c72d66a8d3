"""Steps for the cache of a topic's records."""

from __future__ import annotations

import typing

import anyio
import anyio.lowlevel
import attrs
import behave

from laburnumstep import log
from support import clocks

WAIT_SECONDS = 1.0
PASSES = 20
EPOCH = 1
"""Epoch of the log at the beginning."""


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
    start = context.cache.position
    records = parse_records(text, start.offset)
    following = attrs.evolve(start, offset=start.offset + len(records))
    page = log.KeyedPage(records, following)
    context.cache.extend(page, context.clock.now())


@behave.given('a cache of a topic whose values count without their counter')
def step_cache(context: typing.Any) -> None:
    context.clock = clocks.ObservedClock()

    async def create() -> None:
        context.cache = log.TopicCache(
            context.clock, lambda value: value.rstrip(b'+')
        )
        page = log.KeyedPage([], log.TopicPosition(EPOCH, 0))
        context.cache.replace(page, context.clock.now())

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
            page = log.KeyedPage([], log.TopicPosition(EPOCH, 50))
            context.cache.replace(page, context.clock.now())
        case ['the', 'log', 'comes', 'back', 'older', 'with', *records]:
            following = log.TopicPosition(EPOCH + 1, len(records))
            page = log.KeyedPage(
                parse_records(' '.join(records), 0), following
            )
            context.cache.replace(page, context.clock.now())
        case ['a', 'page', 'of', 'the', 'next', 'epoch', 'is', 'read']:
            page = log.KeyedPage([], log.TopicPosition(EPOCH + 1, 1))
            context.cache.extend(page, context.clock.now())
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


async def read(
    context: typing.Any, start: int, seconds: float, epoch: int | None = None
) -> None:
    wait_until = context.clock.now() + seconds
    position = log.TopicPosition(epoch or EPOCH, start)
    try:
        context.page = await context.cache.read_from(position, wait_until)
        context.result = f'returns {format_records(context.page.records)}'
    except log.EpochChanged:
        context.result = 'finds another epoch'
    except log.HistoryLost:
        context.result = 'finds its history lost'
    except log.TopicUnavailable:
        context.result = 'finds it unavailable'


@behave.given('then {event}')
def step_event(context: typing.Any, event: str) -> None:
    async def apply() -> None:
        apply_event(context, event)

    context.portal.call(apply)


@behave.when('records from offset {start:d} of epoch {epoch:d} are read')
def step_read_epoch(context: typing.Any, start: int, epoch: int) -> None:
    clocks.run_bounded(context, read, context, start, 0.0, epoch)


@behave.when(
    'the newest records at offset {start:d} of epoch {epoch:d} are read'
)
def step_newest_epoch(context: typing.Any, start: int, epoch: int) -> None:
    async def read_newest() -> None:
        position = log.TopicPosition(epoch, start)
        try:
            await context.cache.read_newest(position, context.clock.now())
            context.result = 'returns records'
        except log.TopicUnavailable:
            context.result = 'finds it unavailable'

    clocks.run_bounded(context, read_newest)


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
            await context.cache.read_newest(
                log.TopicPosition(EPOCH, start), context.clock.now()
            )
            context.result = 'returns records'
        except log.TopicUnavailable:
            context.result = 'finds it unavailable'

    clocks.run_bounded(context, read_newest)


@behave.then('the read returns {expected}, next {next_offset:d}')
def step_returned(
    context: typing.Any, expected: str, next_offset: int
) -> None:
    assert context.result == f'returns {expected}', context.result
    assert context.page.next_position.offset == next_offset, context.page


@behave.then('the newest records are {expected}, next {next_offset:d}')
def step_newest_are(
    context: typing.Any, expected: str, next_offset: int
) -> None:
    page = clocks.run_bounded(
        context, context.cache.read_newest, None, context.clock.now()
    )
    assert format_records(page.records) == expected, page
    assert page.next_position.offset == next_offset, page


@behave.then('the reader {expected}')
@behave.then('the waiting read {expected}')
def step_waited(context: typing.Any, expected: str) -> None:
    assert context.result == expected, context.result


@behave.then('the topic is unavailable')
def step_unavailable(context: typing.Any) -> None:
    assert context.result == 'finds it unavailable', context.result


@behave.then('the history is lost')
def step_lost(context: typing.Any) -> None:
    assert context.result == 'finds its history lost', context.result
