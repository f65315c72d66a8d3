"""ASGI application that serves callers' requests on the platform."""

from __future__ import annotations

import random
import typing

import anyio

from laburnumstep import callers
from laburnumstep import core
from laburnumstep.platform import _directory
from laburnumstep.platform import _headers
from laburnumstep.platform import _responses
from laburnumstep.platform import _watchers
from laburnumstep import targets
from laburnumstep.targets import places
from laburnumstep.targets import relay

if typing.TYPE_CHECKING:
    from starlette import types

    from laburnumstep.platform import _configuration

DEFAULT_DEADLINE_SECONDS = 30.0
"""Deadline of a request without a valid deadline header, in seconds."""
MIN_RETRY_AFTER_SECONDS = 0.05
"""Lower bound of the `Retry-After` header, in seconds."""
_TOKEN_SCHEME = b'token '
_MAX_PART_DIGITS = 8

_LOGGER = core.get_logger('front')


class _CallerDisconnected(Exception):
    """The caller disconnected before its request was complete."""


class _BodyTooLarge(Exception):
    """The request body exceeds the limit of the configuration."""


class FrontEnd:
    """Decodes callers' requests and relays them to targets.

    Args:
        active_routes: The routes in force.
        calls: Relays requests that have a single answer.
        streams: Relays requests that are answered by a stream.
        gate: Counts requests in progress.
        clock: Source of the current time.
        metrics: Receives the outcome and duration of each request.
    """

    def __init__(
        self,
        active_routes: callers.ActiveRoutes,
        calls: relay.CallRelay,
        streams: relay.StreamRelay,
        gate: callers.RequestGate,
        clock: core.Clock,
        metrics: core.Metrics,
    ) -> None:
        self._active_routes = active_routes
        self._calls = calls
        self._streams = streams
        self._gate = gate
        self._clock = clock
        self._metrics = metrics
        self._services: _configuration.Services = {}
        self._rng = random.Random()
        self._stop_at: float | None = None

    @property
    def leaving(self) -> bool:
        """Whether the VM stops and closes callers' connections."""
        return self._stop_at is not None

    def leave(self, stop_at: float) -> None:
        """Refuse streams, and calls that may not end before the VM does.

        Args:
            stop_at: When the VM stops, in epoch seconds.
        """
        self._stop_at = stop_at

    def apply_services(self, services: _configuration.Services) -> None:
        """Replace the services by those of a new configuration."""
        self._services = services

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serve one request, as an ASGI application."""
        sink = _responses.ResponseSink(send, lambda: self.leaving)
        arrived_at = self._clock.now()
        try:
            with self._gate.enter():
                request = await self._decode_request(
                    scope, receive, arrived_at
                )
                await self._serve(request, sink, receive)
        except core.CodedError as error:
            await self._handle_error(scope, sink, error)
        except _BodyTooLarge:
            _LOGGER.info(
                'refused request=%s path=%s code=body_too_large',
                _decode_request_id(scope['headers']) or '-',
                scope['path'],
            )
            await sink.refuse(413, 'body_too_large', None)
        except _CallerDisconnected:
            _LOGGER.info(
                'caller disconnected; request=%s path=%s',
                _decode_request_id(scope['headers']) or '-',
                scope['path'],
            )

    async def _decode_request(
        self, scope: types.Scope, receive: types.Receive, arrived_at: float
    ) -> relay.RelayRequest:
        """Read and decode a request and find its route.

        Raises:
            CodedError: No configuration is in force, no route matches, the
                API key is invalid, or the VM is stopping and the request
                is for a stream.
            _BodyTooLarge: The body exceeds the limit.
            _CallerDisconnected: The body is incomplete.
        """
        headers: _headers.Headers = list(scope['headers'])
        path = scope['raw_path']
        route, holder = self._active_routes.match(
            _decode_host(headers),
            path.decode('latin-1'),
            _decode_api_key(headers),
        )
        wait_seconds = min(
            _decode_wait_seconds(headers), route.timeout_seconds
        )
        self._check_end(route, arrived_at + wait_seconds)
        table = self._active_routes.table
        limit = table.max_body_bytes if table is not None else 0
        body = await _read_body(receive, limit)
        query = scope['query_string']
        priority = route.priority
        if holder is not None and holder.priority is not None:
            priority = holder.priority
        service = route.choose_service(self._rng)
        return relay.RelayRequest(
            key=_decode_request_id(headers),
            workspace=holder.workspace if holder is not None else '',
            route=route,
            service=service,
            method=scope['method'].encode(),
            target=path + (b'?' + query if query else b''),
            headers=_headers.drop_vm_headers(headers),
            body=body,
            priority=priority,
            arrived_at=arrived_at,
            deadline=arrived_at + wait_seconds,
            prompt=self._decode_prompt(service, headers),
            position=_headers.find(headers, _headers.LAST_EVENT) or None,
            regions=_choose_regions(route, holder),
        )

    def _check_end(self, route: core.Route, deadline: float) -> None:
        """Check that a request ends before the VM does.

        Args:
            route: Route of the request.
            deadline: When the request ends at the latest, in epoch seconds.

        Raises:
            CodedError: The VM is stopping, and the request is for a stream
                or may not end in time.
        """
        if self._stop_at is None:
            return
        is_stream = isinstance(route.kind, core.StreamKind)
        if is_stream or deadline > self._stop_at:
            raise core.CodedError(
                core.ErrorCode.VM_STOPPING,
                'the VM may stop before the request ends',
                resend=True,
                resend_at=self._clock.now(),
            )

    def _decode_prompt(
        self, service: str, headers: _headers.Headers
    ) -> relay.PromptShape | None:
        if self._services.get(service) is None:
            return None
        model = _headers.find(headers, _headers.MODEL).decode('latin-1')
        tokens = _headers.find(headers, _headers.TOKENS).split(b',')
        prefixes = _headers.find(headers, _headers.PREFIXES).decode('latin-1')
        try:
            prompt_tokens, max_tokens = (int(item) for item in tokens)
        except ValueError:
            prompt_tokens, max_tokens = 0, 0
        return relay.PromptShape(
            _directory.make_pool_name(service, model),
            prompt_tokens,
            max_tokens,
            [item.partition(':')[0] for item in prefixes.split(',') if item],
            _decode_length_hint(headers),
            decode_parts(prefixes),
        )

    async def _serve(
        self,
        request: relay.RelayRequest,
        sink: _responses.ResponseSink,
        receive: types.Receive,
    ) -> None:
        """Relay a request until it ends or its caller disconnects.

        Raises:
            CodedError: The relay failed while the caller was connected.
        """
        error: core.CodedError | None = None
        outcome = 'gone'
        watcher = _watchers.DisconnectWatcher()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run, receive, tasks.cancel_scope)
            stop = _watchers.StopWatcher(sink)
            tasks.start_soon(stop.run, self._gate, tasks.cancel_scope)
            try:
                await self._relay(request, sink)
                # Set before the watcher is cancelled: the server reports the
                # end of an answer as a disconnect as well.
                outcome = 'answered'
            except core.CodedError as raised:
                error = raised
                outcome = error.code.value
            tasks.cancel_scope.cancel()
        if stop.error is not None and not sink.begun:
            error = stop.error
            outcome = error.code.value
        duration_seconds = self._clock.now() - request.arrived_at
        self._record_end(request, outcome, duration_seconds)
        _LOGGER.info(
            'ended request=%s route=%s workspace=%s priority=%d prompt=%s'
            ' outcome=%s took_ms=%d',
            request.key,
            request.route.name,
            request.workspace or '-',
            request.priority,
            request.prompt or '-',
            outcome,
            duration_seconds * 1000,
        )
        if error is not None and not watcher.disconnected:
            raise error

    def _record_end(
        self, request: relay.RelayRequest, outcome: str, seconds: float
    ) -> None:
        match request.route.kind:
            case core.CallKind():
                kind = 'calls'
            case core.StreamKind():
                kind = 'streams'
            case _:
                typing.assert_never(request.route.kind)
        self._metrics.count(f'callers.{kind}.{outcome}')
        self._metrics.record_time(f'callers.{kind}', seconds)

    async def _relay(
        self, request: relay.RelayRequest, sink: _responses.ResponseSink
    ) -> None:
        match request.route.kind:
            case core.CallKind():
                await self._calls.run(request, sink)
            case core.StreamKind():
                await self._streams.run(request, sink)
            case _:
                typing.assert_never(request.route.kind)

    async def _handle_error(
        self,
        scope: types.Scope,
        sink: _responses.ResponseSink,
        error: core.CodedError,
    ) -> None:
        self._metrics.count(f'callers.refused.{error.code.value}')
        _LOGGER.info(
            'refused request=%s path=%s code=%s outcome=%s reason="%s"',
            _decode_request_id(scope['headers']) or '-',
            scope['path'],
            error.code.value,
            error.outcome.value,
            error.message,
        )
        if sink.begun:
            # Returning without the last chunk makes the server close the
            # connection, so the caller sees that the answer is incomplete.
            return
        retry_after = None
        status = _choose_status(error)
        if status == 503 and error.resend:
            resend_at = error.resend_at or self._clock.now()
            retry_after = max(
                MIN_RETRY_AFTER_SECONDS, resend_at - self._clock.now()
            )
        await sink.refuse(status, error.code.value, retry_after)


def _choose_status(error: core.CodedError) -> int:
    match error.code:
        case core.ErrorCode.BAD_REQUEST:
            return 400
        case core.ErrorCode.UNAUTHORIZED:
            return 401
        case core.ErrorCode.UNKNOWN_ROUTE:
            return 404
        case _ if error.outcome is core.Outcome.NOT_RUN:
            return 503
        case core.ErrorCode.DEADLINE_EXCEEDED:
            return 504
        case _:
            return 502


def _choose_regions(
    route: core.Route, holder: core.KeyHolder | None
) -> core.Regions:
    """Return the regions that both the route and the workspace allow."""
    if holder is None:
        return route.regions
    return places.intersect(route.regions, holder.regions)


def _decode_request_id(headers: _headers.Headers) -> str:
    return _headers.find(headers, _headers.REQUEST_ID).decode('latin-1')


def _decode_host(headers: _headers.Headers) -> str:
    host = _headers.find(headers, b'host').decode('latin-1').lower()
    return host.partition(':')[0]


def _decode_api_key(headers: _headers.Headers) -> str | None:
    value = _headers.find(headers, _headers.AUTHORIZATION)
    if not value.lower().startswith(_TOKEN_SCHEME):
        return None
    return value[len(_TOKEN_SCHEME) :].strip().decode('latin-1')


def _decode_wait_seconds(headers: _headers.Headers) -> float:
    value = _headers.find(headers, _headers.DEADLINE)
    try:
        return max(0.0, float(value) / 1000)
    except ValueError:
        return DEFAULT_DEADLINE_SECONDS


def decode_parts(prefixes: str) -> tuple[targets.PromptPart, ...]:
    """Return the parts of a prompt up to the first one without a length."""
    parts = []
    for item in prefixes.split(','):
        identifier, _, tokens = item.strip().rpartition(':')
        # The length is bounded before it is converted: a number of many
        # digits takes long or fails.
        if not identifier or not tokens.isascii() or not tokens.isdigit():
            break
        if len(tokens) > _MAX_PART_DIGITS:
            break
        parts.append((identifier, int(tokens)))
    return targets.digest_parts(parts)


def _decode_length_hint(headers: _headers.Headers) -> float | None:
    try:
        hint = float(_headers.find(headers, _headers.LENGTH_HINT))
    except ValueError:
        return None
    return hint if hint > 0 else None


async def _read_body(receive: types.Receive, limit: int) -> bytes:
    body = bytearray()
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise _CallerDisconnected
        body += message.get('body', b'')
        if len(body) > limit:
            raise _BodyTooLarge
        if not message.get('more_body', False):
            return bytes(body)
