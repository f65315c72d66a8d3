"""Steps that send a crowd of callers to a process."""

from __future__ import annotations

import contextlib
import typing

import anyio
import anyio.to_thread
import behave
from starlette import requests
from starlette import responses

from support import crowds
from support import hooks
from support import platform_harness
from support import vm_process

MB = 1_000_000
RESERVED_DESCRIPTORS = 200
"""Descriptors of a VM that the platform reserves for files."""
MAX_BODY_BYTES = 4_194_304
ORDINARY_ATTEMPTS = 30
"""Attempts of the ordinary caller; it may be told to come back."""
ATTEMPT_SECONDS = 3.0
"""Longest wait of the ordinary caller for an answer, in seconds."""
PAUSE_SECONDS = 0.1
"""Pause of the ordinary caller between two attempts, in seconds."""

encode = platform_harness.encode_request


class _EndlessEngine(platform_harness.FakeServer):
    """Engine whose streams go on as long as their caller takes them."""

    async def _serve(self, request: requests.Request) -> responses.Response:
        if request.url.path == '/v1/report':
            report = {
                'queued': 0,
                'running': 0,
                'kvUsed': 0,
                'kvTotal': 30_000,
                'runs': [],
            }
            return responses.JSONResponse(report)
        await request.body()
        headers = {
            'Attempt-Id': request.headers.get('attempt-id', ''),
            'Response-Stamp': 'mac',
            'Content-Type': 'text/event-stream',
        }
        return responses.StreamingResponse(
            self._generate_events(), 200, headers
        )

    async def _generate_events(self) -> typing.AsyncIterator[bytes]:
        for number in range(4000):
            yield b'id: %d\ndata: %s\n\n' % (number, b'x' * 8192)
            await anyio.sleep(0.001)


@contextlib.asynccontextmanager
async def run_process(
    memory_mb: int, max_fds: int, **timeouts: int
) -> typing.AsyncIterator[vm_process.VMProcess]:
    """Run a process with a store and a server of each kind.

    Args:
        memory_mb: Memory limit of the process, in megabytes.
        max_fds: Descriptor limit of the process.
        **timeouts: Timeouts of the configuration to replace.
    """
    store = platform_harness.FakeStore()
    servers = {
        'app': platform_harness.FakeServer('i-app'),
        'middle': platform_harness.FakeServer('i-middle'),
        'large': platform_harness.FakeServer('i-large'),
        'silent': platform_harness.FakeServer('i-silent'),
        'llm': _EndlessEngine('i-llm'),
    }
    servers['middle'].content = bytes(64_000)
    servers['large'].content = bytes(2 * MB)
    servers['silent'].unresponsive = True
    apps = [store.app, *(server.app for server in servers.values())]
    async with vm_process.serve_all(apps) as (store_address, *addresses):
        for (service, server), address in zip(servers.items(), addresses):
            models = {'models': [{'name': 'm'}]} if service == 'llm' else {}
            store.append_record(
                'keyed.servers',
                server.name,
                platform_harness.make_entry(
                    address, service=service, slots=400, **models
                ),
            )
        store.append_record('keyed.op', 'config', make_configuration(timeouts))
        process = vm_process.VMProcess(store_address, memory_mb, max_fds)
        async with process.run():
            yield process


def make_configuration(
    timeouts: dict[str, int],
) -> platform_harness.Document:
    base = platform_harness.make_configuration()
    safe = base['routes'][0]
    more = [
        {**safe, 'name': name, 'pathPrefix': f'/{name}/', 'service': name}
        for name in ('middle', 'large', 'silent')
    ]
    names = ('app', 'middle', 'large', 'silent')
    routes = [
        {**route, 'timeoutMs': 30_000} for route in base['routes'] + more
    ]
    return {
        **base,
        'routes': routes,
        'services': [
            *({'name': name, 'healthPath': '/health'} for name in names),
            {
                'name': 'llm',
                'healthPath': '/health',
                'engine': {'kvCapacityTokens': 30_000},
            },
        ],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': MAX_BODY_BYTES,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15_000,
            **timeouts,
        },
    }


