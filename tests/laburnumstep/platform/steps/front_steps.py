"""Steps for a VM on the platform."""

from __future__ import annotations

import socket
import typing

import anyio
import anyio.lowlevel
import attrs
import behave
import httpcore

from laburnumstep import core
from laburnumstep import platform
from support import clocks
from support import hooks
from support import platform_rig


@behave.given('a VM on the platform with one server')
def step_vm(context: typing.Any) -> None:
    start_vm(context, configured=True)


@behave.given('a VM on the platform without a configuration')
def step_unconfigured(context: typing.Any) -> None:
    start_vm(context, configured=False)


def start_vm(context: typing.Any, configured: bool) -> None:
    context.rig = context.portal.call(make_rig)
    hooks.enter(context, context.rig.run())
    if configured:
        configuration = platform_rig.make_configuration()
        write(context, configuration)
        clocks.wait(context, wait_ready, context.rig, 200)


async def make_rig() -> platform_rig.Rig:
    return platform_rig.Rig()


def write(context: typing.Any, document: platform_rig.Document) -> None:
    context.portal.call(context.rig.store.put, 'keyed.op', 'config', document)


async def ask_ready(rig: platform_rig.Rig) -> int:
    data = platform_rig.encode_request('/v1/ready', 'GET', b'')
    return (await platform_rig.send_raw(rig.ready_address, data)).status


async def wait_ready(rig: platform_rig.Rig, status: int) -> None:
    while await ask_ready(rig) != status:
        await anyio.lowlevel.checkpoint()


async def wait_status(rig: platform_rig.Rig, path: str, status: int) -> None:
    """Wait until a change is in force; requests before it may be served."""
    data = platform_rig.encode_request(path)
    while (await platform_rig.send_raw(rig.address, data)).status != status:
        await anyio.lowlevel.checkpoint()
    rig.server.received.clear()
    rig.server.bodies.clear()


def send(context: typing.Any, data: bytes) -> None:
    context.answer = clocks.wait(
        context, platform_rig.send_raw, context.rig.address, data
    )


@behave.when('"{method} {path}" with body "{body}" is sent')
def step_send(context: typing.Any, method: str, path: str, body: str) -> None:
    send(context, platform_rig.encode_request(path, method, body.encode()))


@behave.when('"{method} {path}" is sent with "{change}"')
@behave.when('"{method} {path}" is sent with ""')
def step_send_changed(
    context: typing.Any, method: str, path: str, change: str = ''
) -> None:
    name, _, value = change.partition(': ')
    data = platform_rig.encode_request(path, method)
    if name == 'Host':
        data = data.replace(platform_rig.HOST.encode(), value.encode())
    elif name:
        key = name.replace('-', '_')
        data = platform_rig.encode_request(path, method, **{key: value})
    send(context, data)


@behave.when('a request is sent with header "{header}: {value}"')
def step_send_header(context: typing.Any, header: str, value: str) -> None:
    name = header.replace('-', '_')
    extra = {name: value}
    if header == 'Connection':
        extra[value] = 'hop'
    send(context, platform_rig.encode_request('/unsafe/1', **extra))
    context.hop = value if header == 'Connection' else header


@behave.when('a body of {size:d} bytes is sent')
def step_send_large(context: typing.Any, size: int) -> None:
    send(context, platform_rig.encode_request('/unsafe/1', body=b'x' * size))


@behave.when('a request with a length and chunks is sent before another one')
def step_smuggle(context: typing.Any) -> None:
    second = platform_rig.encode_request('/unsafe/2')
    first = platform_rig.encode_request(
        '/unsafe/1', body=b'0\r\n\r\n', Transfer_Encoding='chunked'
    )
    send(context, first + second)


@behave.then('the answer has status {status:d} and body "{body}"')
def step_answer(context: typing.Any, status: int, body: str) -> None:
    step_status(context, status)
    assert context.answer.body == body.encode(), context.answer.body


@behave.then('the answer has status {status:d}')
def step_status(context: typing.Any, status: int) -> None:
    assert context.answer.status == status, context.answer


@behave.then('the answer has header "{name}"')
def step_header(context: typing.Any, name: str) -> None:
    assert name in context.answer.headers, context.answer


@behave.then('the connection is closed')
def step_closed(context: typing.Any) -> None:
    assert context.answer.closed, context.answer


@behave.then('the server got "{method} {target}" with body "{body}"')
def step_got(context: typing.Any, method: str, target: str, body: str) -> None:
    (request,) = context.rig.server.received
    found = request.url.path, request.url.query
    path, _, query = target.partition('?')
    assert request.method == method
    assert found == (path, query), found
    assert context.rig.server.bodies == [body.encode()]


@behave.then('the server got headers')
def step_got_headers(context: typing.Any) -> None:
    for row in context.table:
        check_header(context, row['header'], row['value'])


