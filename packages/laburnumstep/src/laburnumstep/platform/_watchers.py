"""Tasks beside a request that end it early."""

from __future__ import annotations

import typing

import anyio

from laburnumstep import transport

if typing.TYPE_CHECKING:
    from starlette import types

    from laburnumstep import callers
    from laburnumstep import core
    from laburnumstep.platform import _responses


class DisconnectWatcher:
    """Cancels a request when its caller disconnects."""

    def __init__(self) -> None:
        self.disconnected = False
        """Whether the caller has disconnected."""

    async def run(
        self, receive: types.Receive, scope: anyio.CancelScope
    ) -> None:
        """Wait for the disconnect, then cancel a scope."""
        await transport.wait_for_disconnect(receive)
        self.disconnected = True
        scope.cancel()


class StopWatcher:
    """Ends a request without an answer when the VM is about to stop.

    Its caller gets an answer then, instead of a connection that is cut. An
    answer that has begun goes on as long as the VM runs.

    Args:
        sink: Writes the answer.
    """

    def __init__(self, sink: _responses.ResponseSink) -> None:
        self._sink = sink
        self.error: core.CodedError | None = None
        """Error for the caller, if the VM is about to stop."""

    async def run(
        self, gate: callers.RequestGate, scope: anyio.CancelScope
    ) -> None:
        """Wait for the end of the VM, then cancel a scope."""
        error = await gate.wait_for_stop_deadline()
        if not self._sink.begun:
            self.error = error
            scope.cancel()
