"""Steps for requests that crash engines on the platform."""

from __future__ import annotations

import typing

import anyio
import anyio.lowlevel
import behave

from support import clocks
from support import hooks
from support import platform_engine
from support import platform_harness


@behave.given(
    'a VM on the platform with {count:d} engines that crash on the part'
    ' "{part}"'
)
def step_engines(context: typing.Any, count: int, part: str) -> None:
    context.harness = context.portal.call(make_harness, count, part)
    hooks.enter_context(context, context.harness.run())
    context.portal.call(context.harness.write_configuration)
    context.sent = 0
    clocks.run_bounded(context, wait_for_answer, context.harness)


async def make_harness(
    count: int, part: str
) -> platform_harness.PlatformHarness:
    return platform_harness.PlatformHarness(
        [
            platform_engine.CrashingEngine(f'e-{number}', part)
            for number in range(count)
        ]
    )


async def wait_for_answer(
    harness: platform_harness.PlatformHarness,
) -> None:
    """Wait until the VM knows its routes and an engine."""
    data = encode_prompt(0, 'start')
    while (
        await platform_harness.send_raw(harness.address, data)
    ).status != 200:
        await anyio.lowlevel.checkpoint()


def encode_prompt(number: int, parts: str, path: str = '') -> bytes:
    """Return a request whose last part is its own."""
    return platform_harness.encode_request(
        path or f'/plan/{number}',
        body=b'%d' % number,
        Attempt_Id=f'attempt-{number}',
        Model='m',
        Token_Usage='100,50',
        Prompt_Prefix=','.join(
            f'{part}:10' for part in [*parts.split(','), f'own{number}']
        ),
    )


async def send_prompt(
    harness: platform_harness.PlatformHarness, number: int, parts: str
) -> platform_harness.CallerResponse:
    data = encode_prompt(number, parts)
    return await platform_harness.send_raw(harness.address, data)


@behave.when(
    '{count:d} requests with parts "{parts}" and another last part are sent'
)
def step_send(context: typing.Any, count: int, parts: str) -> None:
    context.answers = []
    for _ in range(count):
        context.sent += 1
        context.answers.append(
            clocks.run_bounded(
                context, send_prompt, context.harness, context.sent, parts
            )
        )


@behave.then('at most {limit:d} engines have crashed')
def step_crashes(context: typing.Any, limit: int) -> None:
    crashed = [
        engine.name for engine in context.harness.engines if engine.crashed
    ]
    assert len(crashed) <= limit, (crashed, context.answers)


@behave.then('the last request got status {status:d} and no time to come back')
def step_final_refusal(context: typing.Any, status: int) -> None:
    answer = context.answers[-1]
    assert answer.status == status, answer
    assert 'retry-after' not in answer.headers, answer


@behave.then('the last request got status {status:d}')
def step_last_status(context: typing.Any, status: int) -> None:
    assert context.answers[-1].status == status, context.answers


async def read_to_end(address: str, data: bytes) -> bytes:
    """Send a request and return all bytes until the connection closes."""
    host, _, port = address.rpartition(':')
    received = b''
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(data)
        try:
            while True:
                received += await stream.receive()
        except anyio.EndOfStream:
            return received


@behave.when('a request to "{path}" with parts "{parts}" is sent')
def step_send_to(context: typing.Any, path: str, parts: str) -> None:
    data = encode_prompt(1, parts, path)
    context.received = clocks.run_bounded(
        context, read_to_end, context.harness.address, data
    )


@behave.then('the caller received the head and event 1 and no end')
def step_incomplete(context: typing.Any) -> None:
    head, _, body = context.received.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200 '), head
    assert b'transfer-encoding: chunked' in head.lower(), head
    event = b'id: 1\ndata: x\n\n'
    assert body == b'%x\r\n%b\r\n' % (len(event), event), body