@behave.then('the server got header "{name}" as "{value}"')
def step_got_header(context: typing.Any, name: str, value: str) -> None:
    check_header(context, context.hop if name == 'Connection' else name, value)


def check_header(context: typing.Any, name: str, value: str) -> None:
    (request,) = context.rig.server.received
    found = request.headers.getlist(name)
    expected = [] if value == 'none' else [value]
    assert found == expected, (name, found)


@behave.then('the server got at most {limit:d} ms')
def step_remaining(context: typing.Any, limit: int) -> None:
    (request,) = context.rig.server.received
    remaining = int(request.headers['deadline-remaining'])
    assert 0 < remaining <= limit, remaining


@behave.then('the server got {count:d} requests')
def step_count(context: typing.Any, count: int) -> None:
    assert len(context.rig.server.received) == count


@behave.given('the server answers {status:d} with "{header}: {value}"')
@behave.given('the server answers {status:d} with "{header}: "')
def step_server(
    context: typing.Any, status: int, header: str, value: str = ''
) -> None:
    context.rig.server.status = status
    context.rig.server.headers = {header: value}


@behave.given('the server does not answer')
def step_silent(context: typing.Any) -> None:
    context.rig.server.silent = True


@behave.then('the server sees its caller leave')
def step_left(context: typing.Any) -> None:
    clocks.wait(context, context.rig.server.gone.wait)


@behave.given('the server says that it is draining')
def step_draining(context: typing.Any) -> None:
    rig = context.rig
    entry = platform_rig.make_entry(rig.server_address, state='draining')
    context.portal.call(rig.store.put, 'keyed.servers', 'i-1', entry)
    clocks.wait(context, wait_status, rig, '/unsafe/1', 503)


@behave.given('version {version:d} of the configuration is written {how}')
def step_version(context: typing.Any, version: int, how: str) -> None:
    configuration = platform_rig.make_configuration(version)
    if how == 'without routes':
        configuration['routes'] = []
    write(context, configuration)
    if how == 'without routes':
        clocks.wait(context, wait_status, context.rig, '/unsafe/1', 404)
    else:
        # The server's entry is read behind the configuration.
        clocks.wait(context, read_on, context.rig)


async def read_on(rig: platform_rig.Rig) -> None:
    """Wait until the VM has read the last version."""
    for _ in range(3):
        await ask_ready(rig)


@behave.given('the VM is ready')
@behave.then('the VM is ready')
def step_ready(context: typing.Any) -> None:
    assert clocks.wait(context, ask_ready, context.rig) == 200


@behave.then('the VM is not ready')
def step_not_ready(context: typing.Any) -> None:
    clocks.wait(context, wait_ready, context.rig, 503)


@behave.when('the VM is told to stop')
def step_stop(context: typing.Any) -> None:
    context.portal.call(context.rig.stopping.set)


@behave.given('a request waits with 60 seconds to its deadline')
def step_waiting(context: typing.Any) -> None:
    data = platform_rig.encode_request(
        '/unsafe/1', 'POST', Deadline_Remaining='60000'
    )
    context.received = []

    async def wait_for_answer() -> None:
        host, _, port = context.rig.address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(data)
            try:
                context.received.append(await stream.receive())
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass

    context.portal.start_task_soon(wait_for_answer)
    clocks.wait(context, wait_received, context.rig)


async def wait_received(rig: platform_rig.Rig) -> None:
    """Wait until the server has the request."""
    while not rig.server.received:
        await anyio.lowlevel.checkpoint()


@behave.then('the VM ends before the request is answered')
def step_ends_first(context: typing.Any) -> None:
    step_ends(context)
    assert not context.received, context.received


@behave.then('the VM ends')
def step_ends(context: typing.Any) -> None:
    clocks.wait(context, context.rig.stopped.wait)


async def read_metrics(rig: platform_rig.Rig) -> str:
    """Return the page of metrics of a VM."""
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            'GET', f'http://{rig.metrics_address}/metrics'
        )
    assert response.status == 200, response.status
    return response.content.decode()


@behave.then('the metrics have "{line}"')
def step_metrics(context: typing.Any, line: str) -> None:
    page = clocks.wait(context, read_metrics, context.rig)
    assert line in page.splitlines(), page


@behave.given('a port that another process listens on')
def step_taken_port(context: typing.Any) -> None:
    context.taken = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(context.taken.close)


@behave.when('a VM is built whose metrics have that port')
def step_build(context: typing.Any) -> None:
    port = context.taken.getsockname()[1]

    async def build() -> dict[str, str]:
        settings = attrs.evolve(
            platform_rig.make_settings('127.0.0.1:1'),
            metrics_address=f'127.0.0.1:{port}',
        )
        return platform.PlatformVM(settings, core.SteadyClock()).addresses

    context.addresses = clocks.wait(context, build)


@behave.then('it has no address for metrics')
def step_no_metrics(context: typing.Any) -> None:
    assert context.addresses['metrics'] == '', context.addresses
    assert context.addresses['callers'], context.addresses
