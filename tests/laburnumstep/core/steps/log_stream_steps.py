"""Steps for the log stream."""

from __future__ import annotations

import os
import re
import typing

import behave

from laburnumstep import core


@behave.given('a log stream of {limit:d} bytes whose reader {state}')
def step_stream(context: typing.Any, limit: int, state: str) -> None:
    context.reader, writer = os.pipe()
    context.stream = core.DroppingStream(writer, limit)
    context.stack = []
    if state == 'is closed':
        os.close(context.reader)
    else:
        os.set_blocking(context.reader, False)


@behave.when('{count:d} lines of {size:d} bytes are written')
def step_write(context: typing.Any, count: int, size: int) -> None:
    context.line = 'x' * (size - 1)
    context.dropped = 0
    for _ in range(count):
        context.stream.write(context.line + '\n')


@behave.then('lines were dropped')
def step_dropped(context: typing.Any) -> None:
    context.dropped = context.stream.dropped
    assert context.dropped > 0


def read_all(descriptor: int) -> bytes:
    data = b''
    while True:
        try:
            data += os.read(descriptor, 65536)
        except BlockingIOError:
            return data


@behave.when(
    'the reader reads the available lines and another line is written'
)
def step_read(context: typing.Any) -> None:
    context.data = read_all(context.reader)
    context.stream.write(context.line + '\n')
    context.data += read_all(context.reader)


@behave.then('the reader receives the number of dropped lines')
def step_drop_notice(context: typing.Any) -> None:
    found = re.search(rb'dropped; lines=(\d+)', context.data)
    assert found and int(found[1]) == context.dropped, found


@behave.then('each line that it receives is complete')
def step_complete_lines(context: typing.Any) -> None:
    lines = context.data.decode().splitlines()
    assert all(line == context.line or 'dropped' in line for line in lines), (
        lines
    )
