"""Fakes around the relay: targets that answer by script, and a caller."""

from __future__ import annotations

import typing

import anyio.lowlevel
import attrs

from laburnumstep import core
from laburnumstep import targets
from laburnumstep.targets import relay

WAIT_SECONDS = 10.0
"""Time that the caller of a test waits, in seconds."""


def make_target(name: str) -> core.EngineTarget:
    """Return an engine; its address is its name."""
    return core.EngineTarget(
        name, 'lima-1', name, ['m'], 30_000, False, copy_seconds=0.0001
    )


def make_request(
    kind: core.RouteKind,
    now: float,
    attempts: int = 2,
    max_tokens: int = 2000,
) -> relay.RelayRequest:
    """Return a request that arrives now."""
    route = core.Route(
        'r',
        'example',
        '/p/',
        kind,
        (core.WeightedService('s', 1.0),),
        WAIT_SECONDS,
        attempts,
        0,
    )
    prompt = None
    if isinstance(kind, core.StreamKind):
        prompt = relay.PromptShape('m', 1000, max_tokens, [])
    return relay.RelayRequest(
        'key-1',
        'port',
        route,
        's',
        b'POST',
        b'/p/1',
        [],
        b'body',
        0,
        now,
        now + WAIT_SECONDS,
        prompt,
    )


class Sink:
    """A caller that keeps what it gets."""

    def __init__(self) -> None:
        self.answered: relay.Answered | None = None
        self.begun = 0
        self.data = b''
        self.finished = False

    async def answer(self, answer: relay.Answered) -> None:
        self.answered = answer

    async def begin(self, status: int, headers: relay.Headers) -> None:
        self.begun += 1

    async def send(self, data: bytes) -> None:
        self.data += data

    async def finish(self) -> None:
        self.finished = True


class Source:
    """Events of one run; a step is a list, an exception, or the end.

    Args:
        steps: What each read gives. A callable is called first, and its
            result is what the read gives.
    """

    def __init__(self, steps: list[typing.Any]) -> None:
        self._steps = list(steps)
        self.closed = False
        self.deadlines: list[float] = []

    def replace_end(self, steps: list[typing.Any]) -> None:
        """Put other steps in the place of the last one."""
        self._steps[-1:] = steps

    async def read(self, deadline: float) -> list[relay.StreamEvent] | None:
        self.deadlines.append(deadline)
        step = self._steps.pop(0) if self._steps else None
        if callable(step):
            step = await step()
        if isinstance(step, Exception):
            raise step
        return step

    def close(self) -> None:
        self.closed = True


def make_events(first: int, last: int) -> list[relay.StreamEvent]:
    """Return events whose data is their number and a semicolon."""
    return [
        relay.StreamEvent(b'%d;' % number, b'%d' % number)
        for number in range(first, last + 1)
    ]


@attrs.define
class Place:
    """A place that remembers what it was told."""

    target: core.Target
    losses: int = 0
    releases: int = 0

    def record_tokens(self, count: int, size: int) -> None:
        pass

    def record_failure(self, crashed: bool) -> None:
        self.losses += 1

    def release(self, complete: bool) -> None:
        self.releases += 1


class Placer:
    """Places requests on the first engine that is not excluded.

    Args:
        names: Engines in the order of preference.
        clock: The time.
    """

    def __init__(self, names: list[str], clock: core.Clock) -> None:
        self.names = names
        self.leaving: set[str] = set()
        self.backup: str | None = None
        self.places: list[Place] = []
        self.budget = targets.RetryBudget(ratio=1.0, extra=10.0)
        self.resends = 0
        self._clock = clock

    async def place(
        self, request: relay.RelayRequest, excluded: frozenset[str]
    ) -> Place:
        for name in self.names:
            if name not in excluded and name not in self.leaving:
                return self._add(name)
        raise core.CodedError(core.ErrorCode.NO_TARGET, 'none', resend=True)

    def place_on(self, request: relay.RelayRequest, target: str) -> Place:
        return self._add(target)

    def choose_backup(
        self, request: relay.RelayRequest, target: core.Target
    ) -> core.EngineTarget | None:
        return make_target(self.backup) if self.backup else None

    def choose_destination(
        self,
        request: relay.RelayRequest,
        source: core.Target,
        refused: frozenset[str],
    ) -> core.EngineTarget | None:
        for name in self.names:
            if name not in refused and name not in self.leaving:
                if name != source.name:
                    return make_target(name)
        return None

    def estimate_copy(self, source: core.Target, tokens: int) -> float:
        return tokens * 0.0001

    def is_usable(self, target: str) -> bool:
        return target in self.names and target not in self.leaving

    def decide_retry(
        self, request: relay.RelayRequest, failed: relay.FailedSend
    ) -> targets.RetryDecision:
        now = self._clock.now()
        return targets.decide_retry(
            targets.FailedAttempt(
                failed.target,
                failed.excluded,
                request.deadline,
                failed.outcome,
                relay.is_repeatable(request.route.kind),
                0,
                False,
            ),
            self.budget,
            now,
        )

    def record_resend(self, request: relay.RelayRequest) -> None:
        self.resends += 1

    def _add(self, name: str) -> Place:
        place = Place(make_target(name))
        self.places.append(place)
        return place


class Port:
    """Targets that answer by script.

    Args:
        replies: Replies of each target, in their order.
    """

    def __init__(self, replies: dict[str, list[relay.Reply]]) -> None:
        self.replies = replies
        self.attempts: list[relay.Attempt] = []
        self.copies: list[tuple[str, str, bool]] = []
        self.copy_results: dict[tuple[str, bool], relay.CopyResult] = {}
        self.runs: list[relay.EngineRun] = []
        self.lists = 0
        self.on_send: typing.Callable[[relay.Attempt], None] | None = None

    async def send(self, attempt: relay.Attempt) -> relay.Reply:
        self.attempts.append(attempt)
        if self.on_send is not None:
            self.on_send(attempt)
        return self.replies[attempt.target.name].pop(0)

    async def copy_run(
        self,
        request: relay.RelayRequest,
        source: core.Target,
        destination: core.Target,
        stop: bool,
        deadline: float,
    ) -> relay.CopyResult:
        self.copies.append((source.name, destination.name, stop))
        done = relay.Copied(f'{source.name}/copy')
        return self.copy_results.get((destination.name, stop), done)

    async def list_runs(
        self, target: core.Target, deadline: float
    ) -> list[relay.EngineRun]:
        self.lists += 1
        await anyio.lowlevel.checkpoint()
        return list(self.runs)

    def get_backup_reference(
        self, request: relay.RelayRequest, backup: core.EngineTarget
    ) -> str:
        return f'{backup.name}/{request.key}'
