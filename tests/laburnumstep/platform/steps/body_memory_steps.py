"""Steps for the memory that answers of servers take."""

from __future__ import annotations

import tracemalloc
import typing

import anyio
import attrs
import behave

from laburnumstep import core
from laburnumstep.platform import _servers
from laburnumstep.targets import relay
from support import clocks
from support import fake_peers
from support import hooks
from support import permits
from support import relay_fakes

_HEAD = b'HTTP/1.1 200 OK\r\nAttempt-Id: key-1\r\nResponse-Stamp: mac\r\n'
_ENDLESS_HEAD = _HEAD + b'Content-Length: 9000000000\r\n\r\n'


def add_server(context: typing.Any, peer: fake_peers.FakePeer) -> None:
    if not hasattr(context, 'addresses'):
        context.addresses = []
    context.addresses.append(hooks.enter_context(context, peer.serve()))


@behave.given('a server that sends an answer whose body does not end')
def step_endless(context: typing.Any) -> None:
    add_server(context, fake_peers.EndlessPeer(_ENDLESS_HEAD, b'y'))


@behave.given('a server that sends an answer of 4 bytes')
def step_sound(context: typing.Any) -> None:
    answer = _HEAD + b'Content-Length: 4\r\n\r\nabcd'
    add_server(context, fake_peers.FakePeer(answer, 'waits'))


async def send_requests(context: typing.Any, endless: int, sound: int) -> None:
    clock = core.SystemClock()
    client = _servers.ServerClient(
        clock, lambda service: 4, permits.make_limits(clock)
    )
    request = attrs.evolve(
        relay_fakes.make_request(core.CallKind(idempotent=True), clock.now()),
        headers=[(b'host', b'app.example')],
    )
    context.replies = [[], []]

    async def send(index: int) -> None:
        target = attrs.evolve(
            relay_fakes.make_target(f'i-{index}'),
            address=context.addresses[index],
        )
        attempt = relay.Attempt(
            request, target, relay.NewRun(), request.deadline
        )
        context.replies[index].append(await client.send(attempt))

    tracemalloc.start()
    try:
        async with anyio.create_task_group() as tasks:
            for index in [0] * endless + [1] * sound:
                tasks.start_soon(send, index)
        context.peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@behave.when(
    '{endless:d} requests to the first server and {sound:d} to the second are'
    ' sent at once'
)
def step_send(context: typing.Any, endless: int, sound: int) -> None:
    clocks.run_bounded(context, send_requests, context, endless, sound)


@behave.then(
    'the requests to the first server are lost and the other is answered'
)
def step_replies(context: typing.Any) -> None:
    lost, answered = context.replies
    assert all(isinstance(reply, relay.Lost) for reply in lost), lost
    assert all(isinstance(r, relay.Answered) for r in answered), answered


@behave.then('the process allocated less than {limit:d} MiB meanwhile')
def step_memory(context: typing.Any, limit: int) -> None:
    assert context.peak_bytes < limit * 1024 * 1024, context.peak_bytes
