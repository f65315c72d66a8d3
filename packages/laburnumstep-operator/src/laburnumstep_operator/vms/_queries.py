"""Questions to several VMs."""

from __future__ import annotations

import typing

import anyio

from laburnumstep_operator.vms import _client

Ask = typing.Callable[[_client.VMClient], typing.Awaitable[_client.VMAnswer]]


async def fetch_status(
    addresses: list[str], key: str, deadline: float
) -> list[_client.VMAnswer]:
    """Ask every VM at once what is in force.

    Args:
        addresses: IP number and port of each VM.
        key: The operators' key.
        deadline: When to give up, in epoch seconds.
    """
    return await _ask_all(
        addresses, key, lambda client: client.fetch_status(deadline)
    )


async def explain(
    addresses: list[str], key: str, request: str, deadline: float
) -> list[_client.VMAnswer]:
    """Ask every VM at once for its decision about a request.

    A request that was sent again may have been decided by several VMs.
    """
    return await _ask_all(
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
    """Ask one VM after the other, until one accepts the order.

    The VM that accepts tells the others. An order whose reply was lost may
    be given again, because draining twice is the same as once.
    """
    answers: list[_client.VMAnswer] = []
    for address in addresses:
        answers += await _ask_all(
            [address], key, lambda client: client.drain(kind, name, deadline)
        )
        if isinstance(answers[-1], _client.Answered):
            break
    return answers


async def _ask_all(
    addresses: list[str], key: str, ask: Ask
) -> list[_client.VMAnswer]:
    answers: dict[str, _client.VMAnswer] = {}

    async def ask_one(address: str) -> None:
        client = _client.VMClient(address, key)
        try:
            answers[address] = await ask(client)
        finally:
            await client.close()

    async with anyio.create_task_group() as tasks:
        for address in addresses:
            tasks.start_soon(ask_one, address)
    return [answers[address] for address in addresses]
