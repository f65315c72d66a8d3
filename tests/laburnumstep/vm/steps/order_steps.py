"""Steps for orders to engines with entry VMs as processes."""

from __future__ import annotations

import time
import typing

import anyio
import attrs
import behave

from laburnumstep import core
from laburnumstep import transport
from support import cluster

_POLL_SECONDS = 0.05


@behave.when('every engine is declared with version "{version}"')
def step_declare(context: typing.Any, version: str) -> None:
    deployment = context.cluster.deployment
    targets = {
        name: attrs.evolve(target, version=version)
        if isinstance(target, core.EngineTarget)
        else target
        for name, target in deployment.targets.items()
    }
    changed = attrs.evolve(deployment, targets=targets)
    context.portal.call(context.cluster.publish, changed)


@behave.then('every engine reports version "{version}"')
def step_reports(context: typing.Any, version: str) -> None:
    async def wait() -> None:
        for host in context.cluster.engines.values():
            client = transport.JsonClient(host.path.address)
            with anyio.fail_after(cluster.DEADLINE_SECONDS):
                while True:
                    reply = await client.request(
                        'GET', '/v1/load', time.time() + 5
                    )
                    models = {
                        model['name']: model['version']
                        for model in reply.body['models']
                    }
                    if models[cluster.MODEL] == version:
                        break
                    await anyio.sleep(_POLL_SECONDS)
            await client.close()

    context.portal.call(wait)


@behave.then(
    'the weight store was asked once for each engine and never too early'
)
def step_store(context: typing.Any) -> None:
    store = context.cluster.weights
    fetched = sorted(target for _, _, _, target in store.fetches)
    assert fetched == sorted(context.cluster.engines), store.fetches
    assert store.excess == 0, store.excess
