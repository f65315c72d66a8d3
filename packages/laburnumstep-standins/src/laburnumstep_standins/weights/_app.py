"""HTTP interface of the weight store stand-in."""

from __future__ import annotations

import json
import typing

import attrs
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

if typing.TYPE_CHECKING:
    from laburnumstep import core

DEFAULT_FETCHES_PER_SECOND = 1.0
"""Rate of fetches over the whole fleet."""


@attrs.define
class WeightFaults:
    """Faults that `POST /control` sets."""

    outage: bool = False
    """Responds to every request with 503."""
    refusals: int = 0
    """Next fetches that are refused with 429 regardless of the rate."""


class WeightStandIn:
    """A weight store with a rate limit and faults.

    Successive fetches must be apart by the inverse of the rate.

    Args:
        clock: Time source of the fetches.
        fetches_per_second: Rate of fetches over the whole fleet.
    """

    def __init__(
        self,
        clock: core.Clock,
        fetches_per_second: float = DEFAULT_FETCHES_PER_SECOND,
    ) -> None:
        self._clock = clock
        self._interval = 1.0 / fetches_per_second
        self._next_allowed_at = 0.0
        self.faults = WeightFaults()
        """Active faults."""
        self.fetches: list[tuple[float, str, str, str]] = []
        """Time, model, version and target of each allowed fetch."""
        self.excess = 0
        """Number of fetches that were refused for exceeding the rate."""
        self.app = applications.Starlette(
            routes=[
                routing.Route('/v1/fetches', self._fetch, methods=['POST']),
                routing.Route('/fetches', self._list_fetches),
                routing.Route('/control', self._control, methods=['POST']),
            ]
        )
        """The ASGI application."""

    def set_faults(self, **changes: typing.Any) -> None:
        """Set faults by name; the others stay as they are."""
        self.faults = attrs.evolve(self.faults, **changes)

    async def _fetch(self, request: requests.Request) -> responses.Response:
        body = json.loads(await request.body())
        now = self._clock.now()
        if self.faults.outage:
            return responses.JSONResponse({'code': 'outage'}, 503)
        if self.faults.refusals > 0:
            self.faults.refusals -= 1
            retry_at = now + self._interval
            return responses.JSONResponse({'retry_at': retry_at}, 429)
        if now < self._next_allowed_at:
            self.excess += 1
            return responses.JSONResponse(
                {'retry_at': self._next_allowed_at}, 429
            )
        self._next_allowed_at = now + self._interval
        self.fetches.append(
            (now, body['model'], body['version'], body['target'])
        )
        return responses.JSONResponse({})

    async def _list_fetches(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.JSONResponse(
            {'fetches': self.fetches, 'excess': self.excess}
        )

    async def _control(self, request: requests.Request) -> responses.Response:
        self.set_faults(**json.loads(await request.body()))
        return responses.JSONResponse(attrs.asdict(self.faults))
