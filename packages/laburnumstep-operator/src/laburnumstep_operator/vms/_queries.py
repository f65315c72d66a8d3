"""Requests to several VMs."""

from __future__ import annotations

import typing

import anyio

from laburnumstep import core
from laburnumstep_operator.vms import _client

_Request = typing.Callable[
    [_client.VMClient], typing.Awaitable[_client.VMAnswer]
]


async def fetch_status(
    addresses: list[str], key: str, deadline: float
) -> list[_client.VMAnswer]:
    """Fetch the status of all VMs concurrently.

    Args:
        addresses: IP address and port of each VM.
        key: The operators' key.
        deadline: When to give up, in epoch seconds.

    Returns:
        The answers, in the order of the addresses.
    """
    return await _request_all(
        addresses, key, lambda client: client.fetch_status(deadline)
    )


async def fetch_decisions(
    addresses: list[str], key: str, request: str, deadline: float
) -> list[_client.VMAnswer]:
    """Fetch the decisions about a request from all VMs concurrently.

    Several VMs may have decided about a request that its caller resent.

    Args:
        addresses: IP address and port of each VM.
        key: The operators' key.
        request: Idempotency key of the request.
        deadline: When to give up, in epoch seconds.

    Returns:
        The answers, in the order of the addresses.
    """
    return await _request_all(
        addresses,
        key,
        lambda client: client.fetch_decision(request, deadline),
    )


async def drain(
    addresses: list[str],
    key: str,
    kind: typing.Literal['target', 'vm'],
    name: str,
    deadline: float,
) -> list[_client.VMAnswer]:
    """Send a drain order to one VM after the other until one accepts it.

    The VM that accepts the order announces it to its siblings. An order
    whose reply was lost may be sent again, because draining is idempotent.

    Args:
        addresses: IP address and port of each VM.
        key: The operators' key.
        kind: Whether `name` is the name of a target or of a VM.
        name: Name of the target or the VM.
        deadline: When to give up on all VMs, in epoch seconds.

    Returns:
        The answers of the VMs that were tried, in the order of the
        addresses.
    """
    return await _request_in_turn(
        addresses, key, lambda client: client.drain(kind, name, deadline)
    )


async def fetch_culprits(
    addresses: list[str], key: str, deadline: float
) -> list[_client.VMAnswer]:
    """Fetch what the VMs refuse because it crashes targets.

    Args:
        addresses: IP address and port of each VM.
        key: The operators' key.
        deadline: When to give up, in epoch seconds.

    Returns:
        The answers, in the order of the addresses.
    """
    return await _request_all(
        addresses, key, lambda client: client.fetch_culprits(deadline)
    )


async def order_culprits(
    addresses: list[str],
    key: str,
    order: core.DocumentObject,
    deadline: float,
) -> list[_client.VMAnswer]:
    """Send an order about culprits to VMs in turn until one accepts it.

    The VM that accepts the order announces it to its siblings.

    Args:
        addresses: IP address and port of each VM.
        key: The operators' key.
        order: The order, as a JSON object.
        deadline: When to give up on all VMs, in epoch seconds.

    Returns:
        The answers of the VMs that were tried, in the order of the
        addresses.
    """
    return await _request_in_turn(
        addresses, key, lambda client: client.order_culprits(order, deadline)
    )


async def _request_in_turn(
    addresses: list[str], key: str, send: _Request
) -> list[_client.VMAnswer]:
    """Send a request to one VM after the other until one answers it."""
    answers: list[_client.VMAnswer] = []
    for address in addresses:
        answers += await _request_all([address], key, send)
        if isinstance(answers[-1], _client.Answered):
            break
    return answers


async def _request_all(
    addresses: list[str], key: str, send: _Request
) -> list[_client.VMAnswer]:
    answers: dict[str, _client.VMAnswer] = {}

    async def request_from(address: str) -> None:
        client = _client.VMClient(address, key)
        try:
            answers[address] = await send(client)
        finally:
            await client.close()

    async with anyio.create_task_group() as tasks:
        for address in addresses:
            tasks.start_soon(request_from, address)
    return [answers[address] for address in addresses]
