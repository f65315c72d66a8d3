"""Fetches of weights within the rate limit of the store."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep.weights import _client

if typing.TYPE_CHECKING:
    import collections.abc

    from laburnumstep.weights import _permits

_LOGGER = core.get_logger('weights')
_RETRY_DELAY_SECONDS = 5.0
"""Delay after the store or the log failed, in seconds."""
_FETCH_TIMEOUT_SECONDS = 10.0
"""Longest time for one request to the store, in seconds."""


class WeightFetcher:
    """Fetches weights, reserving a permit for each request to the store.

    Args:
        client: Client of the store.
        permits: Source of permits.
        clock: Clock for permits and retries.
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
        """Request weights until the store accepts their transfer.

        Args:
            model: Name of the model.
            version: Version of the model.
            target: Name of the engine that loads the model.
            is_wanted: Returns whether the weights are still needed. Called
                before each attempt, so that a cancelled fetch uses no more
                permits.

        Returns:
            Whether the store accepted the transfer.
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
        """Return the time of the next attempt, or None on success."""
        retry_at = self._clock.now() + _RETRY_DELAY_SECONDS
        try:
            permit = await self._permits.reserve()
        except core.CodedError as error:
            _LOGGER.warning('cannot reserve a fetch permit: %s', error.message)
            return retry_at
        if permit is None:
            return retry_at
        await self._clock.sleep_until(permit.earliest)
        now = self._clock.now()
        if now > permit.latest:
            # The VM was paused or the log was slow. Another VM may already
            # use the permit that follows this one.
            return now
        result = await self._client.fetch(
            model, version, target, now + _FETCH_TIMEOUT_SECONDS
        )
        match result:
            case _client.Fetched():
                return None
            case _client.TooManyFetches():
                _LOGGER.warning(
                    'rate limit of the store exceeded by a fetch of %s', model
                )
                return max(result.retry_at or 0.0, now + _RETRY_DELAY_SECONDS)
            case _client.StoreUnavailable():
                _LOGGER.warning('cannot fetch %s: %s', model, result.reason)
                return now + _RETRY_DELAY_SECONDS
            case _:
                typing.assert_never(result)
