"""Steps for requests that crash engines."""

from __future__ import annotations

import time
import typing

import behave

from laburnumstep_standins import caller
from support import cluster
from support import polling


async def _send(context: typing.Any, prompt: str, name: str) -> caller.Answer:
    client = context.cluster.make_caller(name)
    deadline = time.time() + cluster.DEADLINE_SECONDS
    body = {'model': cluster.MODEL, 'prompt': prompt, 'delivery': 'whole'}
    answer = caller.Answer()
    await client.generate(body, deadline, answer)
    await client.close()
    return answer


@behave.given('engines crash on the prompt "{prompt}"')
def step_crash_on(context: typing.Any, prompt: str) -> None:
    def arm() -> None:
        for host in context.cluster.engines.values():
            host.stand_in.set_faults(crash_prompt=prompt)

    context.portal.call(arm)


@behave.when(
    'the prompt "{prompt}" is sent through "{name}" until it is refused'
)
def step_send(context: typing.Any, prompt: str, name: str) -> None:
    async def is_refused() -> bool:
        answer = await _send(context, prompt, name)
        assert not answer.whole
        code = answer.error['code'] if answer.error else ''
        return code == 'request_crashes_targets'

    context.portal.call(polling.wait_until, is_refused)


@behave.then('at most {count:d} engines have crashed')
def step_crashed(context: typing.Any, count: int) -> None:
    hosts = context.cluster.engines.values()
    assert sum(host.stand_in.crashed for host in hosts) <= count


@behave.then('the prompt "{prompt}" is answered through "{name}"')
def step_answered(context: typing.Any, prompt: str, name: str) -> None:
    async def is_answered() -> bool:
        return (await _send(context, prompt, name)).whole

    context.portal.call(polling.wait_until, is_answered)
