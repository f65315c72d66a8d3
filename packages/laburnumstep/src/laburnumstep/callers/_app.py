"""HTTP front end for callers."""

from __future__ import annotations

import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumstep.callers import _codec
from laburnumstep.callers import _credentials
from laburnumstep.callers import _handles
from laburnumstep.callers import _stream
from laburnumstep import core
from laburnumstep import transport

if typing.TYPE_CHECKING:
    from starlette import types

    from laburnumstep.callers import _gate
    from laburnumstep import targets

HANDLE_SECONDS = 3600.0
"""Time after its start in which a stream can be resumed, in seconds."""
RESUME_SECONDS = 3600.0
"""Time for the rest of a resumed answer, in seconds."""
CANCEL_SECONDS = 5.0
"""Timeout for an engine to cancel a generation, in seconds."""

_Body = typing.TypeVar('_Body')
_LOGGER = core.get_logger('callers')


class Services(typing.Protocol):
    """Operations of the VM that the front end calls."""

    def get_deployment(self) -> core.Deployment:
        """Return the configuration in force.

        Raises:
            CodedError: `no_configuration`.
        """
        ...

    async def generate(
        self, request: core.Generation, sink: targets.GenerationSink
    ) -> None:
        """Run a generation and write its answer to a sink."""
        ...

    async def resume(
        self,
        handle: _handles.ResumeHandle,
        position: int,
        deadline: float,
        sink: targets.GenerationSink,
    ) -> None:
        """Write the rest of a generation to a sink.

        Args:
            handle: The verified handle.
            position: Position of the first token to write.
            deadline: When to give up, in epoch seconds.
            sink: Receives the answer.
        """
        ...

    async def cancel(
        self, handle: _handles.ResumeHandle, deadline: float
    ) -> None:
        """Cancel a generation on its engine."""
        ...

    async def call(self, call: core.ServiceCall) -> core.CallResult:
        """Run one operation of a plain service."""
        ...

    async def get_outcome(
        self, workspace: str, key: core.RequestKey
    ) -> OutcomeReport:
        """Return whether a request ran, and its result."""
        ...


class OutcomeReport(typing.Protocol):
    """Outcome of a request and its result."""

    @property
    def outcome(self) -> core.Outcome:
        """Whether it ran."""
        ...

    @property
    def result(self) -> core.CallResult | None:
        """Response of the service, if known."""
        ...


Handler = typing.Callable[
    [requests.Request, core.Workspace],
    typing.Awaitable[responses.Response],
]


