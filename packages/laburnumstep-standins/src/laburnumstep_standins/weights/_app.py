"""HTTP front of the weight store's stand-in."""

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


@attrs.define
class WeightFaults:
    """Faults that the control route switches."""

    outage: bool = False
    """Answers every request with 503."""
    refusals: int = 0
    """Fetches to come that are refused with 429 whatever the rate."""


class WeightStandIn:
    """A weight store that allows one fetch in each interval of its rate.

    Args:
        clock: Tells the time of each fetch.
        fetches_per_second: Rate over the whole fleet.
    """

    def __init__(
        self,
        clock: core.Clock,
        fetches_per_second: float = DEFAULT_FETCHES_PER_SECOND,
    ) -> None:
        self._clock = clock
        self._interval = 1.0 / fetches_per_second
        self._next_at = 0.0
        self.faults = WeightFaults()
        """Faults in force."""
        self.fetches: list[tuple[float, str, str, str]] = []
        """Time, model, version and target of each fetch that was allowed."""
        self.excess = 0
        """Fetches that were refused because they came too early."""
        self.app = applications.Starlette(
            routes=[
                routing.Route('/v1/fetches', self._fetch, methods=['POST']),
                routing.Route('/fetches', self._list),
                routing.Route('/control', self._control, methods=['POST']),
            ]
        )
        """The ASGI application."""

    def set_faults(self, **changes: typing.Any) -> None:
        """Switch faults by their name."""
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
        if now < self._next_at:
            self.excess += 1
            return responses.JSONResponse({'retry_at': self._next_at}, 429)
        self._next_at = now + self._interval
        self.fetches.append(
            (now, body['model'], body['version'], body['target'])
        )
        return responses.JSONResponse({})

    async def _list(self, request: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {'fetches': self.fetches, 'excess': self.excess}
        )

    async def _control(self, request: requests.Request) -> responses.Response:
        self.set_faults(**json.loads(await request.body()))
        return responses.JSONResponse(attrs.asdict(self.faults))
