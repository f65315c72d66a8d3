"""Configuration changes, each of which adds or removes one item."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core


@attrs.frozen
class PutPlace:
    """Adds or replaces a place."""

    name: str
    """Name of the place."""
    place: core.Place
    """The new declaration."""


@attrs.frozen
class RemovePlace:
    """Removes a place."""

    name: str
    """Name of the place."""


@attrs.frozen
class PutTarget:
    """Adds or replaces a target."""

    target: core.Target
    """The new declaration, with its name."""


@attrs.frozen
class RemoveTarget:
    """Removes a target."""

    name: str
    """Name of the target."""


@attrs.frozen
class PutService:
    """Adds or replaces a plain service."""

    name: str
    """Name of the service."""
    service: core.Service
    """The new declaration."""


@attrs.frozen
class RemoveService:
    """Removes a plain service."""

    name: str
    """Name of the service."""


@attrs.frozen
class PutWorkspace:
    """Adds or replaces a workspace."""

    workspace: core.Workspace
    """The new declaration, with its name."""


@attrs.frozen
class RemoveWorkspace:
    """Removes a workspace."""

    name: str
    """Name of the workspace."""


@attrs.frozen
class SetWeights:
    """Replaces the weights of the measures that placement compares."""

    weights: core.PolicyWeights
    """The new weights."""


@attrs.frozen
class SetLinks:
    """Replaces the bandwidth budgets of the links between regions."""

    links: core.LinkBudget
    """The new budgets."""


Change = (
    PutPlace
    | RemovePlace
    | PutTarget
    | RemoveTarget
    | PutService
    | RemoveService
    | PutWorkspace
    | RemoveWorkspace
    | SetWeights
    | SetLinks
)


def apply_changes(
    deployment: core.Deployment, changes: list[Change]
) -> core.Deployment:
    """Return a deployment with changes applied in their order.

    Removing an item that is not declared has no effect. No change can fail,
    so every reader computes the same deployment.
    """
    places = dict(deployment.places)
    targets = dict(deployment.targets)
    services = dict(deployment.services)
    workspaces = dict(deployment.workspaces)
    weights, links = deployment.weights, deployment.links
    for change in changes:
        match change:
            case PutPlace(name=name, place=place):
                places[name] = place
            case RemovePlace(name=name):
                places.pop(name, None)
            case PutTarget(target=target):
                targets[target.name] = target
            case RemoveTarget(name=name):
                targets.pop(name, None)
            case PutService(name=name, service=service):
                services[name] = service
            case RemoveService(name=name):
                services.pop(name, None)
            case PutWorkspace(workspace=workspace):
                workspaces[workspace.name] = workspace
            case RemoveWorkspace(name=name):
                workspaces.pop(name, None)
            case SetWeights(weights=new_weights):
                weights = new_weights
            case SetLinks(links=new_links):
                links = new_links
            case _:
                typing.assert_never(change)
    return core.Deployment(
        deployment.name, places, targets, services, workspaces, weights, links
    )


def find_item(change: Change) -> core.ItemName:
    """Return the section and name of the item that a change affects."""
    match change:
        case PutPlace(name=name) | RemovePlace(name=name):
            return ('places', name)
        case PutTarget(target=target):
            return ('targets', target.name)
        case RemoveTarget(name=name):
            return ('targets', name)
        case PutService(name=name) | RemoveService(name=name):
            return ('services', name)
        case PutWorkspace(workspace=workspace):
            return ('workspaces', workspace.name)
        case RemoveWorkspace(name=name):
            return ('workspaces', name)
        case SetWeights():
            return ('weights', '')
        case SetLinks():
            return ('links', '')
        case _:
            typing.assert_never(change)


def diff_deployments(
    old: core.Deployment, new: core.Deployment
) -> list[Change]:
    """Return the changes that turn one deployment into another.

    Removals come after additions, so that a target refers to an existing
    place and service after each single change.
    """
    changes: list[Change] = []
    removals: list[Change] = []
    changes += [PutPlace(*item) for item in _find_new(old.places, new.places)]
    changes += [
        PutService(*item) for item in _find_new(old.services, new.services)
    ]
    changes += [
        PutTarget(target) for _, target in _find_new(old.targets, new.targets)
    ]
    changes += [
        PutWorkspace(workspace)
        for _, workspace in _find_new(old.workspaces, new.workspaces)
    ]
    if old.weights != new.weights:
        changes.append(SetWeights(new.weights))
    if old.links != new.links:
        changes.append(SetLinks(new.links))
    removals += [RemoveTarget(n) for n in old.targets.keys() - new.targets]
    removals += [RemoveService(n) for n in old.services.keys() - new.services]
    removals += [RemovePlace(n) for n in old.places.keys() - new.places]
    removals += [
        RemoveWorkspace(n) for n in old.workspaces.keys() - new.workspaces
    ]
    return changes + sorted(removals, key=lambda change: repr(change))


_T = typing.TypeVar('_T')


def _find_new(old: dict[str, _T], new: dict[str, _T]) -> list[tuple[str, _T]]:
    return [(n, item) for n, item in new.items() if old.get(n) != item]
