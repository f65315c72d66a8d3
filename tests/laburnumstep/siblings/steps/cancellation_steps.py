"""Steps for the cancellation feature."""

from __future__ import annotations

import socket
import time
import typing

import anyio
import behave

from laburnumstep import core
from laburnumstep import siblings

_EXPIRING_SECONDS = 0.2
_CALL_TIMEOUT_SECONDS = 30.0


@behave.given('a sibling that accepts connections and never answers')
def step_unanswering_sibling(context: typing.Any) -> None:
    listener = socket.create_server(('127.0.0.1', 0))
    context.stack.callback(listener.close)
    context.address = f'127.0.0.1:{listener.getsockname()[1]}'


@behave.when('a task {call} with a time limit that expires')
def step_call_with_limit(context: typing.Any, call: str) -> None:
    context.continued = []
    context.portal.call(_run, context, call)


async def _run(context: typing.Any, call: str) -> None:
    async def work() -> None:
        with anyio.move_on_after(_EXPIRING_SECONDS):
            await _call(context.address, call)
        context.continued.append('task')

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(work)
    context.continued.append('group')


async def _call(address: str, call: str) -> None:
    if call == 'forwards claims':
        links = siblings.GrpcLinks(
            '127.0.0.1:0', 'a-key-of-siblings', core.SystemClock()
        )
        deadline = time.time() + _CALL_TIMEOUT_SECONDS
        request = siblings.ClaimForward(0, {'records': []}, deadline)
        await links.claim(address, request)
    else:
        await siblings.fetch_configuration(
            address, 'a-key-of-siblings', 0, _CALL_TIMEOUT_SECONDS
        )


@behave.then('the task and its task group continue')
def step_continue(context: typing.Any) -> None:
    assert context.continued == ['task', 'group'], context.continued
