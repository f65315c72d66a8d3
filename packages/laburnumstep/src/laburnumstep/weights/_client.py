"""Client of the weight store."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import transport


@attrs.frozen
class Fetched:
    """The store has accepted the transfer of the weights to the target."""


@attrs.frozen
class TooManyFetches:
    """The store refused the fetch because its rate limit was exceeded."""

    retry_at: float | None
    """Earliest time for a retry, in epoch seconds, or None if unknown."""


@attrs.frozen
class StoreUnavailable:
    """The store did not answer."""

    reason: str
    """Description of the failure."""


FetchResult = Fetched | TooManyFetches | StoreUnavailable


class WeightClient:
    """Requests transfers of weights from the store to targets.

    Args:
        address: IP address and port of the store.
    """

    def __init__(self, address: str) -> None:
        self._http = transport.JsonClient(address)

    async def fetch(
        self, model: str, version: str, target: str, deadline: float
    ) -> FetchResult:
        """Request the transfer of a model's weights to a target.

        Args:
            model: Name of the model.
            version: Version of the model.
            target: Name of the engine that loads the model.
            deadline: When to give up, in epoch seconds.
        """
        body = {'model': model, 'version': version, 'target': target}
        try:
            reply = await self._http.request(
                'POST', '/v1/fetches', deadline, body
            )
        except (transport.ConnectFailed, transport.ExchangeFailed) as error:
            return StoreUnavailable(str(error))
        if reply.status == 200:
            return Fetched()
        if reply.status == 429:
            return TooManyFetches(_decode_retry_time(reply.body))
        return StoreUnavailable(f'the store answered {reply.status}')

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()


def _decode_retry_time(body: typing.Any) -> float | None:
    value = body.get('retry_at') if isinstance(body, dict) else None
    return float(value) if isinstance(value, (int, float)) else None