class CallersApp:
    """Serves callers; a request has no state besides its task.

    Args:
        services: Operations of the VM.
        gate: Counts requests and refuses new ones while the VM stops.
        signer: Signs resume handles.
        clock: Clock for deadlines.
        metrics: Counts requests and errors.
    """

    def __init__(
        self,
        services: Services,
        gate: _gate.RequestGate,
        signer: _handles.HandleSigner,
        clock: core.Clock,
        metrics: core.Metrics,
    ) -> None:
        self._services = services
        self._gate = gate
        self._signer = signer
        self._clock = clock
        self._metrics = metrics
        self.app = applications.Starlette(
            routes=[
                self._make_route('POST', '/v1/generations', self._generate),
                self._make_route(
                    'POST', '/v1/generations/resume', self._resume
                ),
                self._make_route(
                    'POST', '/v1/generations/cancel', self._cancel
                ),
                self._make_route(
                    'POST', '/v1/calls', self._call_service, keyed=True
                ),
                self._make_route(
                    'GET', '/v1/outcomes/{key}', self._read_outcome
                ),
                routing.Route('/healthz', self._report_health),
                routing.Route('/readyz', self._report_readiness),
            ]
        )
        """The ASGI application."""

    def _make_route(
        self, method: str, path: str, handler: Handler, keyed: bool = False
    ) -> routing.Route:
        endpoint = _Endpoint(self, handler, keyed)
        return routing.Route(path, endpoint, methods=[method])

    @property
    def gate(self) -> _gate.RequestGate:
        """Gate that counts requests in progress."""
        return self._gate

    def authenticate(self, request: requests.Request) -> core.Workspace:
        """Return the workspace whose credentials a request carries.

        Raises:
            CodedError: `unauthorized` or `no_configuration`.
        """
        return _credentials.authenticate(
            request.headers.get('authorization'),
            self._services.get_deployment(),
            self._clock.now(),
        )

    def refuse(
        self, request: requests.Request, error: core.CodedError
    ) -> responses.Response:
        """Count and log an error, and return it as a response."""
        self._metrics.count(f'callers.errors.{error.code.value}')
        _LOGGER.info(
            'refused; path=%s outcome=%s error=%s',
            request.url.path,
            error.outcome.value,
            error,
        )
        return _stream.encode_response(error, self._clock.now())

    async def _generate(
        self, request: requests.Request, workspace: core.Workspace
    ) -> responses.Response:
        key = _get_request_key(request)
        body = await _read_body(request, _codec.GenerationBody)
        now = self._clock.now()
        priority = body.priority
        generation = core.Generation(
            key=key,
            workspace=workspace.name,
            model=body.model,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            # Callers may lower the priority of their workspace but not
            # raise it.
            priority=(
                workspace.priority
                if priority is None
                else min(priority, workspace.priority)
            ),
            deadline=body.deadline or now + _codec.DEFAULT_DEADLINE_SECONDS,
            delivery=body.delivery,
        )
        self._check_deadline(generation.deadline)
        self._metrics.count('callers.generations')

        async def write_events(sink: _stream.EventSink) -> None:
            await self._services.generate(generation, sink)

        return self._make_stream(write_events)

    async def _resume(
        self, request: requests.Request, workspace: core.Workspace
    ) -> responses.Response:
        body = await _read_body(request, _codec.ResumeBody)
        handle = self._verify_handle(body.handle, workspace)
        deadline = self._clock.now() + RESUME_SECONDS
        self._metrics.count('callers.resumes')

        async def write_events(sink: _stream.EventSink) -> None:
            await self._services.resume(handle, body.position, deadline, sink)

        return self._make_stream(write_events)

    async def _cancel(
        self, request: requests.Request, workspace: core.Workspace
    ) -> responses.Response:
        body = await _read_body(request, _codec.CancelBody)
        handle = self._verify_handle(body.handle, workspace)
        deadline = self._clock.now() + CANCEL_SECONDS
        await self._services.cancel(handle, deadline)
        return responses.JSONResponse({'generation': handle.generation})

    async def _call_service(
        self, request: requests.Request, workspace: core.Workspace
    ) -> responses.Response:
        key = _get_request_key(request)
        body = await _read_body(request, _codec.CallBody)
        now = self._clock.now()
        call = core.ServiceCall(
            key=key,
            workspace=workspace.name,
            service=body.service,
            operation=body.operation,
            payload=body.payload,
            deadline=body.deadline or now + _codec.DEFAULT_CALL_SECONDS,
        )
        # The key has not been looked up yet: an earlier request with it may
        # have run on another VM, so the outcome is unknown.
        self._check_deadline(call.deadline, core.Outcome.UNKNOWN)
        self._metrics.count('callers.calls')
        result = await self._services.call(call)
        return responses.JSONResponse(
            {
                'outcome': core.Outcome.RAN.value,
                'status': result.status,
                'result': result.result,
            }
        )

    async def _read_outcome(
        self, request: requests.Request, workspace: core.Workspace
    ) -> responses.Response:
        key = core.RequestKey.parse(request.path_params['key'])
        report = await self._services.get_outcome(workspace.name, key)
        body: dict[str, typing.Any] = {'outcome': report.outcome.value}
        if report.result is not None:
            body['status'] = report.result.status
            body['result'] = report.result.result
        return responses.JSONResponse(body)

    async def _report_health(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.JSONResponse({'healthy': True})

    async def _report_readiness(
        self, request: requests.Request
    ) -> responses.Response:
        try:
            self._services.get_deployment()
            if self._gate.stopping:
                raise core.CodedError(
                    core.ErrorCode.VM_STOPPING, 'the VM is stopping'
                )
        except core.CodedError as error:
            return _stream.encode_response(error, self._clock.now())
        return responses.JSONResponse({'ready': True})

    def _make_stream(
        self, write_events: _stream.WriteEvents
    ) -> _stream.EventStream:
        return _stream.EventStream(
            write_events,
            self._sign_handle,
            self._gate.wait_for_stop_deadline,
            self._clock,
        )

    def _sign_handle(self, placed: targets.PlacedGeneration) -> str:
        return self._signer.sign(
            _handles.ResumeHandle(
                placed.request.workspace,
                str(placed.request.key),
                placed.generation,
                placed.target,
                self._clock.now() + HANDLE_SECONDS,
            )
        )

    def _verify_handle(
        self, text: str, workspace: core.Workspace
    ) -> _handles.ResumeHandle:
        return self._signer.verify(text, workspace.name, self._clock.now())

    def _check_deadline(
        self, deadline: float, outcome: core.Outcome = core.Outcome.NOT_RUN
    ) -> None:
        if self._clock.now() >= deadline:
            raise core.CodedError(
                core.ErrorCode.DEADLINE_EXCEEDED,
                'the deadline has passed',
                outcome,
            )


class _Endpoint:
    """Serves one route: authenticates, calls the handler, encodes errors.

    Args:
        front: Authenticates requests and encodes errors.
        handler: Serves authenticated requests.
        keyed: Whether the request may be a resend under the same key. If it
            is refused before the key is looked up, the outcome is unknown.
    """

    def __init__(
        self, front: CallersApp, handler: Handler, keyed: bool
    ) -> None:
        self._front = front
        self._handler = handler
        self._keyed = keyed

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        request = requests.Request(scope, receive, send)
        begun = False
        try:
            with self._front.gate.enter():
                workspace = self._front.authenticate(request)
                begun = True
                response = await self._handler(request, workspace)
                await response(scope, receive, send)
        except core.CodedError as error:
            if self._keyed and not begun:
                error = error.with_outcome(core.Outcome.UNKNOWN)
            response = self._front.refuse(request, error)
            await response(scope, receive, send)
        except requests.ClientDisconnect:
            _LOGGER.info('caller disconnected; path=%s', request.url.path)


def _get_request_key(request: requests.Request) -> core.RequestKey:
    headers = request.headers.getlist('idempotency-key')
    if len(headers) > 1:
        raise core.CodedError(
            core.ErrorCode.BAD_REQUEST,
            'the Idempotency-Key header is given twice',
        )
    return _codec.decode_key(headers[0] if headers else None)


async def _read_body(request: requests.Request, cls: type[_Body]) -> _Body:
    return _codec.decode_body(await transport.read_body(request), cls)
