"""Steps for the server feature."""

from __future__ import annotations

import contextlib
import time
import typing

import anyio
import behave
import grpc

from laburnumstep import core
from laburnumstep import siblings
from laburnumstep.siblings import _auth
from laburnumstep.siblings import _codec
from laburnumstep.siblings import _connection
from laburnumstep.siblings import _datagrams
from laburnumstep.siblings import _messages
from laburnumstep.siblings import siblings_pb2 as pb
from laburnumstep.siblings import siblings_pb2_grpc as pb_grpc
from support import hooks

KEY = 'siblings-test-key'
CLOCK_LEAD_SECONDS = 500.0


class RecordingHandler:
    """Answers heartbeats and records the received messages."""

    def __init__(self) -> None:
        self.received: list[typing.Any] = []
        self.malformed = 0
        self.configuration: core.VersionedDeployment | None = None
        self.refusal: core.CodedError | None = None
        self.topic_answer: siblings.TopicAnswer = siblings.TopicUnavailable()

    def receive(self, message: typing.Any) -> list[typing.Any]:
        self.received.append(message)
        if isinstance(message, _messages.Heartbeat):
            return [_messages.HeartbeatAck(message.sequence, 'vm-2')]
        return []

    def record_malformed(self, count: int) -> None:
        self.malformed += count

    def read_configuration(self, known: int) -> typing.Any:
        return self.configuration

    async def claim(self, request: typing.Any) -> dict[str, typing.Any]:
        self.received.append(request)
        if self.refusal:
            raise self.refusal
        return {'echo': request.body}

    async def serve_topic(
        self, request: siblings.TopicRead
    ) -> siblings.TopicAnswer:
        self.received.append(request)
        return self.topic_answer


@contextlib.asynccontextmanager
async def serve(
    handler: RecordingHandler, key: str
) -> typing.AsyncIterator[siblings.SiblingServer]:
    server = siblings.SiblingServer(
        '127.0.0.1:0', key, handler, core.SystemClock()
    )
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


@behave.given('a sibling server with key "{key}"')
def step_server(context: typing.Any, key: str) -> None:
    context.handler = RecordingHandler()
    context.server = hooks.enter_context(context, serve(context.handler, key))


def build_metadata(key: str) -> tuple[tuple[str, str], ...]:
    if key == 'none':
        return ()
    if key == 'twice':
        return _auth.build_metadata(KEY) + _auth.build_metadata('other')
    return _auth.build_metadata(key)


async def call(
    address: str, method: str, metadata: tuple[tuple[str, str], ...]
) -> str:
    async with _connection.open_channel(address) as channel:
        stub = pb_grpc.SiblingsStub(channel)
        try:
            match method:
                case 'Exchange':
                    beat = pb.SiblingMessage(heartbeat=pb.Heartbeat())
                    stream = stub.Exchange(iter([beat]), metadata=metadata)
                    async for _ in stream:
                        pass
                case 'FetchConfiguration':
                    request = pb.FetchRequest()
                    await stub.FetchConfiguration(request, metadata=metadata)
                case 'Claim':
                    claim = pb.ClaimRequest(body=b'{}')
                    await stub.Claim(claim, metadata=metadata)
                case 'ReadTopic':
                    read = pb.TopicRequest(topic='op')
                    await stub.ReadTopic(read, metadata=metadata)
        except grpc.aio.AioRpcError as error:
            # behave shows this if the scenario fails.
            print(f'{error.code().name}: {error.details()}')
            return error.code().name
    return 'none'


@behave.when('"{method}" is called with key "{key}"')
def step_call(context: typing.Any, method: str, key: str) -> None:
    context.code = context.portal.call(
        call, context.server.address, method, build_metadata(key)
    )


@behave.then('the call fails with "{code}"')
def step_code(context: typing.Any, code: str) -> None:
    assert context.code == code, context.code


