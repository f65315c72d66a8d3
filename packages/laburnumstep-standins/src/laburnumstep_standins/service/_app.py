"""HTTP interface of the stand-in for a plain service."""

from __future__ import annotations

import json
import typing

import anyio
import attrs
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumstep_standins import faults
from laburnumstep_standins.service import _ledger

if typing.TYPE_CHECKING:
    import collections.abc

    from starlette import types

DEFAULT_READS = frozenset({'balance', 'roster'})
"""Names of operations without an effect."""


class ServiceStandIn:
    """A plain service with idempotent reads, postings and faults.

    Args:
        ledger: Record of effects, shared by the servers of one service;
            None makes a new one.
        reads: Names of the operations without an effect; every other
            operation is a posting.
        crash: Called when the service crashes, for example to exit the
            process. Without it, a crashed service closes every connection
            until `restart`.
    """

    def __init__(
        self,
        ledger: _ledger.Ledger | None = None,
        reads: frozenset[str] = DEFAULT_READS,
        crash: collections.abc.Callable[[], None] | None = None,
    ) -> None:
        self.ledger = ledger or _ledger.Ledger()
        """Record of the effects by key."""
        self.faults = _ledger.ServiceFaults()
        """Active faults."""
        self.crashed = False
        """Whether the service has crashed on a payload."""
        self._reads = reads
        self._crash = crash
        self._arrived = anyio.Event()
        self._released = anyio.Event()
        app = applications.Starlette(
            routes=[
                routing.Route(
                    '/v1/operations/{operation}',
                    self._run_operation,
                    methods=['POST'],
                ),
                routing.Route('/v1/postings/{key}', self._find_posting),
                routing.Route('/effects', self._list_effects),
                routing.Route('/control', self._control, methods=['POST']),
            ]
        )
        self.app: types.ASGIApp = faults.LimitHeader(
            app, lambda: self.faults.request_limit
        )
        """The ASGI application."""

    def set_faults(self, **changes: typing.Any) -> None:
        """Set faults by name; the others stay as they are."""
        self.faults = attrs.evolve(self.faults, **changes)
        if not self.faults.delayed:
            self._released.set()
            self._released = anyio.Event()

    def restart(self) -> None:
        """Serve requests again after a crash."""
        self.crashed = False

    async def wait_for_arrival(self) -> None:
        """Wait until the fault `delayed` stops an operation."""
        await self._arrived.wait()
        self._arrived = anyio.Event()

    async def _run_operation(
        self, request: requests.Request
    ) -> responses.Response:
        payload = json.loads(await request.body() or b'null')
        if self.crashed or self._crash_on_match(payload):
            return faults.CutResponse()
        if self.faults.refuse:
            return responses.JSONResponse({'code': 'not_started'}, 503)
        if self.faults.delayed:
            self._arrived.set()
            await self._released.wait()
        key = request.headers['idempotency-key']
        if request.path_params['operation'] in self._reads:
            result = self.ledger.read(key)
        else:
            result = self.ledger.post(key, payload)
        if self.faults.lost_replies > 0:
            self.faults.lost_replies -= 1
            return faults.CutResponse()
        return responses.JSONResponse(result)

    def _crash_on_match(self, payload: typing.Any) -> bool:
        note = payload.get('note') if isinstance(payload, dict) else None
        if self.faults.crash_on is None or note != self.faults.crash_on:
            return False
        self.crashed = True
        if self._crash is not None:
            self._crash()
        return True

    async def _find_posting(
        self, request: requests.Request
    ) -> responses.Response:
        if self.crashed:
            return faults.CutResponse()
        result = self.ledger.find(request.path_params['key'])
        if result is None or self.faults.hide_postings:
            return responses.JSONResponse({'found': False, 'result': None})
        return responses.JSONResponse({'found': True, 'result': result})

    async def _list_effects(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.JSONResponse(
            {'effects': self.ledger.effects, 'reads': self.ledger.reads}
        )

    async def _control(self, request: requests.Request) -> responses.Response:
        self.set_faults(**json.loads(await request.body()))
        return responses.JSONResponse(attrs.asdict(self.faults))
