"""One relayed request's place on a target."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from laburnumstep.callers import _engine_placer
    from laburnumstep import core
    from laburnumstep import targets

FAILED_SECONDS = 2.0
"""How long a target that failed gets no new work, in seconds."""


class RelayPlace:
    """One request's place on a target, as `relay.RelayPlace`.

    Args:
        state: What this VM knows.
        send: The send, already counted by the view.
        target: The target.
    """

    def __init__(
        self,
        state: _engine_placer.RoutingState,
        send: targets.Send,
        target: core.Target,
    ) -> None:
        self._state = state
        self._send = send
        self._target = target

    @property
    def target(self) -> core.Target:
        """The target."""
        return self._target

    def record_tokens(self, count: int, size: int) -> None:
        """Count tokens that the target sent.

        Args:
            count: Tokens.
            size: Their encoded size, in bytes.
        """
        self._state.view.record_tokens(self._send, count)
        self._state.view.record_received(self._send, size)

    def record_loss(self, crashed: bool) -> None:
        """Give a failed target no new work for a while.

        Args:
            crashed: Whether it cut a request that it had begun.
        """
        name = 'crashes' if crashed else 'unreached'
        self._state.metrics.count(f'targets.{name}')
        until = self._state.clock.now() + FAILED_SECONDS
        self._state.view.set_failed(self._target.name, until)

    def release(self, complete: bool) -> None:
        """Give the target's room back.

        Args:
            complete: Whether the answer is whole, so that its length may
                be learned.
        """
        if self._send.ended_at is not None:
            return
        self._state.view.end(self._send)
        if complete and self._send.model:
            self._state.lengths.observe(
                self._send.workspace, self._send.model, self._send.tokens
            )
