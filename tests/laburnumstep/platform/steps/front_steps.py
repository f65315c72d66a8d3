"""Steps for a VM that serves callers on the platform."""

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
from support import platform_harness


@behave.given('a VM on the platform with one server')
def step_vm(context: typing.Any) -> None:
    start_vm(context, configured=True)


@behave.given('a VM on the platform without a configuration')
def step_unconfigured(context: typing.Any) -> None:
    start_vm(context, configured=False)


def start_vm(context: typing.Any, configured: bool) -> None:
    context.harness = context.portal.call(make_harness)
    hooks.enter_context(context, context.harness.run())
    if configured:
        configuration = platform_harness.make_configuration()
        write_configuration(context, configuration)
        clocks.run_bounded(context, wait_for_readiness, context.harness, 200)


async def make_harness() -> platform_harness.PlatformHarness:
    return platform_harness.PlatformHarness()


def write_configuration(
    context: typing.Any, document: platform_harness.Document
) -> None:
    context.portal.call(
        context.harness.store.append_record, 'keyed.op', 'config', document
    )


async def read_readiness(harness: platform_harness.PlatformHarness) -> int:
    data = platform_harness.encode_request('/v1/ready', 'GET', b'')
    return (
        await platform_harness.send_raw(harness.ready_address, data)
    ).status


async def wait_for_readiness(
    harness: platform_harness.PlatformHarness, status: int
) -> None:
    while await read_readiness(harness) != status:
        await anyio.lowlevel.checkpoint()


async def wait_for_status(
    harness: platform_harness.PlatformHarness, path: str, status: int
) -> None:
    """Wait until a path has a status, then forget the requests.

    Requests may reach the server before a change is in force.
    """
    data = platform_harness.encode_request(path)
    while (
        await platform_harness.send_raw(harness.address, data)
    ).status != status:
        await anyio.lowlevel.checkpoint()
    harness.server.received.clear()
    harness.server.bodies.clear()


def send_request(context: typing.Any, data: bytes) -> None:
    context.answer = clocks.run_bounded(
        context, platform_harness.send_raw, context.harness.address, data
    )


@behave.when('"{method} {path}" with body "{body}" is sent')
def step_send(context: typing.Any, method: str, path: str, body: str) -> None:
    send_request(
        context, platform_harness.encode_request(path, method, body.encode())
    )


@behave.when('"{method} {path}" is sent with "{change}"')
@behave.when('"{method} {path}" is sent with ""')
def step_send_changed(
    context: typing.Any, method: str, path: str, change: str = ''
) -> None:
    name, _, value = change.partition(': ')
    data = platform_harness.encode_request(path, method)
    if name == 'Host':
        data = data.replace(platform_harness.HOST.encode(), value.encode())
    elif name:
        key = name.replace('-', '_')
        data = platform_harness.encode_request(path, method, **{key: value})
    send_request(context, data)


@behave.when('a request is sent with header "{header}: {value}"')
def step_send_header(context: typing.Any, header: str, value: str) -> None:
    name = header.replace('-', '_')
    extra = {name: value}
    if header == 'Connection':
        extra[value] = 'hop'
    send_request(
        context, platform_harness.encode_request('/unsafe/1', **extra)
    )
    context.checked_header = value if header == 'Connection' else header


@behave.when('a body of {size:d} bytes is sent')
def step_send_large(context: typing.Any, size: int) -> None:
    send_request(
        context, platform_harness.encode_request('/unsafe/1', body=b'x' * size)
    )


@behave.when(
    'a request with a length and chunked encoding is sent before another one'
)
def step_smuggle(context: typing.Any) -> None:
    second = platform_harness.encode_request('/unsafe/2')
    first = platform_harness.encode_request(
        '/unsafe/1', body=b'0\r\n\r\n', Transfer_Encoding='chunked'
    )
    send_request(context, first + second)


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


@behave.then('the server received "{method} {target}" with body "{body}"')
def step_server_request(
    context: typing.Any, method: str, target: str, body: str
) -> None:
    (request,) = context.harness.server.received
    found = request.url.path, request.url.query
    path, _, query = target.partition('?')
    assert request.method == method
    assert found == (path, query), found
    assert context.harness.server.bodies == [body.encode()]


@behave.then('the server received headers')
def step_server_headers(context: typing.Any) -> None:
    for row in context.table:
        check_header(context, row['header'], row['value'])


@behave.then('the server received header "{name}" as "{value}"')
def step_server_header(context: typing.Any, name: str, value: str) -> None:
    check_header(
        context,
        context.checked_header if name == 'Connection' else name,
        value,
    )


def check_header(context: typing.Any, name: str, value: str) -> None:
    (request,) = context.harness.server.received
    found = request.headers.getlist(name)
    expected = [] if value == 'none' else [value]
    assert found == expected, (name, found)


@behave.then('the server received a deadline of at most {limit:d} ms')
def step_server_deadline(context: typing.Any, limit: int) -> None:
    (request,) = context.harness.server.received
    remaining = int(request.headers['deadline-remaining'])
    assert 0 < remaining <= limit, remaining


@behave.then('the server received {count:d} requests')
def step_server_request_count(context: typing.Any, count: int) -> None:
    assert len(context.harness.server.received) == count


@behave.given('the server answers {status:d} with "{header}: {value}"')
@behave.given('the server answers {status:d} with "{header}: "')
def step_server_answer(
    context: typing.Any, status: int, header: str, value: str = ''
) -> None:
    context.harness.server.status = status
    context.harness.server.headers = {header: value}


@behave.given(
    'the server answers {status:d} with "{header}: {value}" and bytes without'
    ' end'
)
def step_endless_answer(
    context: typing.Any, status: int, header: str, value: str
) -> None:
    step_server_answer(context, status, header, value)
    context.harness.server.endless = True


