"""HTTP interface of the log stand-in."""

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
from laburnumstep_standins.log import _streams

if typing.TYPE_CHECKING:
    from laburnumstep import core

DEFAULT_APPENDS_PER_SECOND = 300.0
"""Append rate over all streams, in appends a second."""
DEFAULT_RETENTION_SECONDS = 3600.0
"""Retention time of records, in seconds."""
_MAX_WAIT_SECONDS = 30.0


class LogStandIn:
    """An append-only log with a rate limit, retention and faults.

    Args:
        clock: Time source of append times, rate and retention.
        appends_per_second: Append rate over all streams.
        retention_seconds: Retention time of records, in seconds.
    """

    def __init__(
        self,
        clock: core.Clock,
        appends_per_second: float = DEFAULT_APPENDS_PER_SECOND,
        retention_seconds: float = DEFAULT_RETENTION_SECONDS,
    ) -> None:
        self._clock = clock
        self._retention_seconds = retention_seconds
        self._rate_limiter = _streams.AppendRateLimiter(appends_per_second)
        self._streams: dict[str, _streams.Stream] = {}
        self._frozen_ends: dict[str, int] = {}
        self._epoch = 1
        self._restored_at = 0.0
        self.faults = _streams.LogFaults()
        """Active faults."""
        self.app = applications.Starlette(
            routes=[
                routing.Route(
                    '/v1/streams/{stream}/records',
                    self._append,
                    methods=['POST'],
                ),
                routing.Route(
                    '/v1/streams/{stream}/records',
                    self._read,
                    methods=['GET'],
                ),
                routing.Route('/control', self._control, methods=['POST']),
            ]
        )
        """The ASGI application."""

    def get_stream(self, name: str) -> _streams.Stream:
        """Return a stream; its first use creates it."""
        if name not in self._streams:
            self._streams[name] = _streams.Stream(
                self._clock, self._retention_seconds
            )
        return self._streams[name]

    def set_faults(self, **changes: typing.Any) -> None:
        """Set faults by name; the others stay as they are."""
        self.faults = attrs.evolve(self.faults, **changes)
        self._frozen_ends = {
            name: stream.end for name, stream in self._streams.items()
        }

    def restore(self, ends: dict[str, int]) -> None:
        """Come back from an older copy.

        Args:
            ends: Offset at which each stream ends in the copy.
        """
        self._epoch += 1
        self._restored_at = self._clock.now()
        for name, end in ends.items():
            self.get_stream(name).truncate(end)

    async def _append(self, request: requests.Request) -> responses.Response:
        if self.faults.outage:
            return responses.JSONResponse({'code': 'outage'}, 503)
        records = json.loads(await request.body())['records']
        try:
            self._rate_limiter.consume(self._clock.now())
        except _streams.RateExceeded as error:
            wait = str(error.retry_at - self._clock.now())
            return responses.JSONResponse(
                {'code': 'rate'}, 429, {'Retry-After': wait}
            )
        stream = self.get_stream(request.path_params['stream'])
        first = stream.append(records)
        if self.faults.lost_replies > 0:
            self.faults.lost_replies -= 1
            return faults.CutResponse()
        return responses.JSONResponse({'first_offset': first})

    async def _read(self, request: requests.Request) -> responses.Response:
        if self.faults.outage:
            return responses.JSONResponse({'code': 'outage'}, 503)
        if self.faults.stalled_reads > 0:
            self.faults.stalled_reads -= 1
            await anyio.sleep_forever()
        name = request.path_params['stream']
        stream = self.get_stream(name)
        start = int(request.query_params.get('from', '0'))
        limit = int(request.query_params.get('limit', '1000'))
        wait = float(request.query_params.get('wait', '0'))
        end = stream.end
        if self.faults.hold_reads:
            end = self._frozen_ends.get(name, 0)
        elif wait > 0:
            await stream.wait_beyond(start, min(wait, _MAX_WAIT_SECONDS))
            end = stream.end
        if self.faults.outage:
            return responses.JSONResponse({'code': 'outage'}, 503)
        records = [r for r in stream.read(start, limit) if r.offset < end]
        next_offset = (
            records[-1].offset + 1 if records else max(start, stream.first)
        )
        return responses.JSONResponse(
            {
                'records': [attrs.asdict(record) for record in records],
                'next': next_offset,
                'first': stream.first,
                'end': end,
                'epoch': self._epoch,
                'restored_at': self._restored_at,
            }
        )

    # The body has faults by name and, in `truncate` and `restore`, new ends by
    # stream; `restore` also begins a new epoch.
    async def _control(self, request: requests.Request) -> responses.Response:
        changes = json.loads(await request.body())
        for name, end in changes.pop('truncate', {}).items():
            self.get_stream(name).truncate(end)
        restored = changes.pop('restore', None)
        if restored is not None:
            self.restore(restored)
        self.set_faults(**changes)
        return responses.JSONResponse(attrs.asdict(self.faults))
