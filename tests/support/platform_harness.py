"""Fakes of the platform's store and servers, and a VM that uses them."""

from __future__ import annotations

import base64
import contextlib
import json
import struct
import typing

import anyio
import anyio.lowlevel
import h11
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumstep import core
from laburnumstep import platform
from laburnumstep.platform import _settings
from laburnumstep import transport
from support import platform_engine

HOST = 'app.example'
KEY = 'key-1'
DATA_CENTRE = 'lima-1'
_PAGE_HEADER = struct.Struct('>QQ')
_RECORD_LENGTH = struct.Struct('>I')

Document = dict[str, typing.Any]


class FakeStore:
    """Serves keyed topics from memory over the store's HTTP interface."""

    def __init__(self) -> None:
        self.records: dict[str, list[tuple[str, bytes]]] = {
            'keyed.op': [],
            'keyed.servers': [],
            'keyed.status': [],
        }
        self.first_offsets: dict[str, int] = {
            'keyed.op': 0,
            'keyed.servers': 0,
            'keyed.status': 0,
        }
        self.epoch = 1
        """Rises each time that the store comes back from an older copy."""
        self.newest_reads = 0
        """Number of reads of a topic's newest records."""
        self._changed = anyio.Event()
        self.app = applications.Starlette(
            routes=[
                routing.Route('/v1/log-newest', self._serve_newest),
                routing.Route('/v1/log-read', self._serve_read),
                routing.Route(
                    '/v1/log-append', self._serve_append, methods=['POST']
                ),
            ]
        )

    def append_record(
        self, topic: str, key: str, value: Document | None
    ) -> None:
        """Append a record; None as the value removes the key."""
        content = b'' if value is None else json.dumps(value).encode()
        self.append_bytes(topic, key, content)

    def append_bytes(self, topic: str, key: str, content: bytes) -> None:
        """Append a record with any value."""
        self.records[topic].append((key, content))
        self._changed.set()
        self._changed = anyio.Event()

    def restore(self, topic: str, kept: int) -> None:
        """Come back from a copy that has the first records of a topic only.

        Reads that wait for a record go on to wait.
        """
        self.epoch += 1
        del self.records[topic][kept:]

    def _get_headers(self) -> dict[str, str]:
        return {'Store-Era': str(self.epoch)}

    async def _serve_newest(
        self, request: requests.Request
    ) -> responses.Response:
        self.newest_reads += 1
        records = self.records[request.query_params['topic']]
        newest = {
            key: (value, offset) for offset, (key, value) in enumerate(records)
        }
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (value, offset) in newest.items()
            if value
        ]
        page = {
            'items': items,
            'hasMore': False,
            'endOffset': len(records),
        }
        return responses.Response(
            json.dumps(page), 200, self._get_headers(), 'application/json'
        )

    async def _serve_append(
        self, request: requests.Request
    ) -> responses.Response:
        (length,) = _RECORD_LENGTH.unpack_from(await request.body())
        content = (await request.body())[_RECORD_LENGTH.size :]
        assert len(content) == length, content
        key, value = content[1 : 1 + content[0]], content[1 + content[0] :]
        topic = request.query_params['topic']
        self.records[topic].append((key.decode(), value))
        self._changed.set()
        self._changed = anyio.Event()
        return responses.JSONResponse(
            {'offset': len(self.records[topic]) - 1},
            headers=self._get_headers(),
        )

    async def _serve_read(
        self, request: requests.Request
    ) -> responses.Response:
        topic = request.query_params['topic']
        start = int(request.query_params['startFrom'])
        if start < self.first_offsets[topic]:
            return responses.JSONResponse(
                {'firstOffset': self.first_offsets[topic]},
                410,
                self._get_headers(),
            )
        seconds = int(request.query_params['waitMs']) / 1000
        records = self.records[topic]
        with anyio.move_on_after(seconds):
            while len(records) <= start:
                await self._changed.wait()
        return responses.Response(
            _PAGE_HEADER.pack(len(records), self.first_offsets[topic])
            + b''.join(encode_record(*item) for item in records[start:]),
            headers=self._get_headers(),
        )