@behave.then('the handler has received {count:d} calls')
def step_received(context: typing.Any, count: int) -> None:
    assert len(context.handler.received) == count, context.handler.received


async def exchange(address: str, first: list[pb.SiblingMessage]) -> typing.Any:
    async with _connection.open_channel(address) as channel:
        stub = pb_grpc.SiblingsStub(channel)
        stream = stub.Exchange(metadata=_auth.build_metadata(KEY))
        for message in first:
            await stream.write(message)
        with anyio.fail_after(10):
            return await stream.read()


async def beat(address: str) -> typing.Any:
    arrived = anyio.Event()
    answers = []

    def receive(message: typing.Any) -> list[typing.Any]:
        answers.append(message)
        arrived.set()
        return []

    connection = siblings.SiblingConnection(
        address, KEY, core.SystemClock(), receive
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(connection.run)
        connection.send(_messages.Heartbeat(7, 'vm-1'))
        with anyio.fail_after(10):
            await arrived.wait()
        connection.close()
    return answers[0].sequence


@behave.when('a connection sends a heartbeat')
def step_beat(context: typing.Any) -> None:
    context.sequence = context.portal.call(beat, context.server.address)


@behave.when('a connection sends an entry of an unknown kind and a heartbeat')
def step_unknown(context: typing.Any) -> None:
    unknown = pb.SiblingMessage(
        entries=pb.Entries(entries=[pb.Entry(subject='x', origin='y')])
    )
    asked = pb.SiblingMessage(heartbeat=pb.Heartbeat(sequence=7))
    answer = context.portal.call(
        exchange, context.server.address, [unknown, asked]
    )
    context.sequence = answer.heartbeat_ack.sequence


@behave.then('the connection receives its answer')
def step_answer(context: typing.Any) -> None:
    assert context.sequence == 7, context.sequence


@behave.then('the handler has counted {count:d} malformed entry')
def step_malformed_count(context: typing.Any, count: int) -> None:
    assert context.handler.malformed == count, context.handler.malformed


@behave.given('the claim handler refuses with "{code}"')
def step_refuses(context: typing.Any, code: str) -> None:
    context.handler.refusal = core.CodedError(
        core.ErrorCode(code), 'held', resend=True, resend_at=7.0
    )


async def send_claim(address: str) -> typing.Any:
    request = siblings.ClaimForward(1, {}, time.time() + 10)
    async with _connection.open_channel(address) as channel:
        try:
            return await _connection.send_claim(
                channel, address, KEY, request, 10
            )
        except core.CodedError as error:
            return error


@behave.when('a claim is sent')
def step_claim(context: typing.Any) -> None:
    context.error = context.portal.call(send_claim, context.server.address)


@behave.then('the claim fails with "{code}"')
def step_claim_fails(context: typing.Any, code: str) -> None:
    assert context.error.code.value == code, context.error
    assert (context.error.resend, context.error.resend_at) == (True, 7.0)


@behave.given('the server has a configuration with a wrong digest')
def step_wrong_digest(context: typing.Any) -> None:
    context.handler.configuration = core.VersionedDeployment(
        3, 'wrong', 9, core.Deployment('cuadrilla')
    )


@behave.given('the server has a configuration through offset {through:d}')
def step_through(context: typing.Any, through: int) -> None:
    deployment = core.Deployment('cuadrilla')
    digest = core.digest_deployment(deployment)
    context.handler.configuration = core.VersionedDeployment(
        3, digest, through, deployment
    )


@behave.then('the fetched configuration is through offset {through:d}')
def step_fetched_through(context: typing.Any, through: int) -> None:
    assert context.fetched.through == through, context.fetched


@behave.when('the configuration is fetched')
def step_fetch(context: typing.Any) -> None:
    try:
        context.fetched = context.portal.call(
            siblings.fetch_configuration, context.server.address, KEY, 0, 10
        )
    except core.FindingsError as error:
        context.findings = error.findings


@behave.then('the fetch fails with "{code}"')
def step_fetch_fails(context: typing.Any, code: str) -> None:
    assert [f.code for f in context.findings] == [code], context.findings


def make_topic_answer(name: str) -> siblings.TopicAnswer:
    """Return an answer that was complete two seconds ago."""
    complete_at = time.time() - 2.0
    match name:
        case 'a page':
            record = siblings.TopicRecord('config', b'{}', 6)
            return siblings.TopicPage([record], 3, 7, complete_at)
        case 'a page with removal':
            record = siblings.TopicRecord('config', None, 6)
            return siblings.TopicPage([record], 3, 7, complete_at)
        case 'an empty page':
            return siblings.TopicPage([], 3, 7, complete_at)
        case 'lost history':
            return siblings.TopicHistoryLost()
        case 'another epoch':
            return siblings.TopicHistoryLost(epoch_changed=True)
        case 'unavailable':
            return siblings.TopicUnavailable()
    raise AssertionError(name)


class FastClock(core.SystemClock):
    """A clock that is ahead of the system time."""

    def now(self) -> float:
        return super().now() + CLOCK_LEAD_SECONDS


async def read_topic(address: str) -> siblings.TopicAnswer:
    clock = FastClock()
    now = clock.now()
    request = siblings.TopicRead('op', False, 3, 6, now, now + 10)
    async with _connection.open_channel(address) as channel:
        return await _connection.read_topic(
            channel, address, KEY, request, clock
        )


@behave.given('the server answers reads of a topic with {name}')
def step_topic_answer(context: typing.Any, name: str) -> None:
    context.handler.topic_answer = make_topic_answer(name)


@behave.when('a VM whose clock is 500 seconds ahead reads the topic')
def step_read_topic(context: typing.Any) -> None:
    context.answer = context.portal.call(read_topic, context.server.address)


@behave.then('the read returns {name}')
def step_topic_read(context: typing.Any, name: str) -> None:
    expected = context.handler.topic_answer
    if isinstance(expected, siblings.TopicPage):
        answer = context.answer
        assert (answer.records, answer.epoch, answer.next_offset) == (
            expected.records,
            expected.epoch,
            expected.next_offset,
        ), answer
        shift = answer.complete_at - expected.complete_at
        # The call itself adds to the difference of the clocks.
        assert abs(shift - CLOCK_LEAD_SECONDS) < 10.0, shift
    else:
        assert context.answer == expected, context.answer


@behave.when('load reports are sent to a VM whose clock is 500 seconds ahead')
def step_send_loads(context: typing.Any) -> None:
    now = 1000.0
    load = siblings.EngineLoad('engine-1', now - 0.5, 3, 1, 40, 90, now + 2.0)
    send = siblings.EngineSend(
        'engine-1', 'vm-1', now - 0.25, 700, ((4_000_000_000, 9),), 0.18, 760
    )
    message = siblings.EngineLoads([load], [send], distribute=True)
    encoded = _codec.encode_message(message, now)
    context.received, _ = _codec.decode_message(
        pb.SiblingMessage.FromString(encoded.SerializeToString()),
        now + CLOCK_LEAD_SECONDS,
    )
    context.now = now + CLOCK_LEAD_SECONDS


@behave.then('the reports have the same age there')
def step_same_age(context: typing.Any) -> None:
    assert context.received.distribute
    (load,) = context.received.loads
    assert context.now - load.measured_at == 0.5, load
    assert (load.running, load.waiting) == (3, 1), load
    assert (load.kv_used, load.kv_total) == (40, 90), load
    (send,) = context.received.sends
    assert context.now - send.sent_at == 0.25, send
    assert (send.target, send.vm) == ('engine-1', 'vm-1'), send
    assert send.prompt_tokens == 700, send
    assert send.parts == ((4_000_000_000, 9),), send
    assert (send.gap_seconds, send.expected_tokens) == (0.18, 760), send


@behave.then('the engine is reclaimed after the same time')
def step_same_reclaim(context: typing.Any) -> None:
    (load,) = context.received.loads
    assert load.reclaim_at - context.now == 2.0, load


@behave.given('two VMs that exchange datagrams')
def step_datagrams(context: typing.Any) -> None:
    context.handler = RecordingHandler()


def make_loads(loads: int, sends: int) -> siblings.EngineLoads:
    now = time.time()
    return siblings.EngineLoads(
        [
            siblings.EngineLoad(f'engine-{number}', now, 1, 0, 10, 90, None)
            for number in range(loads)
        ],
        [
            siblings.EngineSend(f'engine-{number}', 'vm-1', now, 700)
            for number in range(sends)
        ],
        distribute=False,
    )


async def exchange_datagrams(
    handler: RecordingHandler, loads: int, sends: int, before: str
) -> None:
    receiver = siblings.GrpcLinks('127.0.0.1:0', KEY, core.SystemClock())
    sender = siblings.GrpcLinks('127.0.0.1:0', KEY, core.SystemClock())
    async with anyio.create_task_group() as tasks:
        await tasks.start(receiver.run, handler)
        await tasks.start(sender.run, RecordingHandler())
        await send_disturbance(receiver.address, before)
        sender.send_datagram([receiver.address], make_loads(loads, sends))
        with anyio.fail_after(10):
            while count_received(handler) < loads + sends:
                await anyio.lowlevel.checkpoint()
        tasks.cancel_scope.cancel()


def count_received(handler: RecordingHandler) -> int:
    return sum(
        len(message.loads) + len(message.sends)
        for message in handler.received
        if isinstance(message, siblings.EngineLoads)
    )


async def send_disturbance(address: str, before: str) -> None:
    datagrams = {
        'nothing': [],
        'a malformed datagram': [b'\xff\xff\xff'],
        'a heartbeat': [
            pb.SiblingMessage(heartbeat=pb.Heartbeat()).SerializeToString()
        ],
        'an empty datagram': [b''],
    }
    host, _, port = address.rpartition(':')
    async with await anyio.create_udp_socket(local_host=host) as socket:
        for datagram in datagrams[before]:
            await socket.sendto(datagram, host, int(port))


@behave.when(
    'one sends {loads:d} load reports and {sends:d} sends after {before}'
)
def step_send_datagrams(
    context: typing.Any, loads: int, sends: int, before: str
) -> None:
    context.portal.call(
        exchange_datagrams, context.handler, loads, sends, before
    )


@behave.then(
    'the other has received {loads:d} load reports and {sends:d} sends'
)
def step_received_loads(context: typing.Any, loads: int, sends: int) -> None:
    messages = context.handler.received
    assert sum(len(message.loads) for message in messages) == loads, messages
    assert sum(len(message.sends) for message in messages) == sends, messages


@behave.when('{count:d} sends with {parts:d} parts of prompts are encoded')
def step_encode_sends(context: typing.Any, count: int, parts: int) -> None:
    pairs = tuple((2**32 - 1, 900) for _ in range(parts))
    send = siblings.EngineSend(
        'planner-engine-17', 'front-lima-1-17', 0.0, 3000, pairs, 0.18, 760
    )
    message = siblings.EngineLoads([], [send] * count, distribute=True)
    context.sizes = [
        len(_codec.encode_message(part, 0.25).SerializeToString())
        for part in _datagrams.split_loads(message)
    ]


@behave.then('each datagram fits into a packet of {size:d} bytes')
def step_packet_size(context: typing.Any, size: int) -> None:
    headers = 28
    assert max(context.sizes) + headers <= size, context.sizes


@behave.then('no message had more than {limit:d} load reports or sends')
def step_datagram_size(context: typing.Any, limit: int) -> None:
    sizes = [
        max(len(message.loads), len(message.sends))
        for message in context.handler.received
    ]
    assert max(sizes) <= limit, sizes
