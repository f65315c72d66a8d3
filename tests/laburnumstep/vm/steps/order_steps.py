"""Steps for orders to engines from entry VMs that run as processes."""

from __future__ import annotations

import time
import typing

import attrs
import behave

from laburnumstep import core
from laburnumstep import transport
from support import cluster
from support import polling


@behave.when('every engine is declared to run version "{version}"')
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
    for host in context.cluster.engines.values():
        client = transport.JsonClient(host.path.address)

        async def is_loaded(client: transport.JsonClient = client) -> bool:
            reply = await client.request('GET', '/v1/load', time.time() + 5)
            models = reply.body['models']
            versions = {item['name']: item['version'] for item in models}
            return versions[cluster.MODEL] == version

        context.portal.call(polling.wait_until, is_loaded)
        context.portal.call(client.close)


@behave.then(
    'weights were fetched once for each engine, within the rate limit'
)
def step_fetches(context: typing.Any) -> None:
    store = context.cluster.weights
    fetched = sorted(target for _, _, _, target in store.fetches)
    assert fetched == sorted(context.cluster.engines), store.fetches
    assert store.excess == 0, store.excess
