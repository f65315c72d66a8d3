"""Which engines one VM uses, where the deployment has many."""

from __future__ import annotations

import attrs

from laburnumstep import core

MAX_ENGINES = 64
"""Engines that one VM follows and sends to. Each costs load reports; with
64 engines their reports are about 7 s apart within the budget for them."""
MIN_ENGINES_BY_MODEL = 4
"""Engines of each model that a VM uses at least, where there are as many."""


def limit_engines(
    deployment: core.Deployment,
    vm_name: str,
    data_centre: str,
    limit: int = MAX_ENGINES,
) -> core.Deployment:
    """Return the deployment with the engines that one VM uses.

    Engines of the VM's data centre come first, then those of its region.
    Among equals each VM prefers others, by rendezvous hashing, so that all
    engines are used and few change when an engine comes or goes. Engines
    that leave are kept beside them while requests may still run there.
    Small deployments are returned unchanged.

    Args:
        deployment: The configuration in force.
        vm_name: Name of the VM.
        data_centre: Its data centre.
        limit: Engines to use, at most, unless a model would have too few.
    """
    engines = [
        target
        for target in deployment.targets.values()
        if isinstance(target, core.EngineTarget) and not target.leaving
    ]
    if len(engines) <= limit:
        return deployment
    by_model: dict[str, list[core.EngineTarget]] = {}
    for engine in engines:
        for model in engine.models:
            by_model.setdefault(model, []).append(engine)
    share = max(MIN_ENGINES_BY_MODEL, limit // len(by_model))
    region = deployment.find_region(data_centre)

    def rank(engine: core.EngineTarget) -> tuple[bool, bool, int]:
        return (
            engine.data_centre != data_centre,
            deployment.find_region(engine.data_centre) != region,
            core.stable_hash(f'{vm_name}|{engine.name}'),
        )

    kept = {
        engine.name
        for candidates in by_model.values()
        for engine in sorted(candidates, key=rank)[:share]
    }
    return attrs.evolve(
        deployment,
        targets={
            name: target
            for name, target in deployment.targets.items()
            if name in kept
            or target.leaving
            or isinstance(target, core.ServiceTarget)
        },
    )
