"""Steps for the feature of the callers' front end."""

from __future__ import annotations

import json
import time
import typing

import anyio.lowlevel
import attrs
import behave
import httpcore

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import targets
from laburnumstep import transport
from support import hooks

_SIGNING_KEY = 'signing-key-of-tests'
_BODY = {'model': 'planner', 'prompt': 'Plan.'}
_STOP_SECONDS = 60.0


def _token(position: int) -> bytes:
    return b'id: gen:%d\ndata: "x"\n\n' % position


@attrs.define
class FakeServices:
    """Fake `Services` that runs generations without an engine."""

    clock: core.ManualClock
    deployment: core.Deployment | None
    fail_after: int | None = None
    pauses: bool = False
    continued: anyio.Event = attrs.field(factory=anyio.Event)
    paused: anyio.Event = attrs.field(factory=anyio.Event)
    started: list[core.Generation] = attrs.field(factory=list)

    def get_deployment(self) -> core.Deployment:
        if self.deployment is None:
            raise core.CodedError(core.ErrorCode.NO_CONFIGURATION, 'none')
        return self.deployment

    async def generate(
        self, request: core.Generation, sink: targets.GenerationSink
    ) -> None:
        self.started.append(request)
        await sink.begin(targets.PlacedGeneration(request, 'gen', 'gang-1'))
        if self.pauses:
            self.paused.set()
            await self.continued.wait()
        await sink.send([_token(n) for n in range(3)])
        if self.fail_after is not None:
            raise core.CodedError(
                core.ErrorCode.GENERATION_LOST, 'lost', core.Outcome.RAN
            )
        await sink.finish('gen', 3)

    async def resume(
        self,
        handle: callers.ResumeHandle,
        position: int,
        deadline: float,
        sink: targets.GenerationSink,
    ) -> None:
        await sink.finish(handle.generation, position)

    async def cancel(
        self, handle: callers.ResumeHandle, deadline: float
    ) -> None:
        return

    async def call(self, call: core.ServiceCall) -> core.CallResult:
        return core.CallResult(200, {})

    async def get_outcome(
        self, workspace: str, key: core.RequestKey
    ) -> typing.Any:
        raise core.CodedError(core.ErrorCode.LOG_UNAVAILABLE, 'down')


def _make_workspace(
    name: str, expires_at: float | None = None
) -> core.Workspace:
    digest = core.digest_secret(f'{name}-key')
    return core.Workspace(name, digest, 10, 10, 1000, 2, expires_at)


async def _send(
    context: typing.Any,
    path: str,
    headers: list[tuple[str, str]],
    content: bytes,
    method: str = 'POST',
) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            method,
            f'http://{context.server.address}{path}',
            headers=headers,
            content=content,
        )
    context.status = response.status
    context.content = response.content


def _post(
    context: typing.Any,
    path: str,
    body: bytes,
    credentials: str = 'Bearer callao:callao-key',
    keys: tuple[str, ...] = ('1000000000000-abcdefgh',),
) -> None:
    headers = [('Idempotency-Key', key) for key in keys]
    if credentials != 'none':
        headers.append(('Authorization', credentials))
    context.portal.call(_send, context, path, headers, body)


@behave.given('a front end with workspaces "callao" and "paita"')
def step_front(context: typing.Any) -> None:
    context.clock = core.ManualClock(1_000_000_000.0)
    now = context.clock.now()
    deployment = core.Deployment(
        'cuadrilla',
        workspaces={
            'callao': _make_workspace('callao'),
            'paita': _make_workspace('paita'),
            'expired': _make_workspace('expired', now - 1),
        },
    )

    def build() -> callers.CallersApp:
        context.services = FakeServices(context.clock, deployment)
        context.gate = callers.RequestGate(context.clock)
        context.signer = callers.HandleSigner(_SIGNING_KEY)
        return callers.CallersApp(
            context.services,
            context.gate,
            context.signer,
            context.clock,
            core.Metrics(None, 'test'),
        )

    front = context.portal.call(build)
    context.server = hooks.enter_context(
        context, transport.serve_app(front.app)
    )


@behave.given('generations fail after 3 tokens')
def step_failing(context: typing.Any) -> None:
    context.services.fail_after = 3


@behave.given('the front end as it is')
def step_unchanged(context: typing.Any) -> None:
    del context


@behave.when('a call is sent with the body "{body}"')
def step_call(context: typing.Any, body: str) -> None:
    call = {'service': 'booking', 'operation': 'confirm', 'payload': {}}
    match body:
        case 'late':
            call['deadline'] = context.clock.now() - 1.0
        case 'no JSON':
            _post(context, '/v1/calls', b'{')
            return
    _post(context, '/v1/calls', json.dumps(call).encode())


@behave.given('the VM knows no configuration')
def step_no_configuration(context: typing.Any) -> None:
    context.services.deployment = None


@behave.given('"callao" has the handle of a stream')
def step_handle(context: typing.Any) -> None:
    handle = callers.ResumeHandle(
        'callao', 'key', 'gen', 'gang-1', context.clock.now() + 60
    )
    old = attrs.evolve(handle, expires_at=context.clock.now() - 1)
    other = callers.HandleSigner('another-signing-key')
    text = context.signer.sign(handle)
    context.handles = {
        'valid': text,
        'forged': text[:-2] + ('AA' if text[-2:] != 'AA' else 'BB'),
        'expired': context.signer.sign(old),
        'of another key': other.sign(handle),
    }


