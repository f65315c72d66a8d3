"""Placement of a relayed request on a target."""

from __future__ import annotations

import typing

from laburnumstep import targets

if typing.TYPE_CHECKING:
    from laburnumstep.callers import _engine_placer
    from laburnumstep import core

EJECTION_SECONDS = 2.0
"""Time for which a failed target is ejected, in seconds."""


class RelayPlacement:
    """Placement of one request on a target, as `relay.RelayPlacement`.

    Args:
        state: State of this VM for routing decisions.
        send: The dispatch, already counted in the load of the target.
        target: The target.
        traits: Traits of the request.
    """

    def __init__(
        self,
        state: _engine_placer.RoutingState,
        send: targets.Send,
        target: core.Target,
        traits: targets.Traits,
    ) -> None:
        self._state = state
        self._send = send
        self._target = target
        self._gaps = targets.GapRecorder()
        state.crashes.running.add(target.name, send.generation_id, traits)

    @property
    def target(self) -> core.Target:
        """The target."""
        return self._target

    def record_tokens(self, count: int, size: int) -> None:
        """Count tokens received from the target.

        Args:
            count: Number of tokens.
            size: Their encoded size, in bytes.
        """
        self._state.view.record_tokens(self._send, count)
        self._state.view.record_received(self._send, size)
        self._state.crashes.running.record_progress(
            self._target.name, self._send.generation_id
        )

    def record_arrival(
        self, read_at: float, now: float, tokens: list[int]
    ) -> None:
        """Record when events arrived, to learn the pace of the engine.

        Siblings learn it during the stream as well, not only at its end.

        Args:
            read_at: When the read of the events began, in epoch seconds.
            now: When it returned, in epoch seconds.
            tokens: Number of tokens of each event.
        """
        known = self._gaps.count
        self._gaps.record(read_at, now, tokens)
        if known < targets.EARLY_GAPS <= self._gaps.count:
            self._observe_pace()

    def record_failure(self, crashed: bool) -> None:
        """Eject a failed target for `EJECTION_SECONDS`.

        Args:
            crashed: Whether it broke off a request that it had started.
        """
        name = 'crashes' if crashed else 'unreached'
        self._state.metrics.count(f'targets.{name}')
        until = self._state.clock.now() + EJECTION_SECONDS
        self._state.view.set_failed(self._target.name, until)

    def record_held(self, until: float) -> None:
        """Place no further request on the target for now.

        Args:
            until: When it may take another one, in epoch seconds.
        """
        self._state.metrics.count('targets.held')
        self._state.view.set_held(self._target.name, until)

    def record_break(self) -> None:
        """Let the crash monitor find out whether the target has crashed."""
        self._state.crashes.observe_break(self._target.name)

    def release(self, complete: bool) -> None:
        """Release the capacity used on the target; repeated calls do nothing.

        Args:
            complete: Whether the answer is complete. Only then is its length
                added to the observed lengths.
        """
        if self._send.ended_at is not None:
            return
        self._observe_pace()
        self._state.view.end(self._send)
        self._state.crashes.running.remove(
            self._target.name, self._send.generation_id, complete
        )
        if complete and self._send.model:
            self._state.lengths.observe(
                self._send.workspace, self._send.model, self._send.tokens
            )

    def _observe_pace(self) -> None:
        sample = self._gaps.evaluate()
        if sample is not None:
            self._state.view.paces.observe(
                self._target.name,
                sample,
                self._state.clock.now(),
                self._send.gap_seconds,
            )