def make_odd_bytes(text: str) -> bytes:
    """Return the bytes that a writer in trouble leaves in the store.

    Args:
        text: Name of a kind of odd bytes, or the bytes with escapes.
    """
    nested = '[' * 100_000
    match text:
        case 'nested':
            return nested.encode()
        case 'nested in a field':
            entry = json.dumps(make_entry('127.0.0.1:1', models='?'))
            return entry.replace('"?"', nested + ']' * 100_000).encode()
        case 'a number of 100000 digits':
            entry = json.dumps(make_entry('127.0.0.1:1', born='?'))
            return entry.replace('"?"', '1' * 100_000).encode()
        case 'a start at infinity':
            entry = json.dumps(make_entry('127.0.0.1:1', born='?'))
            return entry.replace('"?"', '1e999').encode()
        case 'an engine at port 99999':
            entry = make_entry('127.0.0.1:99999', service='llm')
            return json.dumps({**entry, 'models': [{'name': 'm'}]}).encode()
        case _:
            return text.encode().decode('unicode_escape').encode('l1')


def encode_record(key: str, value: bytes) -> bytes:
    """Return a record in the encoding of the store's pages.

    Args:
        key: Key; its surrogates stand for bytes that are no text.
        value: The value.
    """
    name = key.encode('utf-8', 'surrogateescape')
    content = bytes([len(name)]) + name + value
    return _RECORD_LENGTH.pack(len(content)) + content


