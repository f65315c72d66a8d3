"""Steps for HTTP exchanges and the reuse of connections."""

from __future__ import annotations

import typing

import anyio
import behave

from laburnumstep import core
from laburnumstep import transport
from support import clocks
from support import fake_peers
from support import hooks
from support import vm_process

_HEAD = transport.RequestHead(b'GET', b'/', [(b'Host', b'peer')])
_MAX_BODY_BYTES = 1000


@behave.given('a peer that responds "{response}" and then {then}')
@behave.given('a peer that responds "" and then {then}')
def step_peer(context: typing.Any, then: str, response: str = '') -> None:
    content = response.encode().decode('unicode_escape').encode()
    context.clock = core.SystemClock()
    context.address = hooks.enter_context(
        context, fake_peers.FakePeer(content, then).serve()
    )
    context.closes = then != 'waits'


async def exchange(context: typing.Any) -> None:
    deadline = context.clock.now() + clocks.WAIT_SECONDS
    connection = await transport.HttpConnection.open(
        context.address, context.clock, deadline
    )
    context.connection = connection
    context.stack.callback(connection.close)
    try:
        await connection.send(_HEAD, b'', deadline)
        context.head = await connection.read_head(deadline)
        context.body = await connection.read_body(_MAX_BODY_BYTES, deadline)
    except transport.ExchangeFailed:
        context.body = None


@behave.when('a request is sent to it')
def step_exchange(context: typing.Any) -> None:
    clocks.run_bounded(context, exchange, context)


@behave.then('the exchange returns body {body}')
def step_body(context: typing.Any, body: str) -> None:
    assert context.body == body.encode(), context.body


@behave.then('the exchange returns a failure')
def step_failure(context: typing.Any) -> None:
    assert context.body is None, context.body


async def wait_until_not_reusable(
    connection: transport.HttpConnection,
) -> None:
    while connection.reusable:
        await anyio.lowlevel.checkpoint()


@behave.then('the connection is not kept')
def step_not_kept(context: typing.Any) -> None:
    clocks.run_bounded(context, wait_until_not_reusable, context.connection)


@behave.then('the connection is kept')
def step_kept(context: typing.Any) -> None:
    assert context.connection.reusable


@behave.given(
    'a peer that responds with "{begin}" and then "{repeated}" without end'
)
@behave.given('a peer that responds with "" and then "{repeated}" without end')
def step_endless(context: typing.Any, repeated: str, begin: str = '') -> None:
    first, again = (
        text.encode().decode('unicode_escape').encode()
        for text in (begin, repeated)
    )
    context.address = hooks.enter_context(
        context, fake_peers.EndlessPeer(first, again).serve()
    )


@behave.when('a request is sent to it on a clock that stands still')
def step_exchange_endless(context: typing.Any) -> None:
    context.clock = core.ManualClock()
    clocks.run_bounded(context, exchange, context)


@behave.given('an address without a listener')
def step_closed_port(context: typing.Any) -> None:
    context.clock = core.SystemClock()
    (port,) = vm_process.find_ports(1)
    context.address = f'127.0.0.1:{port}'


@behave.then('connecting to it raises ConnectFailed')
def step_connect_failed(context: typing.Any) -> None:
    try:
        clocks.run_bounded(context, exchange, context)
    except transport.ConnectFailed:
        return
    raise AssertionError('ConnectFailed was not raised')


async def exchange_over_pool(context: typing.Any) -> None:
    context.pool_clock = core.ManualClock()
    context.pool = transport.ConnectionPool(
        context.address, context.pool_clock
    )
    context.stack.callback(context.pool.close)
    deadline = context.pool_clock.now() + clocks.WAIT_SECONDS
    connection = await context.pool.acquire(False, deadline)
    await connection.send(_HEAD, b'', deadline)
    await connection.read_head(deadline)
    await connection.read_body(_MAX_BODY_BYTES, deadline)
    context.connection = connection
    context.pool.release(connection, context.pool_clock.now() + 1.0)


@behave.when('a request is sent over a pool')
def step_pool(context: typing.Any) -> None:
    clocks.run_bounded(context, exchange_over_pool, context)


def acquire(context: typing.Any, fresh: bool) -> transport.HttpConnection:
    deadline = context.pool_clock.now() + clocks.WAIT_SECONDS
    connection = clocks.run_bounded(
        context, context.pool.acquire, fresh, deadline
    )
    context.stack.callback(connection.close)
    return connection


@behave.then('the pool returns the same connection')
def step_same(context: typing.Any) -> None:
    assert acquire(context, fresh=False) is context.connection


@behave.then(
    'a new one if requested, and after the idle connection has expired'
)
def step_fresh(context: typing.Any) -> None:
    context.pool.release(context.connection, context.pool_clock.now() + 1.0)
    assert acquire(context, fresh=True) is not context.connection
    context.pool_clock.advance(1.0)
    assert acquire(context, fresh=False) is not context.connection
