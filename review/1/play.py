"""One engine of five sends a body without end until its caller closes."""

from __future__ import annotations

import asyncio
import os
import select
import sys
import threading

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import lab  # noqa: E402

ZONES = {'callao-a': 'lima', 'callao-b': 'lima', 'paita-a': 'piura'}
CALM_SECONDS = 6.0
TROUBLE_SECONDS = 20.0
SLACK_SECONDS = 0.5
MIN_LATE = 8


class EndlessEngine(lab.Server):
    """Sends line feeds in place of events, without end, if in trouble."""

    in_trouble = False

    async def answer(self, request, writer) -> bool:
        if not self.in_trouble:
            return await super().answer(request, writer)
        head = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        head += [f'{k}: {v}' for k, v in self.stamp(request).items()]
        head += ['Connection: close']
        writer.write('\r\n'.join(head).encode() + b'\r\n\r\n')
        await writer.drain()
        self.record.note(f'server {self.name} begins a body without end')
        sock = writer.get_extra_info('socket').dup()
        ended = asyncio.Event()
        loop = asyncio.get_running_loop()

        def flood() -> None:
            data = b'\n' * 262144
            sent = 0
            try:
                while True:
                    select.select([], [sock], [], 1.0)
                    try:
                        sent += sock.send(data)
                    except BlockingIOError:
                        continue
            except OSError:
                loop.call_soon_threadsafe(
                    self.record.note,
                    f'server {self.name}: the caller closed after {sent} B',
                )
            sock.close()
            loop.call_soon_threadsafe(ended.set)

        threading.Thread(target=flood, daemon=True).start()
        await ended.wait()
        return False


async def play(record: lab.Record, vms: list[lab.VM]) -> bool:
    """Return whether the rule was broken."""
    store = lab.Store()
    await store.start()
    zones = ['callao-a', 'callao-a', 'callao-b', 'callao-b', 'paita-a']
    engines = [
        EndlessEngine(store, record, 'planner-llm', zone, '127.0.0.1', True)
        for zone in zones
    ]
    servers = [
        lab.Server(store, record, 'booking-app', zone, '127.0.0.1')
        for zone in ZONES
    ]
    for server in engines + servers:
        await server.start()
    check = lab.Route(
        'cert-check', 'streaming', 'planner-llm', 6000, attempts=2,
        streamResumption=True, targetGapMs=180, sessionAffinity=True,
    )
    confirm = lab.Route('gang-confirm', 'unsafe', 'booking-app', 1000)
    roster = lab.Route('roster-read', 'safe', 'booking-app', 1000, attempts=2)
    services = {'planner-llm': True, 'booking-app': False}
    lab.publish(store, 1, [check, confirm, roster], services)
    vm = lab.VM(
        record, store, 'front-callao-a-1', '127.0.0.1', 'callao-a', ZONES, []
    )
    vms.append(vm)
    await vm.start()
    await vm.wait_ready()
    client = lab.Client(record, vm)
    sent: list[tuple[lab.Route, asyncio.Task]] = []

    def send(route, wait_ms, body=b'', method='POST', more=None) -> None:
        task = asyncio.ensure_future(
            client.send(route, wait_ms, body, method, more)
        )
        sent.append((route, task))

    async def send_for(seconds: float) -> None:
        for number in range(int(seconds / 0.25)):
            send(confirm, 2000, b'c' * 600)
            if number % 2:
                send(roster, 2000, method='GET')
                send(check, 6000, b'p' * 2900, more=lab.prompt(f'{number:x}'))
            await asyncio.sleep(0.25)

    # Longer than contactMs, so that the machine is in touch.
    await send_for(CALM_SECONDS)
    engines[0].in_trouble = lab.TROUBLE
    await send_for(TROUBLE_SECONDS)
    await asyncio.wait([task for _, task in sent])
    lasting = late = 0
    for route, task in sent:
        result = task.result()
        if result.seconds <= route.timeout:
            continue
        lasting += 1
        limit = route.timeout + SLACK_SECONDS
        # A client that left before the limit does not show anything.
        if not result.complete and result.seconds < limit:
            lasting -= 1
        elif not result.complete or result.seconds > limit:
            late += 1
    running = vm.process.returncode is None
    record.note(
        f'{len(sent)} requests, {lasting} longer than timeoutMs,'
        f' {late} without a final answer 0.5 s after it;'
        f' process running: {running}'
    )
    return late >= MIN_LATE and late > lasting / 4


lab.main(play, FOLDER)