@behave.given('"callao" reads a stream that pauses')
def step_paused(context: typing.Any) -> None:
    context.services.pauses = True
    context.reading = context.portal.start_task_soon(
        _send, context, '/v1/generations', _make_headers(), _make_body()
    )
    context.portal.call(context.services.paused.wait)


def _make_headers() -> list[tuple[str, str]]:
    return [
        ('Idempotency-Key', '1000000000000-abcdefgh'),
        ('Authorization', 'Bearer callao:callao-key'),
    ]


def _make_body() -> bytes:
    return json.dumps(_BODY).encode()


@behave.when('a generation is requested with credentials "{credentials}"')
def step_credentials(context: typing.Any, credentials: str) -> None:
    _post(context, '/v1/generations', _make_body(), credentials)


@behave.when('a generation is requested with the body "{body}"')
def step_body(context: typing.Any, body: str) -> None:
    content = body.encode()
    if body == 'oversized':
        prompt = 'x' * transport.MAX_BODY_BYTES
        content = json.dumps({**_BODY, 'prompt': prompt}).encode()
    elif body == 'truncated JSON':
        content = _make_body()[:-3]
    _post(context, '/v1/generations', content)


@behave.when('a generation is requested with the key "{key}"')
def step_key(context: typing.Any, key: str) -> None:
    keys: tuple[str, ...] = (key,)
    if key == 'missing':
        keys = ()
    elif key == 'given twice':
        keys = ('1000000000000-abcdefgh', '1000000000000-abcdefgi')
    _post(context, '/v1/generations', _make_body(), keys=keys)


@behave.when('"{workspace}" requests "{action}" with the "{handle}" handle')
def step_use_handle(
    context: typing.Any, workspace: str, action: str, handle: str
) -> None:
    body: dict[str, typing.Any] = {'handle': context.handles[handle]}
    if action == 'resume':
        body['position'] = 0
    _post(
        context,
        f'/v1/generations/{action}',
        json.dumps(body).encode(),
        f'Bearer {workspace}:{workspace}-key',
    )


@behave.when('"callao" requests a generation')
def step_request(context: typing.Any) -> None:
    _post(context, '/v1/generations', _make_body())


@behave.when('"callao" requests a generation with priority {priority:d}')
def step_priority(context: typing.Any, priority: int) -> None:
    body = json.dumps({**_BODY, 'priority': priority}).encode()
    _post(context, '/v1/generations', body)


@behave.given('the VM begins to stop')
@behave.when('the VM begins to stop')
def step_stop(context: typing.Any) -> None:
    deadline = context.clock.now() + _STOP_SECONDS
    context.stopping = context.portal.start_task_soon(
        context.gate.drain, deadline
    )
    context.portal.call(anyio.lowlevel.checkpoint)


@behave.when('the stream continues')
def step_continue(context: typing.Any) -> None:
    context.portal.call(context.services.continued.set)
    context.reading.result()


@behave.when('the stop deadline passes')
def step_stop_deadline(context: typing.Any) -> None:
    context.portal.call(context.clock.advance, _STOP_SECONDS)
    context.reading.result()


@behave.then(
    'the status is {status:d} and the code is "{code}" '
    'with outcome "{outcome}"'
)
def step_refused(
    context: typing.Any, status: int, code: str, outcome: str
) -> None:
    error = json.loads(context.content)['error']
    assert context.status == status, (context.status, error)
    assert error['code'] == code, error
    assert error['outcome'] == outcome, error


@behave.then('the status is {status:d} and the code is "{code}"')
def step_status(context: typing.Any, status: int, code: str) -> None:
    assert context.status == status, (context.status, context.content)
    if code != 'none':
        assert json.loads(context.content)['error']['code'] == code


@behave.then('no generation was started')
def step_none_begun(context: typing.Any) -> None:
    assert context.services.started == [], context.services.started


@behave.then('the generation was started with priority {priority:d}')
def step_begun_priority(context: typing.Any, priority: int) -> None:
    assert [g.priority for g in context.services.started] == [priority]


@behave.then('the stream has 3 tokens, an error with outcome "ran" and no end')
def step_failed_stream(context: typing.Any) -> None:
    text = context.content.decode()
    assert text.count('id: gen:') == 3, text
    assert 'event: done' not in text, text
    assert '"outcome": "ran"' in text, text


@behave.then('the VM is not ready')
def step_not_ready(context: typing.Any) -> None:
    client = transport.JsonClient(context.server.address)
    reply = context.portal.call(
        client.request, 'GET', '/readyz', time.time() + 5
    )
    context.portal.call(client.close)
    assert reply.status == 503, reply


@behave.then(
    'a further generation is refused with "{code}" and outcome "{outcome}"'
)
def step_further(context: typing.Any, code: str, outcome: str) -> None:
    _post(context, '/v1/generations', _make_body())
    step_refused(context, 503, code, outcome)


@behave.then('the stream is complete')
def step_complete(context: typing.Any) -> None:
    assert b'event: done' in context.content, context.content


@behave.then('the stream ends with the error "{code}"')
def step_stream_error(context: typing.Any, code: str) -> None:
    assert f'"code": "{code}"' in context.content.decode(), context.content
    assert b'event: done' not in context.content, context.content


@behave.then('the VM has stopped')
def step_stopped(context: typing.Any) -> None:
    context.stopping.result()
