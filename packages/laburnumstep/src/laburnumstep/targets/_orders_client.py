"""Client for orders to one engine."""

from __future__ import annotations

import attrs

from laburnumstep.targets import _bounds
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
    """The engine accepted the order; its load report shows the result."""


@attrs.frozen
class StaleFence:
    """The engine refused the order: it has seen a newer fencing token."""


@attrs.frozen
class OrderFailed:
    """The engine did not accept the order, or its reply was lost."""

    reason: str
    """Description of the failure."""


OrderAnswer = Accepted | StaleFence | OrderFailed


class OrderClient:
    """Sends orders to one engine.

    Args:
        address: IP number and port of the engine.
    """

    def __init__(self, address: str) -> None:
        self._http = transport.JsonClient(
            address, max_bytes=_bounds.MAX_ANSWER_BYTES
        )

    async def send(
        self, order: Order, fence: int, deadline: float
    ) -> OrderAnswer:
        """Send one order.

        Args:
            order: The order.
            fence: Fencing token of the lease under which it is sent.
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
