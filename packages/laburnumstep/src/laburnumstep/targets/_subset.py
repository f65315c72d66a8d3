"""Selection of the engines that one VM uses in a large deployment."""

from __future__ import annotations

import attrs

from laburnumstep import core

MAX_ENGINES = 64
"""Maximum number of engines that one VM polls and sends to. Within the budget
for load reports, 64 engines are polled about every 7 s each."""
MIN_ENGINES_BY_MODEL = 4
"""Minimum number of engines of each model that a VM uses, if there are as
many."""


def limit_engines(
    deployment: core.Deployment,
    vm_name: str,
    data_centre: str,
    limit: int = MAX_ENGINES,
    regions: frozenset[str] = frozenset(),
    evacuated: frozenset[str] = frozenset(),
) -> core.Deployment:
    """Return the deployment with the engines that one VM uses.

    Engines of the VM's data centre come first, then those of its region.
    Within each group, rendezvous hashing gives each VM a different order,
    so that all engines are used and few assignments change when an engine
    is added or removed. Leaving engines are retained in addition, because
    requests may still run there. Small deployments are returned unchanged.

    Args:
        deployment: The configuration in force.
        vm_name: Name of the VM.
        data_centre: Data centre of the VM.
        limit: Maximum number of engines. It may be exceeded so that each
            model has `MIN_ENGINES_BY_MODEL` engines.
        regions: Regions to which requests are restricted. Engines of each
            of them are used in addition, as many as of the VM's own region.
        evacuated: Data centres that are being evacuated. Others take the
            place of their engines, which are retained because requests may
            still run there.
    """
    engines = [
        target
        for target in deployment.targets.values()
        if isinstance(target, core.EngineTarget) and not target.leaving
    ]
    if len(engines) <= limit:
        return deployment
    by_model = _group_by_model(engines)
    per_model = max(MIN_ENGINES_BY_MODEL, limit // len(by_model))
    region = deployment.find_region(data_centre)

    def rank(engine: core.EngineTarget) -> tuple[bool, bool, int]:
        return (
            engine.data_centre != data_centre,
            deployment.find_region(engine.data_centre) != region,
            core.stable_hash(f'{vm_name}|{engine.name}'),
        )

    def select(groups: dict[str, list[core.EngineTarget]]) -> set[str]:
        """Return the names of the first engines of each group."""
        return {
            engine.name
            for group in groups.values()
            for engine in sorted(group, key=rank)[:per_model]
        }

    selected = select(by_model)
    usable = [
        engine for engine in engines if engine.data_centre not in evacuated
    ]
    if evacuated:
        selected |= select(_group_by_model(usable))
    for name in regions:
        inside = [
            engine
            for engine in usable
            if deployment.find_region(engine.data_centre) == name
        ]
        selected |= select(_group_by_model(inside))
    return attrs.evolve(
        deployment,
        targets={
            name: target
            for name, target in deployment.targets.items()
            if name in selected
            or target.leaving
            or isinstance(target, core.ServiceTarget)
        },
    )


def _group_by_model(
    engines: list[core.EngineTarget],
) -> dict[str, list[core.EngineTarget]]:
    by_model: dict[str, list[core.EngineTarget]] = {}
    for engine in engines:
        for model in engine.models:
            by_model.setdefault(model, []).append(engine)
    return by_model
