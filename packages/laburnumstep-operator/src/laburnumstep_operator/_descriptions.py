"""Formats configuration changes as text for people."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep import log


def describe_changes(
    old: core.Deployment, changes: list[log.Change]
) -> list[str]:
    """Return one line of text for each change.

    Args:
        old: Deployment before the changes.
        changes: Changes to describe.
    """
    return [_describe_change(old, change) for change in changes]


def _describe_change(old: core.Deployment, change: log.Change) -> str:
    match change:
        case log.PutPlace(name=name, place=place):
            return _describe_put('place', name, old.places.get(name), place)
        case log.PutTarget(target=target):
            name = target.name
            return _describe_put('target', name, old.targets.get(name), target)
        case log.PutService(name=name, service=service):
            return _describe_put(
                'service', name, old.services.get(name), service
            )
        case log.PutWorkspace(workspace=workspace):
            name = workspace.name
            previous = old.workspaces.get(name)
            return _describe_put('workspace', name, previous, workspace)
        case log.RemovePlace(name=name):
            return f'- place {name}'
        case log.RemoveTarget(name=name):
            return f'- target {name}'
        case log.RemoveService(name=name):
            return f'- service {name}'
        case log.RemoveWorkspace(name=name):
            return f'- workspace {name}'
        case log.SetWeights(weights=weights):
            return _describe_put('weights', '', old.weights, weights)
        case log.SetLinks(links=links):
            return _describe_put('links', '', old.links, links)
        case _:
            typing.assert_never(change)


def _describe_put(
    kind: str,
    name: str,
    old: attrs.AttrsInstance | None,
    new: attrs.AttrsInstance,
) -> str:
    """Return a `+` line for a new item, a `~` line for a changed one."""
    title = f'{kind} {name}'.strip()
    if old is None or type(old) is not type(new):
        return f'+ {title}'
    differences = []
    for field in attrs.fields(type(new)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after:
            differences.append(f'{field.name} {before} -> {after}')
    return f'~ {title}: {", ".join(differences)}'
