"""Callers' requests on the platform, as an ASGI application."""

from __future__ import annotations

import json
import random
import typing

import anyio

from laburnumstep import callers
from laburnumstep import core
from laburnumstep.platform import _directory
from laburnumstep.platform import _headers
from laburnumstep.targets import relay
from laburnumstep import transport

if typing.TYPE_CHECKING:
    from starlette import types

    from laburnumstep.platform import _configuration

DEFAULT_DEADLINE_SECONDS = 30.0
"""Time for an answer where the caller names none, in seconds."""
MIN_RETRY_AFTER_SECONDS = 0.05
"""Shortest time after which a caller is told to come back."""
_CLOSE = (b'connection', b'close')
_SCHEME = b'token '

_LOGGER = core.get_logger('front')


class _CallerGone(Exception):
    """The caller closed its connection."""


class _BodyTooLarge(Exception):
    """The body is larger than the configuration allows."""


class Front:
    """Serves callers.

    Args:
        book: The routes in force.
        calls: Relays requests with one answer.
        streams: Relays streams.
        gate: Counts requests in progress.
        clock: Compared with callers' deadlines.
        metrics: Receives the ends of requests.
    """

    def __init__(
        self,
        book: callers.RouteBook,
        calls: relay.CallRelay,
        streams: relay.StreamRelay,
        gate: callers.RequestGate,
        clock: core.Clock,
        metrics: core.Metrics,
    ) -> None:
        self._book = book
        self._calls = calls
        self._streams = streams
        self._gate = gate
        self._clock = clock
        self._metrics = metrics
        self._services: _configuration.Services = {}
        self._rng = random.Random()
        self.leaving = False
        """Whether callers are asked to use another VM."""

    def apply_services(self, services: _configuration.Services) -> None:
        """Use the services of a new configuration."""
        self._services = services

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serve one request."""
        sink = _Sink(send, self)
        arrived_at = self._clock.now()
        try:
            with self._gate.enter():
                request = await self._decode(scope, receive, arrived_at)
                await self._serve(request, sink, receive)
        except core.CodedError as error:
            await self._fail(scope, sink, error)
        except _BodyTooLarge:
            _LOGGER.info(
                'refused request=%s path=%s code=body_too_large',
                _find_request_id(scope['headers']) or '-',
                scope['path'],
            )
            await sink.refuse(413, 'body_too_large', None)
        except _CallerGone:
            _LOGGER.info(
                'caller left; request=%s path=%s',
                _find_request_id(scope['headers']) or '-',
                scope['path'],
            )

    async def _decode(
        self, scope: types.Scope, receive: types.Receive, arrived_at: float
    ) -> relay.RelayRequest:
        """Return the request with its route.

        Raises:
            CodedError: The request is refused.
        """
        headers: _headers.Headers = list(scope['headers'])
        path = scope['raw_path']
        route, holder = self._book.match(
            _find_host(headers), path.decode('latin-1'), _find_key(headers)
        )
        if self.leaving and isinstance(route.kind, core.StreamKind):
            raise core.CodedError(
                core.ErrorCode.VM_STOPPING,
                'the VM stops before a stream would end',
                resend=True,
                resend_at=arrived_at,
            )
        table = self._book.table
        limit = table.max_body_bytes if table is not None else 0
        body = await _read_body(receive, limit)
        query = scope['query_string']
        priority = route.priority
        if holder is not None and holder.priority is not None:
            priority = holder.priority
        service = route.choose_service(self._rng)
        wait = min(_find_wait(headers), route.answer_seconds)
        return relay.RelayRequest(
            key=_find_request_id(headers),
            workspace=holder.workspace if holder is not None else '',
            route=route,
            service=service,
            method=scope['method'].encode(),
            target=path + (b'?' + query if query else b''),
            headers=_headers.drop_own(headers),
            body=body,
            priority=priority,
            arrived_at=arrived_at,
            deadline=arrived_at + wait,
            prompt=self._find_prompt(service, headers),
            position=_headers.find(headers, _headers.LAST_EVENT) or None,
        )

    def _find_prompt(
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
            _find_hint(headers),
        )

    async def _serve(
        self,
        request: relay.RelayRequest,
        sink: _Sink,
        receive: types.Receive,
    ) -> None:
        """Relay a request until it ends or its caller leaves."""
        error: core.CodedError | None = None
        outcome = 'gone'
        watch = _CallerWatch()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run, receive, tasks.cancel_scope)
            try:
                await self._relay(request, sink)
                # The end of an answer reads like a caller that leaves.
                outcome = 'answered'
            except core.CodedError as raised:
                error = raised
                outcome = error.code.value
            tasks.cancel_scope.cancel()
        took = self._clock.now() - request.arrived_at
        self._count_end(request, outcome, took)
        _LOGGER.info(
            'ended request=%s route=%s workspace=%s priority=%d prompt=%s'
            ' outcome=%s took_ms=%d',
            request.key,
            request.route.name,
            request.workspace or '-',
            request.priority,
            request.prompt or '-',
            outcome,
            took * 1000,
        )
        if error is not None and not watch.gone:
            raise error

    def _count_end(
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

    async def _relay(self, request: relay.RelayRequest, sink: _Sink) -> None:
        match request.route.kind:
            case core.CallKind():
                await self._calls.run(request, sink)
            case core.StreamKind():
                await self._streams.run(request, sink)
            case _:
                typing.assert_never(request.route.kind)

    async def _fail(
        self, scope: types.Scope, sink: _Sink, error: core.CodedError
    ) -> None:
        self._metrics.count(f'callers.refused.{error.code.value}')
        _LOGGER.info(
            'refused request=%s path=%s code=%s outcome=%s reason="%s"',
            _find_request_id(scope['headers']) or '-',
            scope['path'],
            error.code.value,
            error.outcome.value,
            error.message,
        )
        if sink.begun:
            # The connection is closed without the end of the stream, so
            # that the answer does not look complete.
            return
        retry_after = None
        status = _find_status(error)
        if status == 503:
            resend_at = error.resend_at or self._clock.now()
            retry_after = max(
                MIN_RETRY_AFTER_SECONDS, resend_at - self._clock.now()
            )
        await sink.refuse(status, error.code.value, retry_after)


class _CallerWatch:
    """Ends the work for a caller that leaves."""

    def __init__(self) -> None:
        self.gone = False

    async def run(
        self, receive: types.Receive, scope: anyio.CancelScope
    ) -> None:
        await transport.wait_for_disconnect(receive)
        self.gone = True
        scope.cancel()


class _Sink:
    """Writes one answer, as `relay.AnswerSink`."""

    def __init__(self, send: types.Send, front: Front) -> None:
        self._send = send
        self._front = front
        self.begun = False

    async def answer(self, answer: relay.Answered) -> None:
        headers = list(answer.headers)
        headers.append((b'content-length', b'%d' % len(answer.body)))
        await self.begin(answer.status, headers)
        await self._send(
            {
                'type': 'http.response.body',
                'body': answer.body,
                'more_body': False,
            }
        )

    async def begin(self, status: int, headers: relay.Headers) -> None:
        self.begun = True
        if self._front.leaving:
            headers = [*headers, _CLOSE]
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def send(self, data: bytes) -> None:
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def finish(self) -> None:
        await self._send(
            {'type': 'http.response.body', 'body': b'', 'more_body': False}
        )

    async def refuse(
        self, status: int, code: str, retry_after: float | None
    ) -> None:
        """Answer a request that no target answered.

        Args:
            status: HTTP status.
            code: Stable code of the error.
            retry_after: Seconds until the caller may come back.
        """
        headers = [(b'content-type', b'application/json')]
        if retry_after is not None:
            value = f'{retry_after:.3f}'.encode()
            headers.append((_headers.RETRY_AFTER, value))
        if status == 400:
            headers.append(_CLOSE)
        body = json.dumps({'error': {'code': code}}).encode()
        await self.answer(relay.Answered(status, headers, body))


def _find_status(error: core.CodedError) -> int:
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


def _find_request_id(headers: _headers.Headers) -> str:
    return _headers.find(headers, _headers.REQUEST_ID).decode('latin-1')


def _find_host(headers: _headers.Headers) -> str:
    host = _headers.find(headers, b'host').decode('latin-1').lower()
    return host.partition(':')[0]


def _find_key(headers: _headers.Headers) -> str | None:
    value = _headers.find(headers, _headers.AUTHORIZATION)
    if not value.lower().startswith(_SCHEME):
        return None
    return value[len(_SCHEME) :].strip().decode('latin-1')


def _find_wait(headers: _headers.Headers) -> float:
    value = _headers.find(headers, _headers.DEADLINE)
    try:
        return max(0.0, float(value) / 1000)
    except ValueError:
        return DEFAULT_DEADLINE_SECONDS


def _find_hint(headers: _headers.Headers) -> float | None:
    try:
        hint = float(_headers.find(headers, _headers.LENGTH_HINT))
    except ValueError:
        return None
    return hint if hint > 0 else None


async def _read_body(receive: types.Receive, limit: int) -> bytes:
    body = b''
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise _CallerGone
        body += message.get('body', b'')
        if len(body) > limit:
            raise _BodyTooLarge
        if not message.get('more_body', False):
            return body
