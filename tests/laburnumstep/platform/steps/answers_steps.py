"""Steps for what a server sends and how the platform's client reads it."""

from __future__ import annotations

import contextlib
import typing

import anyio
import attrs
import behave

from laburnumstep import core
from laburnumstep.platform import _servers
from laburnumstep import targets
from laburnumstep.targets import relay
from support import clocks
from support import hooks
from support import permits
from support import relay_fakes
from support import scripted_server
from support import vm_process

_KINDS: dict[str, core.RouteKind] = {
    'safe': core.CallKind(idempotent=True),
    'plan': core.StreamKind(resumable=True),
}
_HEADERS = {
    '{first}': 'Attempt-Id: key-0\r\n',
    '{own}': 'Attempt-Id: key-1\r\n',
    '{other}': 'Attempt-Id: key-9\r\n',
    '{mac}': 'Response-Stamp: mac\r\n',
    '{sse}': 'Content-Type: text/event-stream\r\n',
    '{chunked}': 'Transfer-Encoding: chunked\r\n',
    '{endless}': 'HTTP/1.1 200 OK\r\nX: ' + 'a' * 1_000_000,
}
_REFUSAL = (
    'HTTP/1.1 503 Busy\r\n{first}Not-Executed: 1\r\nContent-Length: 0\r\n'
    'Keep-Alive: timeout=9\r\n\r\n'
)


def encode_script(text: str) -> bytes:
    text = text.replace('\\r', '\r').replace('\\n', '\n')
    for name, value in _HEADERS.items():
        text = text.replace(name, value)
    return text.encode()


@contextlib.asynccontextmanager
async def run_server(
    server: scripted_server.ScriptedServer,
) -> typing.AsyncIterator[None]:
    async with anyio.create_task_group() as tasks:
        await tasks.start(server.run)
        yield
        tasks.cancel_scope.cancel()


def start_server(context: typing.Any, scripts: list[str], ending: str) -> None:
    context.server = scripted_server.ScriptedServer(
        [encode_script(script) for script in scripts], ending
    )
    hooks.enter_context(context, run_server(context.server))


@behave.given('a server that sends "{script}" and {ending:w}')
def step_server(context: typing.Any, script: str, ending: str) -> None:
    start_server(context, [script], ending)


@behave.given(
    'a server that first refuses a request and then sends "{script}"'
)
def step_refusing_server(context: typing.Any, script: str) -> None:
    start_server(context, [_REFUSAL, script], 'waits')


async def send_requests(
    server: scripted_server.ScriptedServer,
    kind: str,
    keys: list[str],
    words: list[targets.SelfReport],
    sent: list[int],
) -> str:
    """Send requests one after the other and describe the last reply.

    Args:
        server: The server.
        kind: Kind of the route.
        keys: Request keys.
        words: Receives what the answers say about the server.
        sent: Receives the number of requests that the server has received
            whenever one is reported as sent.
    """
    clock = core.SystemClock()
    client = _servers.ServerClient(
        clock,
        lambda service: 1,
        permits.make_limits(clock),
        lambda name, report, sent_at: words.append(report),
    )
    target = attrs.evolve(relay_fakes.make_target('a'), address=server.address)
    description = ''
    for key in keys:
        request = attrs.evolve(
            relay_fakes.make_request(_KINDS[kind], clock.now()),
            key=key,
            headers=[(b'host', b'app.example')],
        )
        attempt = relay.Attempt(
            request,
            target,
            relay.NewRun(),
            request.deadline,
            on_sent=lambda: sent.append(server.requests),
        )
        reply = await client.send(attempt)
        description = type(reply).__name__
        if isinstance(reply, relay.Streaming):
            description = await describe_stream(reply, request.deadline)
    client.close_removed([])
    return description


async def describe_stream(reply: relay.Streaming, deadline: float) -> str:
    positions: list[str] = []
    try:
        while (events := await reply.source.read(deadline)) is not None:
            positions += [(e.position or b'-').decode() for e in events]
    except relay.StreamBroken:
        return f'events {",".join(positions)} and a break'
    return f'events {",".join(positions)} and the end'


@behave.when('a "{kind}" request is sent to it')
def step_send(context: typing.Any, kind: str) -> None:
    context.words = []
    context.sent = []
    context.reply = clocks.run_bounded(
        context,
        send_requests,
        context.server,
        kind,
        ['key-1'],
        context.words,
        context.sent,
    )


@behave.when('two "{kind}" requests are sent over one connection')
def step_send_two(context: typing.Any, kind: str) -> None:
    context.reply = clocks.run_bounded(
        context,
        send_requests,
        context.server,
        kind,
        ['key-0', 'key-1'],
        [],
        [],
    )
    assert context.server.requests == 2, context.server.requests


@behave.then('the reply is {reply}')
def step_reply(context: typing.Any, reply: str) -> None:
    assert context.reply == reply, context.reply


@behave.given('a server that accepts no connections')
def step_closed_server(context: typing.Any) -> None:
    context.server = scripted_server.ScriptedServer([b''], 'closes')
    (port,) = vm_process.find_ports(1)
    context.server.address = f'127.0.0.1:{port}'


@behave.then('it was reported as sent {count:d} times, before it arrived')
def step_reported_sent(context: typing.Any, count: int) -> None:
    assert context.sent == [0] * count, context.sent


def describe_words(report: targets.SelfReport) -> str:
    parts = ['leaving'] if report.leaving else []
    if report.back_off_seconds is not None:
        parts.append(f'back-off {report.back_off_seconds:g}')
    if report.cold_seconds is not None:
        parts.append(f'cold {report.cold_seconds:g}')
    return ' '.join(parts) or 'nothing'


@behave.then("the server's words are {words}")
def step_notices(context: typing.Any, words: str) -> None:
    found = ','.join(describe_words(item) for item in context.words)
    assert (found or 'none') == words, found
