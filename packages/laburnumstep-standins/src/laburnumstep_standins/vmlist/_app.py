"""Stand-in for the VM list, with lag and faults."""

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

_HISTORY_SECONDS = 3600.0
"""Retention of earlier states, and so the longest lag, in seconds."""


@attrs.define
class VMListFaults:
    """Faults that `POST /control` sets."""

    lag_seconds: float = 0.0
    """Age of the state in responses, in seconds."""
    outage: bool = False
    """Responds to every request with 503."""
    lost_replies: int = 0
    """Next requests whose connection is closed without a response."""
    garbage: bool = False
    """Responds with a number in place of the list."""


class VMListStandIn:
    """The platform's VM list.

    The body of `POST /control` has faults by name and, in `vms`, a new list
    that replaces the current one.

    Args:
        clock: Time source of the states.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._vms: dict[str, dict[str, str]] = {}
        self._history: collections.deque[
            tuple[float, list[dict[str, str]]]
        ] = collections.deque([(clock.now(), [])])
        self.faults = VMListFaults()
        """Active faults."""
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
        """Add a VM or replace its entry.

        Args:
            name: Name of the VM.
            kind: Kind of the VM.
            address: IP address and port.
            data_centre: Data centre of the VM.
            state: State of the VM.
        """
        self._vms[name] = {
            'name': name,
            'kind': kind,
            'address': address,
            'data_centre': data_centre,
            'state': state,
        }
        self._record()

    def remove_vm(self, name: str) -> None:
        """Remove a VM from the list."""
        self._vms.pop(name, None)
        self._record()

    def replace(self, vms: list[dict[str, str]]) -> None:
        """Replace the whole list."""
        self._vms = {vm['name']: dict(vm) for vm in vms}
        self._record()

    def set_faults(self, **changes: typing.Any) -> None:
        """Set faults by name; the others stay as they are."""
        self.faults = attrs.evolve(self.faults, **changes)

    def _record(self) -> None:
        now = self._clock.now()
        self._history.append((now, [dict(vm) for vm in self._vms.values()]))
        while self._history[1][0] < now - _HISTORY_SECONDS:
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