def make_message(text: str) -> bytes:
    """Return what one caller of a crowd sends."""
    wait = {'Deadline_Remaining': '30000'}
    large = {**wait, 'Content_Length': str(MAX_BODY_BYTES)}
    chunked = {'Content_Length': '', 'Transfer_Encoding': 'chunked'}
    prompt = {'Model': 'm', 'Token_Usage': '10,5'}
    match text:
        case '200 requests for 64 KB each':
            return encode('/middle/x', 'POST', b'body', **wait) * 200
        case '20 requests for 2 MB each':
            return encode('/large/x', 'POST', b'body', **wait) * 20
        case '10 requests for long streams':
            return encode('/plan/x', 'POST', b'body', **wait, **prompt) * 10
        case '2000 requests for 4 bytes each':
            return encode('/safe/x', 'POST', b'body', **wait) * 2000
        case '1 MB of a body of 4 MB':
            return encode('/safe/x', 'POST', bytes(MB), **large)
        case '1 MB of a body in chunks':
            chunk = b'%x\r\n%s\r\n' % (8192, bytes(8192))
            head = encode('/safe/x', 'POST', b'', **wait, **chunked)
            return head + chunk * (MB // 8192)
        case 'all but a byte of a body of 4 MB':
            body = bytes(MAX_BODY_BYTES - 1)
            return encode('/safe/x', 'POST', body, **large)
        case '3 requests with bodies of 1 MB':
            return encode('/silent/x', 'POST', bytes(MB), **wait) * 3
        case '200 requests without Deadline-Remaining':
            missing = {'Deadline_Remaining': ''}
            return encode('/middle/x', 'POST', b'body', **missing) * 200
        case '200 requests without Token-Usage':
            return encode('/plan/x', 'POST', b'body', **wait) * 200
        case '200 requests without Host':
            request = encode('/middle/x', 'POST', b'body', **wait)
            host = f'Host: {platform_harness.HOST}\r\n'.encode()
            return request.replace(host, b'') * 200
        case '200 requests without any header':
            return b'POST /middle/x HTTP/1.1\r\n\r\n' * 200
        case '200 bodies without Content-Length':
            request = encode(
                '/middle/x', 'POST', bytes(8192), Content_Length=''
            )
            return request * 200
        case 'a head that never ends':
            return b'POST /safe/x HTTP/1.1\r\nA: ' + b'a' * 15_000
        case 'a part of a head':
            return b'POST /safe/x HTTP/1.1\r\nHost: '
        case 'nothing':
            return b''
        case _:
            raise ValueError(text)


def make_messages(text: str, count: int) -> list[bytes]:
    """Return what each caller of a crowd sends."""
    if text != 'a mix':
        return [make_message(text)] * count
    kinds = [
        '20 requests for 2 MB each',
        '10 requests for long streams',
        '1 MB of a body of 4 MB',
        '200 requests without Deadline-Remaining',
        '200 bodies without Content-Length',
        'a head that never ends',
    ]
    each = count // len(kinds)
    return crowds.mix(*([make_message(kind)] * each for kind in kinds))


@behave.given(
    'a process with {memory:d} MB of memory and {descriptors:d} descriptors'
)
def step_process(context: typing.Any, memory: int, descriptors: int) -> None:
    context.process = hooks.enter_context(
        context, run_process(memory, descriptors)
    )


@behave.when('{count:d} callers send {message} and read nothing')
def step_send(context: typing.Any, count: int, message: str) -> None:
    context.crowd = crowds.Crowd(context.process)
    context.stack.callback(context.crowd.close)
    context.crowd.send(make_messages(message, count))


async def answer_ordinary(port: int) -> list[str]:
    """Send an ordinary request until it is answered.

    Returns:
        What each attempt that was not answered got; at most
        `ORDINARY_ATTEMPTS`.
    """
    failures: list[str] = []
    request = encode('/open/x', 'POST', b'body')
    while len(failures) < ORDINARY_ATTEMPTS:
        try:
            with anyio.fail_after(ATTEMPT_SECONDS):
                response = await platform_harness.send_raw(
                    f'127.0.0.1:{port}', request
                )
        except (OSError, TimeoutError, anyio.EndOfStream) as error:
            failures.append(type(error).__name__)
        except anyio.BrokenResourceError:
            failures.append('broken')
        else:
            if response.status == 200:
                assert response.body == b'answer', response
                return failures
            failures.append(str(response.status))
        await anyio.sleep(PAUSE_SECONDS)
    return failures


@behave.then('the process lives and answers an ordinary request')
def step_ordinary(context: typing.Any) -> None:
    # The crowd is still connected.
    port = context.process.port
    failures = context.portal.call(answer_ordinary, port)
    assert context.process.is_alive
    assert len(failures) < ORDINARY_ATTEMPTS, failures


@behave.then('its memory and its descriptors stayed within its limits')
def step_limits(context: typing.Any) -> None:
    process = context.process
    peak = process.peak_bytes / MB
    descriptors = context.crowd.largest_descriptors
    print(f'peak {peak:.1f} MB, {descriptors} descriptors')
    assert process.is_alive
    assert peak < process.memory_mb, (peak, descriptors)
    allowed = process.max_fds - RESERVED_DESCRIPTORS
    assert descriptors < allowed, (peak, descriptors)
