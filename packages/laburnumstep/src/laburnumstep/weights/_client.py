"""Client of the weight store."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import transport


@attrs.frozen
class Fetched:
    """The store hands the weights to the target."""


@attrs.frozen
class TooManyFetches:
    """The store refused the fetch because of its rate."""

    retry_at: float | None
    """Earliest time for another fetch, in epoch seconds, if known."""


@attrs.frozen
class StoreUnavailable:
    """The store did not answer."""

    reason: str
    """What happened."""


FetchResult = Fetched | TooManyFetches | StoreUnavailable


class WeightClient:
    """Asks the weight store to hand weights to a target.

    Args:
        address: IP number and port of the store.
    """

    def __init__(self, address: str) -> None:
        self._http = transport.JsonClient(address)

    async def fetch(
        self, model: str, version: str, target: str, deadline: float
    ) -> FetchResult:
        """Ask for the weights of a model.

        Args:
            model: Name of the model.
            version: Its version.
            target: Engine that loads it.
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
            return TooManyFetches(_read_time(reply.body))
        return StoreUnavailable(f'the store answered {reply.status}')

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()


def _read_time(body: typing.Any) -> float | None:
    value = body.get('retry_at') if isinstance(body, dict) else None
    return float(value) if isinstance(value, (int, float)) else None
