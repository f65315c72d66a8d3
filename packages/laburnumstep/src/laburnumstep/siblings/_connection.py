"""Client side of the calls to one sibling."""

from __future__ import annotations

import json
import math
import typing

import anyio
import anyio.lowlevel
import grpc
import grpc.aio

from laburnumstep import core
from laburnumstep.siblings import _auth
from laburnumstep.siblings import _codec
from laburnumstep.siblings import _messages
from laburnumstep.siblings import _server
from laburnumstep.siblings import siblings_pb2 as pb
from laburnumstep.siblings import siblings_pb2_grpc as pb_grpc

if typing.TYPE_CHECKING:
    import collections.abc

MAX_QUEUED_MESSAGES = 64
"""Most messages queued for a slow sibling. Further ones are dropped, and
anti-entropy exchanges carry their entries later."""
_OPTIONS = [
    ('grpc.max_receive_message_length', _server.MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', _server.MAX_MESSAGE_BYTES),
    # Channels to one address would otherwise share a backoff that grows to
    # two minutes, and a restarted sibling would stay unreachable that long.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 1000),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.enable_http_proxy', 0),
]
_LOG = core.get_logger('siblings')


class SiblingUnavailable(core.CodedError):
    """A sibling did not answer.

    Args:
        message: Address of the sibling and the cause.
        may_have_acted: Whether the sibling may have acted on the call.
    """

    def __init__(self, message: str, may_have_acted: bool) -> None:
        super().__init__(core.ErrorCode.INTERNAL, message, resend=True)
        self.may_have_acted = may_have_acted


class SiblingConnection:
    """Exchanges messages with one sibling over a stream.

    Args:
        address: IP address and port of the sibling.
        key: Sibling key that the call carries.
        clock: Clock of the times in messages.
        receive: Handles a message of the sibling and returns the answers
            to send back.
    """

    def __init__(
        self,
        address: str,
        key: str,
        clock: core.Clock,
        receive: collections.abc.Callable[
            [_messages.SiblingMessage], list[_messages.SiblingMessage]
        ],
    ) -> None:
        self._address = address
        self._metadata = _auth.build_metadata(key)
        self._clock = clock
        self._receive = receive
        self._sender, self._outbox = anyio.create_memory_object_stream[
            _messages.SiblingMessage
        ](math.inf)
        self._scope = anyio.CancelScope()
        self._is_open = True

    @property
    def address(self) -> str:
        """IP address and port of the sibling."""
        return self._address

    @property
    def is_open(self) -> bool:
        """Whether messages can be queued.

        False from the end of the stream, also while its channel closes.
        """
        return self._is_open

    def send(self, message: _messages.SiblingMessage) -> bool:
        """Queue a message.

        Returns:
            Whether the message was queued. It is dropped if too many are
            queued already or the stream has ended.
        """
        waiting = self._sender.statistics().current_buffer_used
        if waiting >= MAX_QUEUED_MESSAGES or not self._is_open:
            return False
        try:
            self._sender.send_nowait(message)
        except anyio.BrokenResourceError:
            # gRPC stops reading the queue before `run` sees that the call
            # has ended.
            self._is_open = False
        return self._is_open

    def close(self) -> None:
        """Send the queued messages and end the stream."""
        self._is_open = False
        self._sender.close()

    def abort(self) -> None:
        """End the stream at once and discard the queued messages."""
        self._is_open = False
        self._scope.cancel()

    async def run(self) -> None:
        """Exchange messages until the stream ends or breaks."""
        channel = open_channel(self._address)
        try:
            stub = pb_grpc.SiblingsStub(channel)
            call = stub.Exchange(
                self._encode_outbox(), metadata=self._metadata
            )
            with self._scope:
                await self._read_messages(call)
        except grpc.aio.AioRpcError as error:
            _LOG.info(
                'exchange with %s ended: %s %s',
                self._address,
                error.code().name,
                error.details(),
            )
        finally:
            self._is_open = False
            self._sender.close()
            with anyio.CancelScope(shield=True):
                await channel.close(grace=None)

    async def _read_messages(
        self, call: typing.AsyncIterable[pb.SiblingMessage]
    ) -> None:
        try:
            async for encoded in call:
                self._handle_message(encoded)
        except anyio.get_cancelled_exc_class():
            # gRPC raises its own cancellation error in place of the
            # scope's, even if the call has ended by itself. The scope does
            # not recognize it and would propagate it, which would end all
            # connections and the server.
            aborted = self._scope.cancel_called
            outer = anyio.current_effective_deadline() == -math.inf
            if outer and not aborted:
                raise

    def _handle_message(self, encoded: pb.SiblingMessage) -> None:
        message, _ = _codec.decode_message(encoded, self._clock.now())
        if message is not None:
            for answer in self._receive(message):
                self.send(answer)

    async def _encode_outbox(self) -> typing.AsyncIterator[pb.SiblingMessage]:
        async for message in self._outbox:
            yield _codec.encode_message(message, self._clock.now())


async def fetch_configuration(
    address: str, key: str, known_version: int, timeout: float
) -> core.VersionedDeployment | None:
    """Fetch a sibling's configuration if it is newer than a version.

    Args:
        address: IP address and port of the sibling.
        key: Sibling key that the call carries.
        known_version: Version in force on this VM, 0 for none.
        timeout: Time limit of the call, in seconds.

    Returns:
        The configuration, or None if the sibling has no newer one.

    Raises:
        SiblingUnavailable: The sibling did not answer.
        FindingsError: The document is invalid or does not match its digest.
    """
    async with open_channel(address) as channel:
        stub = pb_grpc.SiblingsStub(channel)
        call = stub.FetchConfiguration(
            pb.FetchRequest(known_version=known_version),
            metadata=_auth.build_metadata(key),
            timeout=timeout,
        )
        reply = await _await_reply(call, address)
    return _codec.decode_configuration(reply, address)


async def send_claim(
    channel: grpc.aio.Channel,
    address: str,
    key: str,
    request: _messages.ClaimForward,
    timeout: float,
) -> core.DocumentObject:
    """Forward claim records to a sibling and return its answer.

    Args:
        channel: Channel to the sibling.
        address: IP address and port of the sibling, named in errors.
        key: Sibling key that the call carries.
        request: The records.
        timeout: Time limit of the call, in seconds.

    Raises:
        SiblingUnavailable: The sibling did not answer.
        CodedError: The sibling refused the records.
    """
    stub = pb_grpc.SiblingsStub(channel)
    call = stub.Claim(
        pb.ClaimRequest(
            partition=request.partition,
            body=json.dumps(request.body).encode(),
            deadline=request.deadline,
        ),
        metadata=_auth.build_metadata(key),
        timeout=timeout,
    )
    reply = await _await_reply(call, address)
    if reply.WhichOneof('result') == 'body':
        return json.loads(reply.body)
    raise _codec.decode_refusal(reply.refusal)


async def read_topic(
    channel: grpc.aio.Channel,
    address: str,
    key: str,
    request: _messages.TopicRead,
    clock: core.Clock,
) -> _messages.TopicAnswer:
    """Read records of a topic that a sibling follows.

    Args:
        channel: Channel to the sibling.
        address: IP address and port of the sibling, named in errors.
        key: Sibling key that the call carries.
        request: The read.
        clock: Clock of the times in the request and its answer.

    Raises:
        SiblingUnavailable: The sibling did not answer.
    """
    now = clock.now()
    call = pb_grpc.SiblingsStub(channel).ReadTopic(
        _codec.encode_topic_read(request, now),
        metadata=_auth.build_metadata(key),
        timeout=max(0.001, request.deadline - now),
    )
    reply = await _await_reply(call, address)
    return _codec.decode_topic_answer(reply, clock.now())


async def _await_reply(
    call: collections.abc.Awaitable[typing.Any], address: str
) -> typing.Any:
    """Wait for the reply to a call.

    gRPC replaces the cancellation error of a scope by its own. The scope
    does not recognize that one and propagates it, which would end the task
    and every task group around it without an error. The checkpoint raises
    the scope's own cancellation error instead.

    Raises:
        SiblingUnavailable: The sibling did not answer.
    """
    try:
        return await call
    except grpc.aio.AioRpcError as error:
        raise _make_unavailable(address, error) from error
    except anyio.get_cancelled_exc_class() as error:
        await anyio.lowlevel.checkpoint()
        message = f'{address}: the call was cancelled'
        raise SiblingUnavailable(message, may_have_acted=True) from error


def open_channel(address: str) -> grpc.aio.Channel:
    """Open a channel to a sibling."""
    return grpc.aio.insecure_channel(address, options=_OPTIONS)


def _make_unavailable(
    address: str, error: grpc.aio.AioRpcError
) -> SiblingUnavailable:
    refused = error.code() is grpc.StatusCode.UNAUTHENTICATED
    message = f'{address}: {error.code().name}: {error.details()}'
    return SiblingUnavailable(message, may_have_acted=not refused)
