"""Fetches weights within the fleet's share of the store's rate."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep.weights import _client

if typing.TYPE_CHECKING:
    import collections.abc

    from laburnumstep.weights import _permits

_LOGGER = core.get_logger('weights')
_RETRY_SECONDS = 5.0
"""Pause after the store or the log failed, in seconds."""
_FETCH_SECONDS = 10.0
"""Longest time for the store to answer, in seconds."""


class WeightFetcher:
    """Asks the store for weights, each time with a permit.

    Args:
        client: The store.
        permits: The fleet's sequence of fetches.
        clock: Compared with permits and retry times.
    """

    def __init__(
        self,
        client: _client.WeightClient,
        permits: _permits.FetchPermits,
        clock: core.Clock,
    ) -> None:
        self._client = client
        self._permits = permits
        self._clock = clock

    async def fetch(
        self,
        model: str,
        version: str,
        target: str,
        is_wanted: collections.abc.Callable[[], bool],
    ) -> bool:
        """Wait until the store hands the weights of a model to a target.

        Args:
            model: Name of the model.
            version: Its version.
            target: Engine that loads it.
            is_wanted: Asked before each try, so that a fetch that waits
                takes no permits when its order is no longer to be given.

        Returns:
            Whether the weights are handed over.
        """
        while is_wanted():
            retry_at = await self._try_fetch(model, version, target)
            if retry_at is None:
                return True
            await self._clock.sleep_until(retry_at)
        return False

    async def _try_fetch(
        self, model: str, version: str, target: str
    ) -> float | None:
        """Return when to try again, None when the weights are handed over."""
        later = self._clock.now() + _RETRY_SECONDS
        try:
            permit = await self._permits.reserve()
        except core.CodedError as error:
            _LOGGER.warning('no permit for a fetch: %s', error.message)
            return later
        if permit is None:
            return later
        await self._clock.sleep_until(permit.earliest)
        now = self._clock.now()
        if now > permit.latest:
            # The VM was paused or the log was slow; the next permit of the
            # sequence may be in use already.
            return now
        result = await self._client.fetch(
            model, version, target, now + _FETCH_SECONDS
        )
        match result:
            case _client.Fetched():
                return None
            case _client.TooManyFetches():
                _LOGGER.warning('the store refused a fetch of %s', model)
                return max(result.retry_at or 0.0, now + _RETRY_SECONDS)
            case _client.StoreUnavailable():
                _LOGGER.warning('no fetch of %s: %s', model, result.reason)
                return now + _RETRY_SECONDS
            case _:
                typing.assert_never(result)
