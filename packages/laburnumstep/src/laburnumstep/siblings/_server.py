"""gRPC server for the calls of sibling VMs."""

from __future__ import annotations

import json
import typing

import grpc.aio

from laburnumstep import core
from laburnumstep.siblings import _auth
from laburnumstep.siblings import _codec
from laburnumstep.siblings import _messages
from laburnumstep.siblings import siblings_pb2 as pb
from laburnumstep.siblings import siblings_pb2_grpc as pb_grpc

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
"""Largest message, in bytes. The reply with a compressed configuration is the
largest kind."""
_OPTIONS = [
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    # With port reuse, two processes could bind one port without an error.
    ('grpc.so_reuseport', 0),
    # Ends the streams of siblings that stopped without closing them.
    ('grpc.keepalive_time_ms', 60_000),
    ('grpc.keepalive_timeout_ms', 10_000),
]
_LOG = core.get_logger('siblings')


class SiblingHandler(typing.Protocol):
    """Handles the messages and calls of siblings."""

    def receive(
        self, message: _messages.SiblingMessage
    ) -> list[_messages.SiblingMessage]:
        """Handle a message and return the answers."""
        ...

    def record_malformed(self, count: int) -> None:
        """Count entries that could not be decoded."""
        ...

    def read_configuration(
        self, known_version: int
    ) -> core.VersionedDeployment | None:
        """Return the configuration in force if newer than a version."""
        ...

    async def claim(
        self, request: _messages.ClaimForward
    ) -> core.DocumentObject:
        """Handle claim records that a sibling forwards.

        Raises:
            CodedError: The records were refused.
        """
        ...

    async def serve_topic(
        self, request: _messages.TopicRead
    ) -> _messages.TopicAnswer:
        """Return records of a topic that this VM follows."""
        ...


class _Servicer(pb_grpc.SiblingsServicer):
    """Decodes calls, passes them to the handler and encodes the answers."""

    def __init__(self, handler: SiblingHandler, clock: core.Clock) -> None:
        self._handler = handler
        self._clock = clock
        self._encoded: (
            tuple[core.VersionedDeployment, pb.FetchReply] | None
        ) = None

    async def Exchange(
        self,
        request_iterator: typing.AsyncIterator[pb.SiblingMessage],
        context: grpc.aio.ServicerContext,
    ) -> typing.AsyncIterator[pb.SiblingMessage]:
        async for encoded in request_iterator:
            message, malformed = _codec.decode_message(
                encoded, self._clock.now()
            )
            if malformed or message is None:
                self._handler.record_malformed(max(1, malformed))
            if message is not None:
                for answer in self._handler.receive(message):
                    yield _codec.encode_message(answer, self._clock.now())

    async def FetchConfiguration(
        self, request: pb.FetchRequest, context: grpc.aio.ServicerContext
    ) -> pb.FetchReply:
        configuration = self._handler.read_configuration(request.known_version)
        if configuration is None:
            return pb.FetchReply()
        # Many siblings fetch a version at about the same time. Encoding a
        # large document for each of them would block the event loop.
        if self._encoded is None or self._encoded[0] is not configuration:
            self._encoded = (
                configuration,
                _codec.encode_configuration(configuration),
            )
        return self._encoded[1]

    async def Claim(
        self, request: pb.ClaimRequest, context: grpc.aio.ServicerContext
    ) -> pb.ClaimReply:
        try:
            body = core.load_json(request.body, 'claim')
            forward = _messages.ClaimForward(
                request.partition, body, request.deadline
            )
            answer = await self._handler.claim(forward)
        except core.FindingsError as error:
            refusal = core.CodedError(core.ErrorCode.BAD_REQUEST, str(error))
            return _codec.encode_refusal(refusal)
        except core.CodedError as error:
            return _codec.encode_refusal(error)
        return pb.ClaimReply(body=json.dumps(answer).encode())

    async def ReadTopic(
        self, request: pb.TopicRequest, context: grpc.aio.ServicerContext
    ) -> pb.TopicReply:
        answer = await self._handler.serve_topic(
            _codec.decode_topic_read(request, self._clock.now())
        )
        return _codec.encode_topic_answer(answer, self._clock.now())


class SiblingServer:
    """Serves sibling VMs over gRPC.

    Args:
        address: IP address and port; with port 0 the system chooses the
            port.
        key: Key that every call must carry.
        handler: Receives the decoded calls.
        clock: Clock of the times in messages.
    """

    def __init__(
        self,
        address: str,
        key: str,
        handler: SiblingHandler,
        clock: core.Clock,
    ) -> None:
        self._requested_address = address
        self._key = key
        self._handler = handler
        self._clock = clock
        self._server: grpc.aio.Server | None = None
        self._port = 0

    @property
    def address(self) -> str:
        """IP address and port on which the started server listens."""
        host, _, _ = self._requested_address.rpartition(':')
        return f'{host}:{self._port}'

    async def start(self) -> None:
        """Bind the address and start serving.

        Raises:
            RuntimeError: The address cannot be bound.
        """
        server = grpc.aio.server(
            interceptors=[_auth.KeyInterceptor(self._key)], options=_OPTIONS
        )
        pb_grpc.add_SiblingsServicer_to_server(
            _Servicer(self._handler, self._clock), server
        )
        self._port = server.add_insecure_port(self._requested_address)
        await server.start()
        self._server = server
        _LOG.info('serving siblings on %s', self.address)

    async def stop(self) -> None:
        """Cancel the calls in progress and stop listening."""
        if self._server is not None:
            await self._server.stop(grace=None)
            self._server = None
