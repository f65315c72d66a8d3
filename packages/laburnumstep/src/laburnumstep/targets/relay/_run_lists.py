"""Asks engines for their runs on behalf of the streams of this VM."""

from __future__ import annotations

import anyio
import attrs

from laburnumstep import core
from laburnumstep.targets.relay import _ports
from laburnumstep.targets.relay import _silence

ANSWER_TIMEOUT_SECONDS = 0.3
"""Timeout of an engine's answer, in seconds."""
SHARED_SECONDS = 0.2
"""Time for which streams of one engine share its answer, in seconds."""
FORGET_SECONDS = 60.0
"""Time after which an engine that nobody asks is forgotten, in seconds."""


@attrs.define
class _Engine:
    """What one engine has answered."""

    asked_at: float = 0.0
    result: _ports.RunListResult | None = None
    has_listed: bool = False
    lock: anyio.Lock = attrs.field(factory=anyio.Lock)


class RunLists:
    """Lists of runs, each of which is read once for all silent streams.

    Args:
        port: Lists the runs of engines.
        clock: Clock for the age of answers.
    """

    def __init__(self, port: _ports.TargetPort, clock: core.Clock) -> None:
        self._port = port
        self._clock = clock
        self._engines: dict[str, _Engine] = {}

    async def ask(
        self,
        target: core.Target,
        key: str,
        previous: _silence.EngineAnswer,
    ) -> _silence.EngineAnswer:
        """Ask an engine whether it lists a run.

        Args:
            target: The engine.
            key: Identifier of the request that runs.
            previous: The answer to the question before.
        """
        if not isinstance(target, core.EngineTarget):
            return _silence.NotAskable()
        self._forget_old()
        engine = self._engines.setdefault(target.name, _Engine())
        async with engine.lock:
            now = self._clock.now()
            if engine.result is None or now - engine.asked_at > SHARED_SECONDS:
                engine.result = None
                engine.asked_at = now
                engine.result = await self._port.list_runs(
                    target, now + ANSWER_TIMEOUT_SECONDS
                )
        return _interpret(engine, key, previous)

    def _forget_old(self) -> None:
        oldest = self._clock.now() - FORGET_SECONDS
        for name, engine in list(self._engines.items()):
            if engine.asked_at < oldest and not engine.lock.locked():
                del self._engines[name]


def _interpret(
    engine: _Engine, key: str, previous: _silence.EngineAnswer
) -> _silence.EngineAnswer:
    match engine.result:
        case _ports.RunList(runs=runs):
            engine.has_listed = engine.has_listed or bool(runs)
            if any(run.key == key for run in runs):
                return _silence.Listed()
            if engine.has_listed:
                return _silence.NotListed()
            return _silence.NoRunsKnown()
        case _ports.NoRunList(answered=True):
            return _silence.NoRunsKnown()
        case _ports.NoRunList(refused=refused):
            asks = 1
            if isinstance(previous, _silence.Unanswered):
                asks += previous.asks
            return _silence.Unanswered(asks, refused)
        case _:
            return previous
