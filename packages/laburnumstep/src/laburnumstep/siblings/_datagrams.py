"""Datagrams between siblings, for messages that are soon out of date.

A load report is replaced within a second, so a lost one need not be sent
again, and a question for permits is asked once more. A datagram costs a small
part of the processor time of a gRPC message.
"""

from __future__ import annotations

import typing

import anyio
import anyio.abc
from google.protobuf import message as protobuf_message

from laburnumstep import core
from laburnumstep.siblings import _codec
from laburnumstep.siblings import _messages
from laburnumstep.siblings import siblings_pb2 as pb

if typing.TYPE_CHECKING:
    from laburnumstep.siblings import _server

MAX_QUEUED_DATAGRAMS = 512
"""Most datagrams that wait to be sent; further ones are dropped."""
MAX_DATAGRAM_LOADS = 16
"""Most load reports and most sends in one datagram; up to 90 B each, so that
16 of a kind fit into one packet of 1,500 B."""
_LOG = core.get_logger('siblings')


class DatagramLinks:
    """Sends and receives datagrams on the port of the sibling server.

    Args:
        clock: Clock of the times in messages.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._sender, self._outbox = anyio.create_memory_object_stream[
            tuple[str, bytes]
        ](MAX_QUEUED_DATAGRAMS)

    def send(
        self, addresses: list[str], message: _messages.DatagramMessage
    ) -> None:
        """Queue a message for siblings; delivery is not guaranteed.

        It is encoded once for all of them.

        Args:
            addresses: IP address and port of each sibling.
            message: The message; it is split if it does not fit into one
                datagram.
        """
        for part in _split(message):
            encoded = _codec.encode_message(part, self._clock.now())
            data = encoded.SerializeToString()
            try:
                for address in addresses:
                    self._sender.send_nowait((address, data))
            except anyio.WouldBlock:
                return

    async def run(
        self,
        address: str,
        handler: _server.SiblingHandler,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Exchange datagrams until cancelled.

        Args:
            address: IP address and port of this VM's sibling server.
            handler: Handles the messages of siblings.
            task_status: Started once datagrams can arrive.
        """
        host, _, port = address.rpartition(':')
        try:
            socket = await anyio.create_udp_socket(
                local_host=host, local_port=int(port)
            )
        except OSError as error:
            # Without datagrams this VM reads all load reports itself.
            _LOG.warning('datagrams are not exchanged; reason=%s', error)
            task_status.started()
            return
        async with socket, anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_queued, socket)
            task_status.started()
            async for data, source in socket:
                for answer in self._receive(data, handler):
                    self.send([f'{source[0]}:{source[1]}'], answer)

    async def _send_queued(self, socket: anyio.abc.UDPSocket) -> None:
        async for address, data in self._outbox:
            host, _, port = address.rpartition(':')
            try:
                await socket.sendto(data, host, int(port))
            except OSError as error:
                _LOG.info('datagram to %s not sent: %s', address, error)

    def _receive(
        self, data: bytes, handler: _server.SiblingHandler
    ) -> list[_messages.DatagramMessage]:
        """Handle a datagram of a sibling and return the answers."""
        message = None
        try:
            message, _ = _codec.decode_message(
                pb.SiblingMessage.FromString(data), self._clock.now()
            )
        except protobuf_message.DecodeError as error:
            _LOG.info('malformed datagram ignored: %s', error)
        if not isinstance(message, _messages.DatagramMessage):
            handler.record_malformed(1)
            return []
        return [
            answer
            for answer in handler.receive(message)
            if isinstance(answer, _messages.DatagramMessage)
        ]


def _split(
    message: _messages.DatagramMessage,
) -> typing.Sequence[_messages.DatagramMessage]:
    """Return messages that fit into one datagram each."""
    match message:
        case _messages.EngineLoads():
            return split_loads(message)
        case _messages.PermitAsk() | _messages.PermitReply():
            return [message]
        case _:
            typing.assert_never(message)


def split_loads(
    message: _messages.EngineLoads,
) -> list[_messages.EngineLoads]:
    """Return messages that fit into one datagram each."""
    size = MAX_DATAGRAM_LOADS
    count = max(len(message.loads), len(message.sends))
    return [
        _messages.EngineLoads(
            message.loads[start : start + size],
            message.sends[start : start + size],
            message.distribute,
        )
        for start in range(0, count, size)
    ]
