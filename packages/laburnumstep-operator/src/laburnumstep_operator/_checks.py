"""Validates a deployment, including references between its items."""

from __future__ import annotations

import collections
import ipaddress
import re
import typing

import attrs

from laburnumstep import core

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_DIGEST = re.compile(r'[0-9a-f]{64}')


@attrs.frozen
class Item:
    """Identifies one declared item of a deployment."""

    section: str
    """Section of the item: deployment, places, targets, services,
    workspaces, weights or links.
    """
    name: str
    """Name of the item in its section; empty for the weights."""


@attrs.frozen
class Problem:
    """Describes one mistake in a deployment, without its source position."""

    item: Item
    """Item that contains the mistake."""
    code: str
    """Stable code for the kind of mistake."""
    message: str
    """Description for people."""


def check_deployment(deployment: core.Deployment) -> list[Problem]:
    """Return every mistake in a deployment.

    Args:
        deployment: Deployment to validate.

    Returns:
        The mistakes, grouped by section; empty if the deployment is valid.
    """
    return [
        *_check_name(Item('deployment', deployment.name)),
        *_check_places(deployment),
        *_check_targets(deployment),
        *_check_services(deployment),
        *_check_workspaces(deployment),
        *_check_weights(deployment),
        *_check_links(deployment),
    ]


Problems = typing.Iterator[Problem]


def _check_name(item: Item) -> Problems:
    if not _NAME.fullmatch(item.name):
        yield Problem(
            item,
            'bad_name',
            'must have 1 to 63 letters, digits, ".", "-" or "_", and start'
            ' with a letter or a digit',
        )


def _check_places(deployment: core.Deployment) -> Problems:
    counts = collections.Counter(
        data_centre
        for place in deployment.places.values()
        for data_centre in place.data_centres
    )
    for name, place in deployment.places.items():
        item = Item('places', name)
        yield from _check_name(item)
        if not place.data_centres:
            yield Problem(item, 'no_data_centre', 'has no data centre')
        for data_centre in place.data_centres:
            if counts[data_centre] > 1:
                message = f'data centre {data_centre} is declared twice'
                yield Problem(item, 'data_centre_twice', message)


def _check_targets(deployment: core.Deployment) -> Problems:
    targets_by_address: dict[str, str] = {}
    for name, target in deployment.targets.items():
        item = Item('targets', name)
        yield from _check_name(item)
        if name != target.name:
            message = f'is declared under the name {target.name}'
            yield Problem(item, 'name_differs', message)
        if deployment.find_region(target.data_centre) is None:
            message = f'data centre {target.data_centre} is not declared'
            yield Problem(item, 'unknown_data_centre', message)
        if not is_address(target.address):
            message = f'{target.address!r} must be <IP number>:<port>'
            yield Problem(item, 'bad_address', message)
        first_target = targets_by_address.setdefault(target.address, name)
        if first_target != name:
            message = f'{target.address} is the address of {first_target}'
            yield Problem(item, 'address_twice', message)
        yield from _check_target(item, target, deployment)


def _check_target(
    item: Item, target: core.Target, deployment: core.Deployment
) -> Problems:
    match target:
        case core.EngineTarget(models=models, kv_tokens=kv_tokens):
            if not models:
                yield Problem(item, 'no_model', 'serves no model')
            if len(set(models)) != len(models):
                yield Problem(item, 'model_twice', 'lists a model twice')
            if kv_tokens <= 0:
                message = 'kv_tokens must be above 0'
                yield Problem(item, 'bad_value', message)
        case core.ServiceTarget(service=service):
            if service not in deployment.services:
                message = f'service {service} is not declared'
                yield Problem(item, 'unknown_service', message)
        case _:
            typing.assert_never(target)


def _check_services(deployment: core.Deployment) -> Problems:
    for name, service in deployment.services.items():
        item = Item('services', name)
        yield from _check_name(item)
        if not service.operations:
            yield Problem(item, 'no_operation', 'has no operation')
        for operation in service.operations:
            if not _NAME.fullmatch(operation):
                message = f'operation {operation!r} is not a valid name'
                yield Problem(item, 'bad_name', message)


def _check_workspaces(deployment: core.Deployment) -> Problems:
    for name, workspace in deployment.workspaces.items():
        item = Item('workspaces', name)
        yield from _check_name(item)
        if name != workspace.name:
            message = f'is declared under the name {workspace.name}'
            yield Problem(item, 'name_differs', message)
        if not _DIGEST.fullmatch(workspace.key_digest):
            message = 'key_digest must be a SHA-256 digest in hexadecimal'
            yield Problem(item, 'bad_digest', message)
        limits = {
            'requests_per_second': workspace.requests_per_second,
            'concurrency': workspace.concurrency,
            'tokens_per_second': workspace.tokens_per_second,
        }
        for key, value in limits.items():
            if not 0 < value < float('inf'):
                message = f'{key} must be above 0 and finite'
                yield Problem(item, 'bad_value', message)


def _check_weights(deployment: core.Deployment) -> Problems:
    weights = deployment.weights
    values = (weights.stall, weights.preemption, weights.tail)
    if not all(0 <= value < float('inf') for value in values):
        message = 'weights must be finite and not negative'
        yield Problem(Item('weights', ''), 'bad_value', message)


def _check_links(deployment: core.Deployment) -> Problems:
    regions = {place.region for place in deployment.places.values()}
    for direction, budget in deployment.links.bytes_per_second.items():
        item = Item('links', direction)
        source, _, destination = direction.partition('>')
        for region in (source, destination):
            if region not in regions:
                message = f'region {region!r} is not declared'
                yield Problem(item, 'unknown_region', message)
        if source == destination:
            yield Problem(item, 'bad_link', 'connects a region to itself')
        if not 0 < budget < float('inf'):
            message = 'bytes_per_second must be above 0 and finite'
            yield Problem(item, 'bad_value', message)


def is_address(text: str) -> bool:
    """Return whether a text has the form `<IP number>:<port>`."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) <= 65535
