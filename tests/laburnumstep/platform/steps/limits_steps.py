"""Steps for servers on the platform that name a limit."""

from __future__ import annotations

import json
import typing

import behave

from support import clocks
from support import platform_harness


async def send_requests(
    harness: platform_harness.PlatformHarness, path: str, count: int
) -> list[platform_harness.CallerResponse]:
    return [
        await platform_harness.send_raw(
            harness.address,
            platform_harness.encode_request(path, Attempt_Id=f'id-{number}'),
        )
        for number in range(count)
    ]


@behave.when('{count:d} requests for "{path}" are sent one after the other')
def step_send_many(context: typing.Any, count: int, path: str) -> None:
    context.answers = clocks.run_bounded(
        context, send_requests, context.harness, path, count
    )


@behave.then('the server received at most {count:d} requests')
def step_received_at_most(context: typing.Any, count: int) -> None:
    received = len(context.harness.server.received)
    assert received <= count, received


@behave.then('the others were refused as not run, with a time to come back')
def step_refused(context: typing.Any) -> None:
    received = len(context.harness.server.received)
    refused = [item for item in context.answers if item.status != 200]
    assert len(refused) == len(context.answers) - received
    for answer in refused:
        assert answer.status == 503, answer
        assert float(answer.headers['retry-after']) > 0, answer
        assert json.loads(answer.body)['error']['code'] == 'overloaded'
