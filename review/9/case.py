"""A run goes on at a slow engine while the engine before still works on it."""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import harness_2 as harness

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
"""Whether the disruption takes place."""
ENGINES = 7
STREAMS = 120
EVENTS = 150
TOKENS_PER_EVENT = 4
TOKEN_SECONDS = 0.035
"""Pace of a busy engine: an event each 0.14 s, of 0.18 s allowed."""
SLOW_FACTOR = 8
"""What a slow engine needs more."""
MAX_OVERLAP_SECONDS = 0.4


class MovingEngine(harness.Engine):
    """An engine that copies runs and goes on with copies."""

    handles: dict = {}
    by_address: dict = {}

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.factor = 1
        self.work = []
        """Request id, begin of the work and its end."""

    async def handle(self, request, reader, writer):
        if request.path == '/v1/kv-move':
            writer.write(await self._copy(json.loads(request.body)))
            await writer.drain()
            return True
        if request.path.startswith('/v1/kv-handle/'):
            writer.write(harness.json_response(200, {}))
            await writer.drain()
            return True
        return await super().handle(request, reader, writer)

    async def _copy(self, order):
        key = order['id']
        if key not in self.running:
            return harness.json_response(404, {})
        if order['last']:
            return harness.json_response(409, {})
        await asyncio.sleep(0.1)
        handle = f'h{len(self.handles)}'
        self.handles[handle] = (key, order['target'])
        self.record.write(f'engine {self.name} has copied {key} as {handle}')
        return harness.json_response(
            200, {'handle': handle, 'createdAt': self.running.get(key, 0)}
        )

    def _may_continue(self, key, source):
        address, _, handle = source.rpartition('/')
        if address == self.address:
            return handle == key
        return self.handles.pop(handle, None) == (key, self.address)

    async def run(self, key, request, reader, writer):
        source = request.headers.get('kv-from')
        if source is not None and not self._may_continue(key, source):
            headers = [('Not-Executed', '1'), *self.own_headers(request)]
            writer.write(harness.encode_response(503, b'', headers))
            await writer.drain()
            return True
        position = int(request.headers.get('last-event-id', '0'))
        gone = asyncio.create_task(reader.read(1))
        if source is None:
            await asyncio.wait({gone}, timeout=self.first_seconds)
        # The request runs from its first token on.
        entry = [key, self.record.now(), None]
        self.work.append(entry)
        how = f'goes on after {position}' if source else 'begins'
        self.record.write(f'engine {self.name}: {key} {how}')
        begun = False
        tokens = 1
        try:
            while position < EVENTS:
                while tokens < TOKENS_PER_EVENT and not gone.done():
                    pause = TOKEN_SECONDS * self.factor
                    await asyncio.wait({gone}, timeout=pause)
                    tokens += 1
                if gone.done():
                    return False
                tokens = 0
                position += 1
                self.running[key] = position
                if not begun:
                    begun = True
                    headers = [
                        ('Content-Type', 'text/event-stream'),
                        ('Response-Stamp', f'mac-{key}'),
                        ('Transfer-Encoding', 'chunked'),
                        *self.own_headers(request),
                    ]
                    lines = [f'{name}: {value}' for name, value in headers]
                    head = '\r\n'.join(['HTTP/1.1 200 OK', *lines])
                    writer.write(head.encode() + b'\r\n\r\n')
                data = f'id: {position}\ndata: {key}\n\n'.encode()
                writer.write(b'%x\r\n%s\r\n' % (len(data), data))
                await writer.drain()
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        finally:
            gone.cancel()
            self.running.pop(key, None)
            entry[2] = self.record.now()
            self.record.write(f'engine {self.name} ends its work on {key}')
        await asyncio.gather(gone, return_exceptions=True)
        return True


async def read_plan(deployment, number, outcomes):
    key = f'plan-{number}'
    more = [
        ('Model', 'm'),
        ('Token-Usage', '1000,960'),
        ('Prompt-Prefix', f'{number:08x}:1000'),
    ]
    reader, writer = await harness.connect(deployment.vms[0].front)
    writer.write(
        harness.encode_request(
            'POST',
            '/plan/1',
            harness.client_headers(key, 39000, more),
            b'x' * 1000,
        )
    )
    head = await harness.read_head(reader)
    outcome = head[0].split()[1] if head else 'closed'
    try:
        if outcome == '200':
            await harness.read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        outcome = 'cut off'
    outcomes.append(outcome)
    writer.close()


async def play(deployment):
    record = deployment.record
    engines = [
        MovingEngine(f'i-e{number}', record, deployment.store)
        for number in range(ENGINES)
    ]
    first, second = engines[:2]
    deployment.servers += engines
    await deployment.start()
    await asyncio.sleep(2)
    outcomes = []
    plans = [
        asyncio.create_task(read_plan(deployment, number, outcomes))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(3)
    if deployment.trouble:
        record.write(f'engine {second.name} turns slow')
        second.factor = SLOW_FACTOR
    await asyncio.sleep(1)
    record.write(f'engine {first.name} reports that it drains')
    first.state = 'draining'
    first.write_entry()
    await asyncio.sleep(12)
    for plan in plans:
        plan.cancel()
    overlaps = {}
    for key, _, end in first.work:
        for other, begin, _ in [w for e in engines[1:] for w in e.work]:
            if other == key:
                until = record.now() if end is None else end
                overlaps[key] = round(until - begin, 3)
    record.say(f'seconds at both engines: {overlaps}')
    record.say(f'ended: {outcomes}')
    broken = [k for k, s in overlaps.items() if s > MAX_OVERLAP_SECONDS]
    record.say(f'{len(broken)} of {len(overlaps)} over 0.4 s: {broken}')
    return bool(broken)


harness.main(pathlib.Path(__file__).parent, play, TROUBLE)
