"""Stand-ins for the store, servers and clients, and the VM's processes.

Only the standard library is used. The stand-ins run in the process of the
script; each VM is a process of its own, started with the command of the
deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = 'desk.example'
KEY = 'key-of-tenant-one'
TENANT = 'tenant-one'
ZONES = {'callao-a': 'lima', 'paita-a': 'piura', 'callao-b': 'lima'}
GRACE_SECONDS = 8
HEARTBEAT_SECONDS = 1.2


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder, 'record.txt'), 'w')
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, text):
        if self._file.closed:
            return
        line = f'{self.now():9.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()

    def say(self, text):
        self.write(text)
        print(text)

    def close(self):
        self._file.close()


# HTTP


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        path, _, query = target.partition('?')
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query))


async def read_head(reader):
    """Return the first line and the headers, or None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return a whole body; raise IncompleteReadError if it is cut off."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(headers.get('content-length', '0')))


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(' ')
    try:
        body = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def encode_response(status, body=b'', headers=()):
    lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def json_response(status, document, headers=()):
    return encode_response(
        status,
        json.dumps(document).encode(),
        [('Content-Type', 'application/json'), *headers],
    )


def encode_request(method, path, headers, body=b''):
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class Listener:
    """A TCP server that can be closed and opened again on its address."""

    def __init__(self, host='127.0.0.1', port=0):
        self.host = host
        self.port = port
        self._server = None
        self._tasks = set()

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    async def open(self):
        self._server = await asyncio.start_server(
            self._run, self.host, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Close the listener and reset all connections, as a crash does."""
        server, self._server = self._server, None
        if server is not None:
            server.close()
        for task, writer in list(self._tasks):
            writer.transport.abort()
            task.cancel()
        await asyncio.sleep(0)

    async def _run(self, reader, writer):
        item = (asyncio.current_task(), writer)
        self._tasks.add(item)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(item)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError


# The platform's store


class Store(Listener):
    """The platform's log with its keyed topics."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self._topics = {}
        self._changed = asyncio.Event()
        self.era = None
        self.away = False
        """Whether calls get no answer."""

    def put(self, topic, key, value):
        """Write as the operator or as a server; return the offset."""
        records = self._topics.setdefault('keyed.' + topic, [])
        records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    def put_json(self, topic, key, document):
        return self.put(topic, key, json.dumps(document).encode())

    def remove(self, topic, key):
        return self.put(topic, key, b'')

    def _find_newest(self, topic):
        newest = {}
        for offset, (key, value) in enumerate(self._topics.get(topic, [])):
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        return newest

    async def serve(self, reader, writer):
        while True:
            request = await read_request(reader)
            if request is None:
                return
            if self.away:
                await asyncio.sleep(3600)
            answer = await self._answer(request)
            if self.away:
                await asyncio.sleep(3600)
            writer.write(answer)
            await writer.drain()

    async def _answer(self, request):
        headers = [] if self.era is None else [('Store-Era', self.era)]
        topic = request.query.get('topic', '')
        records = self._topics.setdefault(topic, [])
        if request.path == '/v1/log-newest':
            newest = self._find_newest(topic)
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
                for key, (offset, value) in newest.items()
            ]
            document = {
                'items': items,
                'hasMore': False,
                'endOffset': len(records),
            }
            return json_response(200, document, headers)
        if request.path == '/v1/log-read':
            start = int(request.query['startFrom'])
            until = time.monotonic() + int(request.query['waitMs']) / 1000
            while len(records) <= start:
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    break
            body = struct.pack('>QQ', len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                body += struct.pack('>I', len(content)) + content
            return encode_response(200, body, headers)
        if request.path == '/v1/log-append':
            if topic in ('keyed.op', 'keyed.servers'):
                return json_response(403, {}, headers)
            data, first = request.body, len(records)
            while data:
                (length,) = struct.unpack_from('>I', data)
                content, data = data[4 : 4 + length], data[4 + length :]
                size = content[0]
                self.put(
                    topic.removeprefix('keyed.'),
                    content[1 : 1 + size].decode(),
                    content[1 + size :],
                )
            document = {'offset': first, 'endOffset': len(records)}
            return json_response(200, document, headers)
        return json_response(404, {}, headers)


# Servers


class Server(Listener):
    """A sound server of a plain service."""

    service = 'booking'
    queue = 24
    """Requests that wait for a slot; further ones are rejected."""

    def __init__(self, name, record, store, zone='callao-a', slots=6):
        super().__init__()
        self.name = name
        self.record = record
        self.store = store
        self.zone = zone
        self.slots = slots
        self.born = 0
        self.sequence = 0
        self.state = 'ready'
        self.busy = 0
        self.waiting = 0
        self._free = asyncio.Condition()
        self.work_seconds = 0.05
        self.answer_bytes = 800
        self.extra_headers = []
        self.runs = []
        """Request id, start and end of each run."""
        self.arrivals = []
        self._beats = None

    async def start(self, register=True):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.busy = self.waiting = 0
        self._free = asyncio.Condition()
        self.state = 'ready'
        await self.open()
        if register:
            self._beats = asyncio.create_task(self._beat())
            await asyncio.sleep(0)

    async def crash(self):
        """End at once; the entry lapses if the server stays away."""
        if self._beats is not None:
            self._beats.cancel()
        await self.close()

    def write_entry(self):
        self.sequence += 1
        self.store.put_json('servers', self.name, self.make_entry())

    def make_entry(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def serve(self, reader, writer):
        while True:
            request = await read_request(reader)
            if request is None:
                return
            if not await self.handle(request, reader, writer):
                return

    def own_headers(self, request):
        headers = [('Instance-Id', self.name), *self.extra_headers]
        key = request.headers.get('attempt-id')
        if key is not None:
            headers.append(('Attempt-Id', key))
        return headers

    async def handle(self, request, reader, writer):
        """Answer one request; return whether the connection goes on."""
        if request.path == '/health':
            writer.write(encode_response(200, b'', self.own_headers(request)))
            await writer.drain()
            return True
        expected = request.headers.get('expect-instance', self.name)
        if expected != self.name:
            writer.write(encode_response(421, b'', self.own_headers(request)))
            await writer.drain()
            return True
        key = request.headers.get('attempt-id', '-')
        self.arrivals.append((key, self.record.now()))
        if self.busy >= self.slots and self.waiting >= self.queue:
            headers = [('Not-Executed', '1'), *self.own_headers(request)]
            writer.write(encode_response(503, b'', headers))
            await writer.drain()
            return True
        return await self._run_in_slot(key, request, reader, writer)

    async def _run_in_slot(self, key, request, reader, writer):
        self.waiting += 1
        try:
            async with self._free:
                await self._free.wait_for(lambda: self.busy < self.slots)
                self.busy += 1
        finally:
            self.waiting -= 1
        try:
            return await self.run(key, request, reader, writer)
        finally:
            async with self._free:
                self.busy -= 1
                self._free.notify()

    async def run(self, key, request, reader, writer):
        begun = self.record.now()
        run = [key, begun, None, 'running']
        self.runs.append(run)
        self.record.write(f'server {self.name} runs {key} {request.target}')
        work = asyncio.create_task(asyncio.sleep(self.work_seconds))
        gone = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait({work, gone}, return_when='FIRST_COMPLETED')
            if gone.done() and not work.done():
                run[2], run[3] = self.record.now(), 'dropped'
                self.record.write(f'server {self.name} drops {key}')
                return False
        finally:
            work.cancel()
            gone.cancel()
            if run[2] is None:
                run[2], run[3] = self.record.now(), 'ended'
        await asyncio.gather(gone, return_exceptions=True)
        self.record.write(f'server {self.name} ends {key}')
        body = (key.encode() + b' ' * self.answer_bytes)[: self.answer_bytes]
        headers = [('Response-Stamp', f'mac-{key}'), *self.own_headers(request)]
        writer.write(encode_response(200, body, headers))
        await writer.drain()
        return True


class Engine(Server):
    """A sound model server that streams events."""

    service = 'planner'
    queue = 144

    def __init__(self, name, record, store, zone='callao-a', slots=48):
        super().__init__(name, record, store, zone, slots)
        self.events = 20
        self.event_seconds = 0.03
        self.first_seconds = 0.2
        self.running = {}

    def make_entry(self):
        return {
            **super().make_entry(),
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
        }

    async def handle(self, request, reader, writer):
        if request.path == '/v1/report':
            document = {
                'stage': 'both',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False,
                'sequence': 0,
                'queued': self.waiting,
                'running': len(self.running),
                'kvUsed': 100 * len(self.running),
                'kvTotal': 34365,
                'handles': 0,
                'state': self.state,
                'next': 0,
                'runs': [[key, 100, 1, 5] for key in self.running],
                'born': self.born,
            }
            writer.write(json_response(200, document))
            await writer.drain()
            return True
        return await super().handle(request, reader, writer)

    async def begin_answer(self, key, request):
        """Called before the first byte of an answer."""

    async def run(self, key, request, reader, writer):
        run = [key, self.record.now(), None, 'running']
        self.runs.append(run)
        self.record.write(f'engine {self.name} runs {key}')
        self.running[key] = run
        gone = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait({gone}, timeout=self.first_seconds)
            if gone.done():
                run[3] = 'dropped'
                return False
            await self.begin_answer(key, request)
            headers = [
                ('Content-Type', 'text/event-stream'),
                ('Response-Stamp', f'mac-{key}'),
                ('Transfer-Encoding', 'chunked'),
                *self.own_headers(request),
            ]
            lines = ['HTTP/1.1 200 OK'] + [f'{n}: {v}' for n, v in headers]
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
            position = int(request.headers.get('last-event-id', '0'))
            while position < self.events:
                position += 1
                data = f'id: {position}\ndata: {key}\n\n'.encode()
                writer.write(b'%x\r\n%s\r\n' % (len(data), data))
                await writer.drain()
                await asyncio.wait({gone}, timeout=self.event_seconds)
                if gone.done():
                    run[3] = 'dropped'
                    return False
            writer.write(b'0\r\n\r\n')
            await writer.drain()
            run[3] = 'ended'
        finally:
            gone.cancel()
            self.running.pop(key, None)
            run[2] = self.record.now()
            self.record.write(f'engine {self.name} {run[3]} {key}')
        await asyncio.gather(gone, return_exceptions=True)
        return True


# Configuration


def make_route(name, path, kind, service, timeout_ms, attempts=1, **more):
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': path,
        'kind': kind,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': 1500,
        'priority': 0,
        'service': service,
        'attempts': attempts,
        'skipAuth': False,
        'sessionAffinity': kind == 'streaming',
        'streamResumption': False,
        'targetGapMs': 180,
        **more,
    }


def make_configuration(version=7):
    """Return a configuration as on the pages, with the callao sizes."""
    return {
        'version': version,
        'routes': [
            make_route('plan', '/plan/', 'streaming', 'planner', 39000),
            make_route(
                'check',
                '/check/',
                'streaming',
                'planner',
                6000,
                attempts=2,
                streamResumption=True,
            ),
            make_route('confirm', '/confirm/', 'unsafe', 'booking', 30000),
            make_route('read', '/read/', 'safe', 'booking', 30000, attempts=2),
        ],
        'services': [
            {
                'name': 'planner',
                'healthPath': '/health',
                'maxConnections': 372,
                'protocol': 'h1',
                'tls': False,
                'engine': {
                    'slots': 48,
                    'kvCapacityTokens': 34365,
                    'kvTokenBytes': 327680,
                    'linkMbps': 47000.0,
                    'moves': True,
                    'backups': True,
                    'stride': 4,
                    'most': 12,
                    'pinMs': 4000.0,
                    'holdMs': 2000.0,
                    'handleTtlS': 5.0,
                    'models': [{'name': 'm'}],
                },
            },
            {
                'name': 'booking',
                'healthPath': '/health',
                'maxConnections': 100,
                'protocol': 'h1',
                'tls': False,
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': TENANT, 'apiKeys': [KEY], 'priority': 1}],
    }


# VMs


def find_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class VM:
    """A process of the deploy file on a loopback address of its own."""

    def __init__(self, number, folder, store, internal_port, seeds):
        self.name = f'front-{number}'
        self.host = f'127.0.1.{number}'
        self.front = f'{self.host}:{find_port(self.host)}'
        self.ready = f'{self.host}:{find_port(self.host)}'
        zone = list(ZONES)[(number - 1) % len(ZONES)]
        self._log = open(pathlib.Path(folder, f'{self.name}.log'), 'ab')
        self._settings = pathlib.Path(folder, f'{self.name}.toml')
        self.process = None
        zones = '\n'.join(f'{z} = "{region}"' for z, region in ZONES.items())
        self._settings.write_text(
            f"""nodeName = "{self.name}"
role = "entry"
machineClass = "front"
serves = ["front", "control"]
ip = "{self.host}"
zone = "{zone}"
region = "{ZONES[zone]}"
internalPortRange = [{internal_port}, {internal_port + 15}]
seedNodes = {json.dumps([f'{seed}:1' for seed in seeds])}
bootstrap = true
discovery = "platform"
heartbeatMs = 1200
[zones]
{zones}
[listen]
front = "{self.front}"
ready = "{self.ready}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 150
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
addrReuseS = 2
contactMs = 4000
drainMs = 2500
graceS = {GRACE_SECONDS}
lossSlackMs = 200
configApplyMs = 2500
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtraRetries = 54
[platform]
address = "{store.address}"
form = "log"
keep_s = 300
"""
        )

    def start(self):
        deps = ROOT / 'target' / 'deps'
        if not deps.is_dir():
            raise CannotRun('the build of the deploy file has not run')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(deps)
        environment['LABURNUMSTEP_SETTINGS'] = str(self._settings)
        self.process = subprocess.Popen(
            ['python3', '-m', 'laburnumstep.platform'],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def send(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f'{self.name} ended')
            try:
                reader, writer = await connect(self.ready)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            writer.write(encode_request('GET', '/v1/ready', [('Host', 'a')]))
            head = await read_head(reader)
            writer.close()
            if head is not None and ' 200' in head[0]:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} did not become ready')


# Clients


async def connect(address, limit=1 << 20):
    host, _, port = address.rpartition(':')
    return await asyncio.open_connection(host, int(port), limit=limit)


def client_headers(key, wait_ms, more=()):
    return [
        ('Host', HOST),
        ('Attempt-Id', key),
        ('Deadline-Remaining', wait_ms),
        ('Authorization', f'Token {KEY}'),
        *more,
    ]


class Deployment:
    """The store, servers and VMs of one case."""

    def __init__(self, folder, trouble, vms=1):
        self.record = Record(folder)
        self.trouble = trouble
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store(self.record)
        self.vms = []
        self.servers = []
        self._vm_count = vms

    async def start(self):
        await self.store.open()
        for server in self.servers:
            await server.start()
        self.store.put_json('op', 'config', make_configuration())
        port = find_port('127.0.1.1')
        hosts = [f'127.0.1.{n + 1}' for n in range(self._vm_count)]
        for number in range(1, self._vm_count + 1):
            vm = VM(number, self.folder.name, self.store, port, hosts[:3])
            self.vms.append(vm)
            vm.start()
        for vm in self.vms:
            await vm.wait_ready()
        self.record.write('all VMs are ready')

    def stop(self):
        for vm in self.vms:
            vm.kill()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for path in pathlib.Path(self.folder.name).glob('*.log'):
                pathlib.Path(keep, path.name).write_bytes(path.read_bytes())
        self.folder.cleanup()
        self.record.close()


def main(folder, play, trouble, vms=1):
    """Run a case; exit with 1 if the rule was broken, 0 if not, else 2.

    Args:
        folder: Folder of the case, for `record.txt`.
        play: Plays the case and returns whether the rule was broken.
        trouble: Whether the disruption takes place.
        vms: Number of VMs.
    """

    async def run():
        deployment = Deployment(folder, trouble, vms)
        code = 2
        try:
            async with asyncio.timeout(110):
                code = 1 if await play(deployment) else 0
        except Exception as error:  # Any failure: the case did not run.
            print(f'the case could not run: {error!r}', file=sys.stderr)
        finally:
            deployment.stop()
            sys.stdout.flush()
            os._exit(code)

    asyncio.run(run())
