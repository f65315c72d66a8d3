"""Steps for the follower of keyed topics."""

from __future__ import annotations

import re
import typing

import anyio
import behave

from laburnumstep import log
from support import clocks


class ScriptedTopic:
    """Answers reads from a script, and not at all after its end.

    Args:
        script: The result of each read.
    """

    def __init__(self, script: list[str]) -> None:
        self.deadlines: list[float] = []
        self._script = script
        self.requested: list[str] = []
        self.script_ended = anyio.Event()

    async def read_newest(self, deadline: float) -> log.KeyedPage:
        return await self._next_page('newest')

    async def read_from(
        self, position: log.TopicPosition, wait_until: float, deadline: float
    ) -> log.KeyedPage:
        self.deadlines.append(deadline)
        return await self._next_page(str(position.offset))

    async def _next_page(self, requested: str) -> log.KeyedPage:
        if not self._script:
            self.script_ended.set()
            await anyio.sleep_forever()
        self.requested.append(requested)
        parts = self._script.pop(0).split()
        if parts == ['unavailable']:
            raise log.TopicUnavailable('scripted')
        if parts == ['history', 'lost']:
            raise log.HistoryLost
        if parts == ['epoch', 'changed']:
            raise log.EpochChanged
        key, _, value = parts[1].partition('=')
        offset = len(self.requested) - 1
        record = log.KeyedRecord(key, value.encode() or None, offset)
        next_offset = 1 if requested == 'newest' else int(requested) + 1
        following = log.TopicPosition(1, next_offset)
        return log.KeyedPage([record], following)


class RecordingReader:
    """Records the calls of a follower."""

    def __init__(self) -> None:
        self.received: list[str] = []

    def apply_snapshot(self, records: list[log.KeyedRecord]) -> None:
        self._record('snapshot', records)

    def apply_records(self, records: list[log.KeyedRecord]) -> None:
        self._record('records', records)

    def record_failure(self) -> None:
        self.received.append('failure')

    def _record(self, kind: str, records: list[log.KeyedRecord]) -> None:
        for record in records:
            value = (record.value or b'').decode()
            self.received.append(f'{kind} {record.key}={value}')


def find_quoted(text: str) -> list[str]:
    return re.findall('"([^"]*)"', text)


@behave.given('a keyed topic that returns {script}')
def step_topic(context: typing.Any, script: str) -> None:
    context.topic = ScriptedTopic(find_quoted(script))
    context.reader = RecordingReader()


async def follow(context: typing.Any) -> None:
    clock = clocks.ObservedClock()
    follower = log.KeyedFollower(
        'test', context.topic, context.reader, clock, lambda: 0.5
    )
    context.started_at = clock.now()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        while not context.topic.script_ended.is_set():
            await anyio.lowlevel.checkpoint()
            clock.advance(1.0)
        tasks.cancel_scope.cancel()


@behave.when('the follower has read {count:d} times')
def step_follow(context: typing.Any, count: int) -> None:
    clocks.run_bounded(context, follow, context)
    assert len(context.topic.requested) == count, context.topic.requested


@behave.then('the reader received {expected}')
def step_received(context: typing.Any, expected: str) -> None:
    assert context.reader.received == find_quoted(expected), (
        context.reader.received
    )


@behave.then('the requested offsets were {expected}')
def step_requested(context: typing.Any, expected: str) -> None:
    assert context.topic.requested == find_quoted(expected), (
        context.topic.requested
    )


@behave.then('the read times out {seconds:g} seconds after its start')
def step_times_out(context: typing.Any, seconds: float) -> None:
    # The clock has moved by one second before the second read.
    timeout = context.topic.deadlines[0] - context.started_at - 1.0
    assert timeout <= seconds, timeout