@behave.then('the server has sent less than {limit:d} MB')
def step_sent_bytes(context: typing.Any, limit: int) -> None:
    sent = context.harness.server.sent_bytes
    assert sent < limit * 1024 * 1024, sent


@behave.given('the server does not answer')
def step_unresponsive(context: typing.Any) -> None:
    context.harness.server.unresponsive = True


@behave.then('the server sees its caller disconnect')
def step_disconnected(context: typing.Any) -> None:
    clocks.run_bounded(
        context, context.harness.server.caller_disconnected.wait
    )


@behave.when('the odd entry "{text}" is written beside the servers')
def step_odd_entry(context: typing.Any, text: str) -> None:
    context.portal.call(
        context.harness.store.append_bytes,
        'keyed.servers',
        'i-odd',
        platform_harness.make_odd_bytes(text),
    )


@behave.when(
    'a record with the key bytes "{key}" is {read} beside the servers'
)
@behave.when('a record with the key bytes "" is {read} beside the servers')
def step_odd_key(context: typing.Any, read: str, key: str = '') -> None:
    name = key.encode().decode('unicode_escape').encode('l1')
    store = context.harness.store
    context.portal.call(
        store.append_bytes,
        'keyed.servers',
        name.decode('utf-8', 'surrogateescape'),
        b'x',
    )
    if read == 'read with the newest ones':
        # A new epoch lets the VM read the newest records.
        context.portal.call(
            store.restore, 'keyed.servers', len(store.records['keyed.servers'])
        )


@behave.given('the server registers as draining')
@behave.when('the server registers as draining')
def step_draining(context: typing.Any) -> None:
    harness = context.harness
    entry = platform_harness.make_entry(
        harness.server_address, state='draining'
    )
    context.portal.call(
        harness.store.append_record, 'keyed.servers', 'i-1', entry
    )
    clocks.run_bounded(context, wait_for_status, harness, '/unsafe/1', 503)


@behave.given('version {version:d} of the configuration is written {how}')
def step_version(context: typing.Any, version: int, how: str) -> None:
    configuration = platform_harness.make_configuration(version)
    if how == 'without routes':
        configuration['routes'] = []
    write_configuration(context, configuration)
    if how == 'without routes':
        clocks.run_bounded(
            context, wait_for_status, context.harness, '/unsafe/1', 404
        )
    else:
        # An older version has no visible effect to wait for.
        clocks.run_bounded(context, allow_store_read, context.harness)


async def allow_store_read(
    harness: platform_harness.PlatformHarness,
) -> None:
    """Give the VM time to read the newest record.

    Each probe is a round trip through the event loop that the VM shares.
    """
    for _ in range(3):
        await read_readiness(harness)


@behave.given('the VM is ready')
@behave.then('the VM is ready')
def step_ready(context: typing.Any) -> None:
    assert clocks.run_bounded(context, read_readiness, context.harness) == 200


@behave.then('the VM is not ready')
def step_not_ready(context: typing.Any) -> None:
    clocks.run_bounded(context, wait_for_readiness, context.harness, 503)


@behave.when('the VM is asked to stop')
def step_stop(context: typing.Any) -> None:
    context.portal.call(context.harness.stopping.set)


@behave.given('a request is waiting with a deadline in 60 seconds')
def step_waiting_request(context: typing.Any) -> None:
    data = platform_harness.encode_request(
        '/unsafe/1', 'POST', Deadline_Remaining='60000'
    )
    context.received_data = []

    async def wait_for_answer() -> None:
        host, _, port = context.harness.address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(data)
            try:
                context.received_data.append(await stream.receive())
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass

    context.portal.start_task_soon(wait_for_answer)
    clocks.run_bounded(context, wait_for_request, context.harness)


async def wait_for_request(harness: platform_harness.PlatformHarness) -> None:
    """Wait until the server has received a request."""
    while not harness.server.received:
        await anyio.lowlevel.checkpoint()


@behave.then('the VM shuts down before the server answers')
def step_ends_unanswered(context: typing.Any) -> None:
    step_ends(context)


@behave.then('the waiting caller has received status {status:d}')
def step_waiting_answer(context: typing.Any, status: int) -> None:
    (data,) = context.received_data
    assert data.startswith(f'HTTP/1.1 {status} '.encode()), data


@behave.then('the VM shuts down')
def step_ends(context: typing.Any) -> None:
    clocks.run_bounded(context, context.harness.stopped.wait)


async def read_metrics(harness: platform_harness.PlatformHarness) -> str:
    """Return the metrics page of a VM."""
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            'GET', f'http://{harness.metrics_address}/metrics'
        )
    assert response.status == 200, response.status
    return response.content.decode()


@behave.then('the metrics have "{line}"')
def step_metrics(context: typing.Any, line: str) -> None:
    page = clocks.run_bounded(context, read_metrics, context.harness)
    assert line in page.splitlines(), page


@behave.given('a port that is in use')
def step_port_in_use(context: typing.Any) -> None:
    context.listener = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(context.listener.close)


@behave.when('a VM is built with that port for metrics')
def step_build(context: typing.Any) -> None:
    port = context.listener.getsockname()[1]

    async def build() -> dict[str, str]:
        settings = attrs.evolve(
            platform_harness.make_settings('127.0.0.1:1'),
            metrics_address=f'127.0.0.1:{port}',
        )
        return platform.PlatformVM(settings, core.SteadyClock()).addresses

    context.addresses = clocks.run_bounded(context, build)


@behave.then('the VM has no address for metrics')
def step_no_metrics(context: typing.Any) -> None:
    assert context.addresses['metrics'] == '', context.addresses
    assert context.addresses['callers'], context.addresses
