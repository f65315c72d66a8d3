"""Callers that sent a second request ahead leave, and their work goes on."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'harness-2'))

import harness

CALLERS = 12
WORK_SECONDS = 3.0
KIND = os.environ.get('KIND', 'read')


async def call(deployment, number, closed):
    record = deployment.record
    vm = deployment.vms[0]
    reader, writer = await harness.connect(vm.front)
    count = 3 if deployment.trouble else 1
    for position in range(count):
        key = f'{number}-{position}'
        method = 'GET' if KIND == 'read' else 'POST'
        writer.write(
            harness.encode_request(
                method, f'/{KIND}/1', harness.client_headers(key, 20000)
            )
        )
        record.write(f'client sends {key}')
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.3)
    writer.close()
    closed[number] = record.now()
    record.write(f'client {number} closes its channel')


async def play(deployment):
    record = deployment.record
    for number in range(3):
        server = harness.Server(f'i-b{number}', record, deployment.store)
        server.work_seconds = WORK_SECONDS
        deployment.servers.append(server)
    await deployment.start()
    await asyncio.sleep(1)
    closed = {}
    await asyncio.gather(
        *[call(deployment, number, closed) for number in range(CALLERS)]
    )
    await asyncio.sleep(8)
    runs = [run for server in deployment.servers for run in server.runs]
    late = [r[0] for r in runs if r[1] > closed[int(r[0].split('-')[0])] + 0.5]
    working = [
        r[0]
        for r in runs
        if r[1] <= closed[int(r[0].split('-')[0])]
        and (r[2] or 1e9) > closed[int(r[0].split('-')[0])] + 0.5
    ]
    record.say(
        f'of {len(runs)} runs {len(late)} began over 0.5 s after their'
        f' callers had left, and {len(working)} were at work 0.5 s after it'
    )
    return len(late) > 5 or len(working) > CALLERS / 4


harness.main(pathlib.Path(__file__).parent, play)
