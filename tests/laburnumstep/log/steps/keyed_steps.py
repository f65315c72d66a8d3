"""Steps for the follower of keyed topics."""

from __future__ import annotations

import re
import typing

import anyio
import behave

from laburnumstep import log
from support import clocks


class Topic:
    """Gives what a script says, and never answers after its end.

    Args:
        script: What each read gives.
    """

    def __init__(self, script: list[str]) -> None:
        self.deadlines: list[float] = []
        self._script = script
        self.asked: list[str] = []
        self.done = anyio.Event()

    async def read_newest(self, deadline: float) -> log.KeyedPage:
        return await self._give('newest')

    async def read_from(
        self, offset: int, wait_until: float, deadline: float
    ) -> log.KeyedPage:
        self.deadlines.append(deadline)
        return await self._give(str(offset))

    async def _give(self, asked: str) -> log.KeyedPage:
        if not self._script:
            self.done.set()
            await anyio.sleep_forever()
        self.asked.append(asked)
        words = self._script.pop(0).split()
        if words == ['unavailable']:
            raise log.TopicUnavailable('scripted')
        if words == ['history', 'lost']:
            raise log.HistoryLost
        key, _, value = words[1].partition('=')
        offset = len(self.asked) - 1
        record = log.KeyedRecord(key, value.encode() or None, offset)
        following = 1 if asked == 'newest' else int(asked) + 1
        return log.KeyedPage([record], following)


class Reader:
    """Remembers what it is told."""

    def __init__(self) -> None:
        self.seen: list[str] = []

    def apply_snapshot(self, records: list[log.KeyedRecord]) -> None:
        self._keep('snapshot', records)

    def apply_records(self, records: list[log.KeyedRecord]) -> None:
        self._keep('records', records)

    def note_failure(self) -> None:
        self.seen.append('failure')

    def _keep(self, kind: str, records: list[log.KeyedRecord]) -> None:
        for record in records:
            value = (record.value or b'').decode()
            self.seen.append(f'{kind} {record.key}={value}')


def split(text: str) -> list[str]:
    return re.findall('"([^"]*)"', text)


@behave.given('a keyed topic that gives {script}')
def step_topic(context: typing.Any, script: str) -> None:
    context.topic = Topic(split(script))
    context.reader = Reader()


async def follow(context: typing.Any) -> None:
    clock = clocks.ObservedClock()
    follower = log.KeyedFollower(
        'test', context.topic, context.reader, clock, lambda: 0.5
    )
    context.began = clock.now()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        while not context.topic.done.is_set():
            await anyio.lowlevel.checkpoint()
            clock.advance(1.0)
        tasks.cancel_scope.cancel()


@behave.when('the follower has read {count:d} times')
def step_follow(context: typing.Any, count: int) -> None:
    clocks.wait(context, follow, context)
    assert len(context.topic.asked) == count, context.topic.asked


@behave.then('the reader saw {expected}')
def step_seen(context: typing.Any, expected: str) -> None:
    assert context.reader.seen == split(expected), context.reader.seen


@behave.then('the offsets asked for were {expected}')
def step_asked(context: typing.Any, expected: str) -> None:
    assert context.topic.asked == split(expected), context.topic.asked


@behave.then('the read is given up {seconds:g} seconds after its begin')
def step_given_up(context: typing.Any, seconds: float) -> None:
    # The clock has moved by one second before the second read.
    patience = context.topic.deadlines[0] - context.began - 1.0
    assert patience <= seconds, patience
