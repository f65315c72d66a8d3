"""Stand-ins for the platform's store and servers, and a VM before them."""

from __future__ import annotations

import base64
import contextlib
import json
import struct
import typing

import anyio
import h11
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumstep import core
from laburnumstep import platform
from laburnumstep.platform import _settings
from laburnumstep import transport

HOST = 'app.example'
KEY = 'key-1'
DATA_CENTRE = 'lima-1'
_OFFSETS = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')

Document = dict[str, typing.Any]


class Store:
    """Keeps keyed records in memory and serves them as the store does."""

    def __init__(self) -> None:
        self.records: dict[str, list[tuple[str, bytes]]] = {
            'keyed.op': [],
            'keyed.servers': [],
        }
        self.first: dict[str, int] = {'keyed.op': 0, 'keyed.servers': 0}
        self._changed = anyio.Event()
        self.app = applications.Starlette(
            routes=[
                routing.Route('/v1/log-newest', self._serve_newest),
                routing.Route('/v1/log-read', self._serve_read),
            ]
        )

    def put(self, topic: str, key: str, value: Document | None) -> None:
        """Append a record; None drops the key."""
        content = b'' if value is None else json.dumps(value).encode()
        self.records[topic].append((key, content))
        self._changed.set()
        self._changed = anyio.Event()

    async def _serve_newest(
        self, request: requests.Request
    ) -> responses.Response:
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
        return responses.JSONResponse(
            {'items': items, 'hasMore': False, 'endOffset': len(records)}
        )

    async def _serve_read(
        self, request: requests.Request
    ) -> responses.Response:
        topic = request.query_params['topic']
        start = int(request.query_params['startFrom'])
        if start < self.first[topic]:
            return responses.JSONResponse(
                {'firstOffset': self.first[topic]}, 410
            )
        seconds = int(request.query_params['waitMs']) / 1000
        records = self.records[topic]
        with anyio.move_on_after(seconds):
            while len(records) <= start:
                await self._changed.wait()
        return responses.Response(
            _OFFSETS.pack(len(records), self.first[topic])
            + b''.join(encode_record(*item) for item in records[start:])
        )


def encode_record(key: str, value: bytes) -> bytes:
    """Return a record as the store sends it."""
    content = bytes([len(key)]) + key.encode() + value
    return _LENGTH.pack(len(content)) + content


class Server:
    """A server that keeps what it got and answers by script.

    Args:
        name: Its instance.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.received: list[requests.Request] = []
        self.bodies: list[bytes] = []
        self.status = 200
        self.headers: dict[str, str] = {}
        self.content = b'answer'
        self.silent = False
        self.gone = anyio.Event()
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
        if self.silent:
            while not await request.is_disconnected():
                await anyio.lowlevel.checkpoint()
            self.gone.set()
        headers = {
            'Attempt-Id': request.headers.get('attempt-id', ''),
            'Response-Stamp': 'mac',
            **self.headers,
        }
        headers = {name: value for name, value in headers.items() if value}
        return responses.Response(self.content, self.status, headers)


def make_configuration(version: int = 1, **changes: typing.Any) -> Document:
    """Return a configuration with one route of each kind."""

    def make_route(name: str, kind: str, **more: typing.Any) -> Document:
        return {
            'name': name,
            'host': HOST,
            'pathPrefix': f'/{name}/',
            'kind': kind,
            'timeoutMs': 5000,
            'priority': 0,
            'service': 'app',
            'attempts': 1,
            **more,
        }

    return {
        'version': version,
        'routes': [
            make_route('safe', 'safe', attempts=2),
            make_route('unsafe', 'unsafe'),
            make_route('open', 'safe', skipAuth=True),
        ],
        'services': [{'name': 'app', 'healthPath': '/health'}],
        'limits': {'maxBodyBytes': 1000, 'idleTimeoutMs': 15000},
        'tenants': [{'name': 'port', 'apiKeys': [KEY], 'priority': 1}],
        **changes,
    }


def make_entry(address: str, **changes: typing.Any) -> Document:
    """Return what a server says of itself."""
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


class Rig:
    """A store, a server and a VM of the platform on loopback."""

    def __init__(self) -> None:
        self.store = Store()
        self.server = Server('i-1')
        self.address = ''
        self.ready_address = ''
        self.metrics_address = ''
        self.server_address = ''
        self.stopping = anyio.Event()
        self.stopped = anyio.Event()

    @contextlib.asynccontextmanager
    async def run(self) -> typing.AsyncIterator[Rig]:
        """Run all of it while the context is open."""
        async with (
            transport.serve_app(self.store.app) as store,
            transport.serve_app(self.server.app) as server,
            anyio.create_task_group() as tasks,
        ):
            self.server_address = server.address
            # The VM reads the entry with its first snapshot.
            self.store.put('keyed.servers', 'i-1', make_entry(server.address))
            vm = platform.PlatformVM(
                make_settings(store.address), core.SteadyClock()
            )
            self.address = vm.addresses['callers']
            self.ready_address = vm.addresses['ready']
            self.metrics_address = vm.addresses['metrics']
            tasks.start_soon(self._serve, vm)
            yield self
            tasks.cancel_scope.cancel()

    async def _serve(self, vm: platform.PlatformVM) -> None:
        await vm.serve(self.stopping)
        self.stopped.set()


def make_settings(store_address: str) -> platform.NodeSettings:
    """Return the settings of a VM on loopback."""
    return platform.NodeSettings(
        name='front-1',
        data_centre=DATA_CENTRE,
        places={'lima': core.Place('lima', [DATA_CENTRE])},
        callers_address='127.0.0.1:0',
        ready_address='127.0.0.1:0',
        metrics_address='127.0.0.1:0',
        store_address=store_address,
        grace_seconds=4.0,
        retries=_settings.RetryBudgetSettings(0.2, 50.0, 10),
    )


class Answer(typing.NamedTuple):
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes
    closed: bool


async def send_raw(address: str, data: bytes) -> Answer:
    """Send bytes and return the first answer.

    Args:
        address: IP number and port.
        data: The whole request, or several.
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
    return Answer(head.status_code, headers, body, closed)


def encode_request(
    path: str,
    method: str = 'POST',
    body: bytes = b'body',
    **headers: str,
) -> bytes:
    """Return a request; header names are given with underscores."""
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
