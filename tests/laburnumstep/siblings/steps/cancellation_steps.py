"""Steps for calls that are given up."""

from __future__ import annotations

import socket
import time
import typing

import anyio
import behave

from laburnumstep import siblings

_MOMENT_SECONDS = 0.2
_LIMIT_SECONDS = 30.0


@behave.given('a sibling that accepts connections and never answers')
def step_silent(context: typing.Any) -> None:
    listener = socket.create_server(('127.0.0.1', 0))
    context.stack.callback(listener.close)
    context.silent = f'127.0.0.1:{listener.getsockname()[1]}'


@behave.when('a task {call} and gives up after a moment')
def step_give_up(context: typing.Any, call: str) -> None:
    context.steps = []
    context.portal.call(_run, context, call)


async def _run(context: typing.Any, call: str) -> None:
    async def work() -> None:
        with anyio.move_on_after(_MOMENT_SECONDS):
            await _call(context.silent, call)
        context.steps.append('task')

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(work)
    context.steps.append('group')


async def _call(address: str, call: str) -> None:
    if call == 'forwards claims':
        links = siblings.GrpcLinks('127.0.0.1:0', 'a-key-of-siblings')
        deadline = time.time() + _LIMIT_SECONDS
        request = siblings.ClaimForward(0, {'records': []}, deadline)
        await links.claim(address, request)
    else:
        await siblings.fetch_configuration(
            address, 'a-key-of-siblings', 0, _LIMIT_SECONDS
        )


@behave.then('the task goes on and so does its task group')
def step_goes_on(context: typing.Any) -> None:
    assert context.steps == ['task', 'group'], context.steps
