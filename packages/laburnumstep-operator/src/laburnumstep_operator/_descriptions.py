"""Describes the changes of a configuration to people."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep import log


def describe_changes(
    old: core.Deployment, changes: list[log.Change]
) -> list[str]:
    """Return a line for each change of a deployment."""
    return [_describe(old, change) for change in changes]


def _describe(old: core.Deployment, change: log.Change) -> str:
    match change:
        case log.PutPlace(name=name, place=place):
            return _put('place', name, old.places.get(name), place)
        case log.PutTarget(target=target):
            name = target.name
            return _put('target', name, old.targets.get(name), target)
        case log.PutService(name=name, service=service):
            return _put('service', name, old.services.get(name), service)
        case log.PutWorkspace(workspace=workspace):
            name = workspace.name
            known = old.workspaces.get(name)
            return _put('workspace', name, known, workspace)
        case log.RemovePlace(name=name):
            return f'- place {name}'
        case log.RemoveTarget(name=name):
            return f'- target {name}'
        case log.RemoveService(name=name):
            return f'- service {name}'
        case log.RemoveWorkspace(name=name):
            return f'- workspace {name}'
        case log.SetWeights(weights=weights):
            return _put('weights', '', old.weights, weights)
        case log.SetLinks(links=links):
            return _put('links', '', old.links, links)
        case _:
            typing.assert_never(change)


def _put(
    kind: str,
    name: str,
    old: attrs.AttrsInstance | None,
    new: attrs.AttrsInstance,
) -> str:
    title = f'{kind} {name}'.strip()
    if old is None or type(old) is not type(new):
        return f'+ {title}'
    parts = []
    for field in attrs.fields(type(new)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after:
            parts.append(f'{field.name} {before} -> {after}')
    return f'~ {title}: {", ".join(parts)}'
