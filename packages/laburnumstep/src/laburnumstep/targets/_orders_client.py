"""Sends orders to one engine."""

from __future__ import annotations

import attrs

from laburnumstep import transport


@attrs.frozen
class Order:
    """An instruction to an engine to load a version of a model."""

    model: str
    """Name of the model."""
    version: str
    """Version to load."""


@attrs.frozen
class Accepted:
    """The engine carries the order out; its load report shows when."""


@attrs.frozen
class StaleFence:
    """The engine has obeyed a holder of a newer lease."""


@attrs.frozen
class OrderFailed:
    """The engine did not accept the order, or its reply was lost."""

    reason: str
    """What happened."""


OrderAnswer = Accepted | StaleFence | OrderFailed


class OrderClient:
    """Sends orders to one engine.

    Args:
        address: IP number and port of the engine.
    """

    def __init__(self, address: str) -> None:
        self._http = transport.JsonClient(address)

    async def send(
        self, order: Order, fence: int, deadline: float
    ) -> OrderAnswer:
        """Send one order.

        Args:
            order: The order.
            fence: Fencing number of the lease under which it is given.
            deadline: When to give up, in epoch seconds.
        """
        body = {
            'fence': fence,
            'kind': 'load_model',
            'model': order.model,
            'version': order.version,
        }
        try:
            reply = await self._http.request(
                'POST', '/v1/orders', deadline, body
            )
        except (transport.ConnectFailed, transport.ExchangeFailed) as error:
            return OrderFailed(str(error))
        if reply.status == 200:
            return Accepted()
        if reply.status == 409:
            return StaleFence()
        return OrderFailed(f'the engine answered {reply.status}')

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()
