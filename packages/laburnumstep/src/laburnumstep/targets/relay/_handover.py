"""Passes the run of one stream from its engine to the next one.

Every path on which a stream gets a second engine while the first one may still
work on it goes through `Handover`: from a copy, from a backup, started anew
before a stop or after a silence, in an evacuation.
"""

from __future__ import annotations

import typing

import anyio
import attrs

from laburnumstep import core
from laburnumstep.targets.relay import _pending
from laburnumstep.targets.relay import _ports
from laburnumstep.targets.relay import _run_lists
from laburnumstep.targets.relay import _silence

if typing.TYPE_CHECKING:
    import anyio.abc

SEND_SECONDS = 1.0
"""Time after which a request that has not been sent is given up, in seconds.
A connection takes up to 0.5 s to open, and a permit of a limited engine 0.3 s.
"""
ASK_SECONDS = 0.1
"""Time after the request was sent at which the next engine is asked whether it
is there, in seconds. Most engines send their first event earlier."""
STOP_SECONDS = 0.2
"""Time after the request was sent at which the engine before is ordered to
stop the run and to send its memory elsewhere, in seconds. Between regions an
order takes 0.04 s."""
HANDOVER_SECONDS = 0.3
"""Time after the request was sent by which the run of the engine before ends,
in seconds. The platform allows both engines to work on a run for 0.4 s; the
rest is for the end to reach the engine before."""

_LOGGER = core.get_logger('relay')


@attrs.frozen(eq=False)
class EarlierRun:
    """The run of a stream at the engine before."""

    tasks: anyio.abc.TaskGroup
    """Runs the attempt at the next engine, as long as the stream lasts."""
    order_stop: typing.Callable[[core.Target], None]
    """Orders the engine to stop the run and to send its memory elsewhere, but
    not to the next engine, with which it is called."""


@attrs.define
class _Question:
    """The question to the next engine for its runs."""

    answer: _silence.EngineAnswer = attrs.field(factory=_silence.NotAsked)
    """What the engine has answered so far."""

    @property
    def is_reached(self) -> bool:
        """Whether the engine has answered, so that it may work on the run."""
        match self.answer:
            case _silence.NotAsked() | _silence.Unanswered():
                return False
            case (
                _silence.Listed()
                | _silence.NotListed()
                | _silence.NoRunsKnown()
                | _silence.NotAskable()
            ):
                return True
            case _:
                typing.assert_never(self.answer)


class Handover:
    """Sends an attempt while the engine before still works on the run.

    Args:
        port: Sends requests to targets.
        lists: Asks engines for their runs.
        clock: Clock for deadlines.
    """

    def __init__(
        self,
        port: _ports.TargetPort,
        lists: _run_lists.RunLists,
        clock: core.Clock,
    ) -> None:
        self._port = port
        self._lists = lists
        self._clock = clock

    async def send(
        self,
        attempt: _ports.Attempt,
        earlier: EarlierRun,
        record_late: _pending.RecordReply,
    ) -> _ports.Reply:
        """Send an attempt and decide which engine goes on with the run.

        The caller ends the run of the engine before if and only if the reply
        is `Streaming` or `Underway`.

        Args:
            attempt: The attempt.
            earlier: The run at the engine before.
            record_late: Called with a reply that arrives after `Underway`
                was returned.

        Returns:
            The reply, if it arrives in time; `Underway` if the target can be
            reached; otherwise `Lost`.
        """
        pending = _pending.PendingReply(
            self._port, attempt, record_late, self._clock
        )
        earlier.tasks.start_soon(pending.run)
        reply: _ports.Reply = _ports.Lost('cancelled')
        try:
            reply = await self._await_reply(pending, attempt, earlier)
        finally:
            if not _ports.is_running(reply):
                pending.close()
        return reply

    async def _await_reply(
        self,
        pending: _pending.PendingReply,
        attempt: _ports.Attempt,
        earlier: EarlierRun,
    ) -> _ports.Reply:
        sent_at = await pending.wait_sent(self._clock.now() + SEND_SECONDS)
        if sent_at is None:
            return pending.reply or _ports.NotReached('it was not sent')
        reply = await pending.wait_reply(sent_at + ASK_SECONDS)
        if reply is not None:
            return reply
        question = _Question()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._ask, attempt, question)
            reply = await pending.wait_reply(sent_at + STOP_SECONDS)
            if reply is None:
                if question.is_reached:
                    earlier.order_stop(attempt.target)
                reply = await pending.wait_reply(sent_at + HANDOVER_SECONDS)
            tasks.cancel_scope.cancel()
        if reply is not None:
            return reply
        _LOGGER.info(
            'next engine is late; request=%s target=%s reached=%s after_ms=%d',
            attempt.request.key,
            attempt.target.name,
            question.is_reached,
            (self._clock.now() - sent_at) * 1000,
        )
        if question.is_reached:
            return pending.take()
        return _ports.Lost('the engine did not answer in time')

    async def _ask(self, attempt: _ports.Attempt, question: _Question) -> None:
        question.answer = await self._lists.ask(
            attempt.target, attempt.request.key, question.answer
        )