class FakeServer:
    """Server that records requests and returns a configurable answer.

    Args:
        name: Name of the server.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.received: list[requests.Request] = []
        self.bodies: list[bytes] = []
        self.status = 200
        self.headers: dict[str, str] = {}
        self.content = b'answer'
        self.unresponsive = False
        self.endless = False
        """Whether the body of an answer is far longer than any limit."""
        self.sent_bytes = 0
        """Bytes of endless bodies that were taken from this server."""
        self.caller_disconnected = anyio.Event()
        self.app = applications.Starlette(
            routes=[
                routing.Route(
                    '/{path:path}', self._serve, methods=['GET', 'POST']
                )
            ]
        )

    async def _serve(self, request: requests.Request) -> responses.Response:
        self.bodies.append(await request.body())
        self.received.append(request)
        if self.unresponsive:
            while not await request.is_disconnected():
                await anyio.lowlevel.checkpoint()
            self.caller_disconnected.set()
        headers = {
            'Attempt-Id': request.headers.get('attempt-id', ''),
            'Response-Stamp': 'mac',
            **self.headers,
        }
        headers = {name: value for name, value in headers.items() if value}
        if self.endless:
            return responses.StreamingResponse(
                self._generate(), self.status, headers
            )
        return responses.Response(self.content, self.status, headers)

    async def _generate(self) -> typing.AsyncIterator[bytes]:
        block = bytes(64 * 1024)
        # A bound for the case that the caller's close goes unnoticed.
        for _ in range(1024):
            self.sent_bytes += len(block)
            yield block
            # Writes to a closed connection do not suspend; this lets the
            # response notice the close.
            await anyio.lowlevel.checkpoint()


def make_configuration(version: int = 1, **changes: typing.Any) -> Document:
    """Return a configuration with a safe, an unsafe and a public route.

    Args:
        version: Version of the configuration.
        **changes: Top-level fields to add or replace.
    """

    def make_route(
        name: str, kind: str, **route_changes: typing.Any
    ) -> Document:
        return {
            'name': name,
            'host': HOST,
            'pathPrefix': f'/{name}/',
            'kind': kind,
            'timeoutMs': 5000,
            'priority': 0,
            'service': 'app',
            'attempts': 1,
            **route_changes,
        }

    return {
        'version': version,
        'routes': [
            make_route('safe', 'safe', attempts=2),
            make_route('unsafe', 'unsafe'),
            make_route('open', 'safe', skipAuth=True),
            make_route('plan', 'streaming', service='llm'),
            make_route(
                'resume',
                'streaming',
                service='llm',
                streamResumption=True,
                attempts=2,
            ),
        ],
        'services': [
            {'name': 'app', 'healthPath': '/health'},
            {
                'name': 'llm',
                'healthPath': '/health',
                'engine': {'kvCapacityTokens': 30_000},
            },
        ],
        'limits': {'maxBodyBytes': 1000, 'idleTimeoutMs': 15000},
        'tenants': [{'name': 'port', 'apiKeys': [KEY], 'priority': 1}],
        **changes,
    }


def make_entry(address: str, **changes: typing.Any) -> Document:
    """Return the registration of a server.

    Args:
        address: IP number and port of the server.
        **changes: Fields to add or replace.
    """
    return {
        'service': 'app',
        'address': address,
        'zone': DATA_CENTRE,
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'sequence': 1,
        'born': 1,
        **changes,
    }


class PlatformHarness:
    """Runs a store, a server and a VM of the platform on loopback.

    Args:
        engines: Engines that run and are registered as well.
    """

    def __init__(
        self, engines: typing.Sequence[platform_engine.CrashingEngine] = ()
    ) -> None:
        self.store = FakeStore()
        self.server = FakeServer('i-1')
        self.engines = engines
        self.address = ''
        self.ready_address = ''
        self.metrics_address = ''
        self.server_address = ''
        self.stopping = anyio.Event()
        self.stopped = anyio.Event()

    @contextlib.asynccontextmanager
    async def run(self) -> typing.AsyncIterator[PlatformHarness]:
        """Run the store, the server and the VM while the context is open."""
        async with (
            transport.serve_app(self.store.app) as store,
            transport.serve_app(self.server.app) as server,
            anyio.create_task_group() as tasks,
        ):
            self.server_address = server.address
            # Written before the VM starts, so that its first snapshot has
            # the entry.
            self.store.append_record(
                'keyed.servers', 'i-1', make_entry(server.address)
            )
            for engine in self.engines:
                await tasks.start(engine.run)
                self.store.append_record(
                    'keyed.servers',
                    engine.name,
                    make_entry(
                        engine.address, service='llm', models=[{'name': 'm'}]
                    ),
                )
            vm = platform.PlatformVM(
                make_settings(store.address), core.SteadyClock()
            )
            self.address = vm.addresses['callers']
            self.ready_address = vm.addresses['ready']
            self.metrics_address = vm.addresses['metrics']
            tasks.start_soon(self._serve, vm)
            yield self
            tasks.cancel_scope.cancel()

    def write_configuration(self) -> None:
        """Write the default configuration to the store."""
        self.store.append_record('keyed.op', 'config', make_configuration())

    async def _serve(self, vm: platform.PlatformVM) -> None:
        await vm.serve(self.stopping)
        self.stopped.set()


def make_settings(store_address: str) -> platform.PlatformVMSettings:
    """Return the settings of a VM on loopback."""
    return platform.PlatformVMSettings(
        name='front-1',
        data_centre=DATA_CENTRE,
        places={'lima': core.Place('lima', [DATA_CENTRE])},
        callers_address='127.0.0.1:0',
        ready_address='127.0.0.1:0',
        metrics_address='127.0.0.1:0',
        store_address=store_address,
        grace_seconds=4.0,
        retries=_settings.RetryBudgetSettings(0.2, 50.0, 10),
        siblings_address='127.0.0.1:0',
    )


class CallerResponse(typing.NamedTuple):
    """Response as a caller received it."""

    status: int
    headers: dict[str, str]
    body: bytes
    closed: bool


async def send_raw(address: str, data: bytes) -> CallerResponse:
    """Send bytes over a new connection and return the first response.

    Args:
        address: IP number and port of the server.
        data: One or more encoded requests.
    """
    host, _, port = address.rpartition(':')
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(
        h11.Request(method='GET', target='/', headers=[('Host', 'x')])
    )
    protocol.send(h11.EndOfMessage())
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(data)
        head, body = None, b''
        while True:
            event = protocol.next_event()
            match event:
                case h11.Response():
                    head = event
                case h11.Data():
                    body += bytes(event.data)
                case h11.EndOfMessage():
                    break
                case _:
                    protocol.receive_data(await stream.receive())
        closed = protocol.their_state is h11.MUST_CLOSE
    headers = {k.decode(): v.decode() for k, v in head.headers}
    return CallerResponse(head.status_code, headers, body, closed)


async def wait_for_answer(
    harness: PlatformHarness, path: str, status: int
) -> None:
    """Send requests until one is answered with a status."""
    data = encode_request(path)
    while (await send_raw(harness.address, data)).status != status:
        await anyio.lowlevel.checkpoint()


def encode_request(
    path: str,
    method: str = 'POST',
    body: bytes = b'body',
    **headers: str,
) -> bytes:
    """Return an encoded request with the default headers.

    Args:
        path: Path and query.
        method: HTTP method.
        body: Body of the request.
        **headers: Headers to add or replace, with underscores instead of
            hyphens in their names. An empty value drops a header.
    """
    lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
    fields = {
        'Attempt_Id': 'attempt-1',
        'Authorization': f'Token {KEY}',
        'Deadline_Remaining': '4000',
        'Content_Length': str(len(body)),
        **headers,
    }
    lines += [
        f'{name.replace("_", "-")}: {value}'
        for name, value in fields.items()
        if value
    ]
    return '\r\n'.join([*lines, '', '']).encode() + body
