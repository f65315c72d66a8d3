"""A VM list that lags behind what it is told."""

from __future__ import annotations

import collections
import json
import typing

import attrs
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumstep_standins import faults

if typing.TYPE_CHECKING:
    from laburnumstep import core

_KEEP_SECONDS = 3600.0
"""How long earlier states are kept for a later lag, in seconds."""


@attrs.define
class VMListFaults:
    """Faults that the control route switches."""

    lag_seconds: float = 0.0
    """Age of the state that is shown, in seconds."""
    outage: bool = False
    """Answers every request with 503."""
    lost_replies: int = 0
    """Requests to come whose connection is cut in place of a reply."""
    garbage: bool = False
    """Answers with an object that is no list."""


class VMListStandIn:
    """The platform's VM list.

    `POST /control` takes the faults by name, and `vms` to replace the
    whole list.

    Args:
        clock: Gives each state its time.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._vms: dict[str, dict[str, str]] = {}
        self._history: collections.deque[
            tuple[float, list[dict[str, str]]]
        ] = collections.deque([(clock.now(), [])])
        self.faults = VMListFaults()
        """Faults in force."""
        self.app = applications.Starlette(
            routes=[
                routing.Route('/v1/vms', self._read, methods=['GET']),
                routing.Route('/control', self._control, methods=['POST']),
            ]
        )
        """The ASGI application."""

    def set_vm(
        self,
        name: str,
        kind: str,
        address: str,
        data_centre: str,
        state: str = 'live',
    ) -> None:
        """List a VM or change its state."""
        self._vms[name] = {
            'name': name,
            'kind': kind,
            'address': address,
            'data_centre': data_centre,
            'state': state,
        }
        self._record()

    def remove_vm(self, name: str) -> None:
        """Take a VM off the list."""
        self._vms.pop(name, None)
        self._record()

    def replace(self, vms: list[dict[str, str]]) -> None:
        """Replace the whole list."""
        self._vms = {vm['name']: dict(vm) for vm in vms}
        self._record()

    def set_faults(self, **changes: typing.Any) -> None:
        """Switch faults by their name."""
        self.faults = attrs.evolve(self.faults, **changes)

    def _record(self) -> None:
        now = self._clock.now()
        self._history.append((now, [dict(vm) for vm in self._vms.values()]))
        while self._history[1][0] < now - _KEEP_SECONDS:
            self._history.popleft()

    async def _read(self, request: requests.Request) -> responses.Response:
        if self.faults.outage:
            return responses.JSONResponse({'code': 'outage'}, 503)
        if self.faults.garbage:
            return responses.JSONResponse({'vms': 7})
        if self.faults.lost_replies > 0:
            self.faults.lost_replies -= 1
            return faults.CutResponse()
        as_of = self._clock.now() - self.faults.lag_seconds
        shown = self._history[0][1]
        for recorded_at, vms in self._history:
            if recorded_at <= as_of:
                shown = vms
        return responses.JSONResponse({'as_of': as_of, 'vms': shown})

    async def _control(self, request: requests.Request) -> responses.Response:
        changes = json.loads(await request.body())
        if 'vms' in changes:
            self.replace(changes.pop('vms'))
        self.set_faults(**changes)
        return responses.JSONResponse(attrs.asdict(self.faults))
