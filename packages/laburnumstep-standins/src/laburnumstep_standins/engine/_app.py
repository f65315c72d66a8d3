"""HTTP interface of the engine stand-in."""

from __future__ import annotations

import json
import typing

import attrs
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumstep_standins.engine import _config
from laburnumstep_standins.engine import _engine
from laburnumstep_standins.engine import _stream
from laburnumstep_standins import faults

if typing.TYPE_CHECKING:
    from starlette import types

    from laburnumstep import core

_Response = typing.Union[responses.Response, _stream.GenerationStream]
_RouteHandler = typing.Callable[
    [requests.Request], typing.Coroutine[typing.Any, typing.Any, _Response]
]


class EngineStandIn:
    """A model engine with continuous batching and limited memory.

    Args:
        clock: Time source of the decode steps.
        config: Properties of the engine; None for the defaults.
        exit_process: Called when the engine crashes, to exit the process.
            By default, a crashed engine closes all connections, also new
            ones.
    """

    def __init__(
        self,
        clock: core.Clock,
        config: _config.EngineConfig | None = None,
        exit_process: typing.Callable[[], None] | None = None,
    ) -> None:
        self._clock = clock
        self._engine = _engine.Engine(
            clock,
            config or _config.EngineConfig(),
            exit_process or (lambda: None),
        )
        app = applications.Starlette(
            routes=[
                self._route('POST', '/v1/generations', self._start),
                self._route(
                    'GET', '/v1/generations/{name}/events', self._resume
                ),
                self._route('DELETE', '/v1/generations/{name}', self._cancel),
                self._route('GET', '/v1/load', self._report_load),
                self._route(
                    'GET', '/v1/cache/events', self._read_cache_events
                ),
                self._route('POST', '/v1/orders', self._apply_order),
                self._route('GET', '/starts', self._list_starts),
                self._route('POST', '/control', self._control),
            ]
        )
        self.app: types.ASGIApp = faults.LimitHeader(
            app, lambda: self._engine.faults.request_limit
        )
        """The ASGI application."""

    @property
    def crashed(self) -> bool:
        """Whether the engine has crashed."""
        return self._engine.crashed

    @property
    def started(self) -> int:
        """Number of generations accepted since the engine started."""
        return len(self._engine.starts)

    @property
    def faults(self) -> _config.EngineFaults:
        """Active faults."""
        return self._engine.faults

    def set_faults(self, **changes: typing.Any) -> None:
        """Set faults by name; the others stay as they are."""
        self._engine.set_faults(changes)

    def _route(
        self, method: str, path: str, handler: _RouteHandler
    ) -> routing.Route:
        async def handle(request: requests.Request) -> _Response:
            answer = await handler(request)
            if self._engine.crashed:
                return faults.CutResponse()
            return answer

        return routing.Route(path, handle, methods=[method])

    async def _start(self, request: requests.Request) -> _Response:
        body = json.loads(await request.body())
        try:
            generation = self._engine.start(
                body['generation'],
                body['prompt'],
                body['max_tokens'],
                body['priority'],
            )
        except _engine.EngineFull:
            return responses.JSONResponse({'code': 'not_started'}, 503)
        return _stream.GenerationStream(
            self._clock, self._engine, generation, 0
        )

    async def _resume(self, request: requests.Request) -> _Response:
        generation = self._engine.find(request.path_params['name'])
        if generation is None:
            return responses.JSONResponse({'code': 'unknown'}, 404)
        position = int(request.query_params.get('from', '0'))
        return _stream.GenerationStream(
            self._clock, self._engine, generation, position
        )

    async def _cancel(self, request: requests.Request) -> _Response:
        generation = self._engine.find(request.path_params['name'])
        if generation is None:
            return responses.JSONResponse({'code': 'unknown'}, 404)
        unless = request.query_params.get('unless')
        if unless != 'read' or not generation.readers:
            self._engine.cancel(generation)
        return responses.JSONResponse({})

    async def _report_load(self, request: requests.Request) -> _Response:
        return responses.JSONResponse(attrs.asdict(self._engine.report_load()))

    async def _read_cache_events(self, request: requests.Request) -> _Response:
        start = int(request.query_params.get('from', '0'))
        events = self._engine.read_cache_events(start)
        following = events[-1].seq + 1 if events else start
        return responses.JSONResponse(
            {
                'events': [
                    {'seq': e.seq, 'kind': e.kind, 'prefix': e.prefix}
                    for e in events
                ],
                'next': following,
            }
        )

    async def _apply_order(self, request: requests.Request) -> _Response:
        order = _engine.Order(**json.loads(await request.body()))
        try:
            self._engine.apply_order(order)
        except _engine.StaleFence:
            return responses.JSONResponse({'code': 'stale_fence'}, 409)
        return responses.JSONResponse({})

    async def _list_starts(self, request: requests.Request) -> _Response:
        # Not part of the protocol of engines. Tests and the load tool
        # compare the list with the responses to callers.
        return responses.JSONResponse(
            [attrs.asdict(start) for start in self._engine.starts]
        )

    async def _control(self, request: requests.Request) -> _Response:
        self._engine.set_faults(json.loads(await request.body()))
        return responses.JSONResponse(attrs.asdict(self._engine.faults))
