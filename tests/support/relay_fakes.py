"""Fakes for the relay: scripted targets, placement and a caller."""

from __future__ import annotations

import typing

import anyio
import anyio.lowlevel
import attrs

from laburnumstep import core
from laburnumstep import targets
from laburnumstep.targets import relay

WAIT_SECONDS = 10.0
"""Time from the arrival of a request to its deadline, in seconds."""


def make_target(name: str) -> core.EngineTarget:
    """Return an engine whose address is its name."""
    return core.EngineTarget(
        name, 'lima-1', name, ['m'], 30_000, False, copy_seconds=0.0001
    )


def make_request(
    kind: core.RouteKind,
    now: float,
    attempts: int = 2,
    max_tokens: int = 2000,
    first_answer_seconds: float | None = None,
) -> relay.RelayRequest:
    """Return a request that arrives now.

    Args:
        kind: Kind of its route.
        now: Time of arrival, in epoch seconds.
        attempts: Limit of attempts of its route.
        max_tokens: Limit of output tokens, if the route streams.
        first_answer_seconds: Objective of its route for the first event.
    """
    route = core.Route(
        'r',
        'example',
        '/p/',
        kind,
        (core.WeightedService('s', 1.0),),
        WAIT_SECONDS,
        attempts,
        0,
        first_answer_seconds=first_answer_seconds,
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


class RecordingSink:
    """Records the answer that a caller receives."""

    def __init__(self) -> None:
        self.answered: relay.Answered | None = None
        self.begin_calls = 0
        self.data = b''
        self.finished = False

    async def answer(self, answer: relay.Answered) -> None:
        self.answered = answer

    async def begin(self, status: int, headers: relay.Headers) -> None:
        self.begin_calls += 1

    async def send(self, data: bytes) -> None:
        self.data += data

    async def finish(self) -> None:
        self.finished = True


@attrs.define
class Silence:
    """A step of a source during which no event arrives."""

    seconds: float
    """Time until the next step, in seconds."""


async def settle() -> None:
    """Let the other tasks run until they wait."""
    for _ in range(20):
        await anyio.lowlevel.checkpoint()


class FakeEventSource:
    """Scripted events of one run.

    Args:
        steps: Result of each read: a list of events, an exception to
            raise, or None for the end. A callable is awaited and returns
            the result. A `Silence` advances the clock to the deadline of the
            read or to its own end. Further reads return None.
        clock: The clock of the scenario, if there is a silence.
    """

    def __init__(
        self,
        steps: list[typing.Any],
        clock: core.ManualClock | None = None,
    ) -> None:
        self._steps = list(steps)
        self._clock = clock
        self.closed = False
        self.closed_at: float | None = None
        """When it was first closed, in epoch seconds, by the clock."""
        self.deadlines: list[float] = []
        self._is_stopped = False

    def stop(self) -> None:
        """End the stream without its end marker."""
        self._is_stopped = True

    def replace_last_step(self, steps: list[typing.Any]) -> None:
        """Replace the last step by other steps."""
        self._steps[-1:] = steps

    async def read(self, deadline: float) -> list[relay.StreamEvent] | None:
        self.deadlines.append(deadline)
        if self._is_stopped:
            raise relay.StreamBroken('the run was stopped')
        if self._steps and isinstance(self._steps[0], Silence):
            await self._pass_silence(self._steps[0], deadline)
        step = self._steps.pop(0) if self._steps else None
        if callable(step):
            step = await step()
        if isinstance(step, Exception):
            raise step
        return step

    async def _pass_silence(self, silence: Silence, deadline: float) -> None:
        assert self._clock is not None
        await settle()
        waits = max(0.0, deadline - self._clock.now())
        self._clock.advance(min(waits, silence.seconds))
        silence.seconds -= waits
        if silence.seconds > 0:
            raise relay.EventsDelayed
        self._steps.pop(0)

    def close(self) -> None:
        if not self.closed and self._clock is not None:
            self.closed_at = self._clock.now()
        self.closed = True


def make_events(first: int, last: int) -> list[relay.StreamEvent]:
    """Return events whose data is their number and a semicolon.

    Args:
        first: Number of the first event.
        last: Number of the last event.
    """
    return [
        relay.StreamEvent(b'%d;' % number, b'%d' % number)
        for number in range(first, last + 1)
    ]


@attrs.define
class RecordingPlacement:
    """Counts the losses and releases of one placement."""

    target: core.Target
    held: dict[str, float]
    losses: int = 0
    breaks: int = 0
    releases: int = 0
    gaps: targets.GapRecorder = attrs.field(factory=targets.GapRecorder)

    def record_tokens(self, count: int, size: int) -> None:
        pass

    def record_arrival(
        self, read_at: float, now: float, tokens: list[int]
    ) -> None:
        self.gaps.record(read_at, now, tokens)

    def record_failure(self, crashed: bool) -> None:
        self.losses += 1

    def record_held(self, until: float) -> None:
        self.held[self.target.name] = until

    def record_break(self) -> None:
        assert not self.releases, 'its requests are no longer suspects'
        self.breaks += 1

    def release(self, complete: bool) -> None:
        self.releases += 1


class FakePlacer:
    """Places requests on the first engine that is not excluded.

    Args:
        names: Names of the engines in order of preference.
        clock: Time source of retry decisions.
    """

    def __init__(self, names: list[str], clock: core.Clock) -> None:
        self.names = names
        self.leaving: set[str] = set()
        self.backup: str | None = None
        self.stops_at: dict[str, float] = {}
        """When each leaving engine stops, in epoch seconds."""
        self.placements: list[RecordingPlacement] = []
        self.budget = targets.RetryBudget(ratio=1.0, get_extra=lambda: 10.0)
        self.requests = 0
        self.retries = 0
        self.resends = 0
        self.held: dict[str, float] = {}
        """Until when each target takes no request."""
        self._clock = clock

    def record_request(self, request: relay.RelayRequest) -> None:
        self.requests += 1

    async def place(
        self, request: relay.RelayRequest, excluded: frozenset[str]
    ) -> RecordingPlacement:
        for name in self.names:
            if name not in excluded and name not in self.leaving:
                if self.held.get(name, 0.0) <= self._clock.now():
                    return self._add(name)
        raise core.CodedError(core.ErrorCode.NO_TARGET, 'none', resend=True)

    def place_on(
        self, request: relay.RelayRequest, target: str, tokens: int
    ) -> RecordingPlacement:
        return self._add(target)

    def choose_backup(
        self, request: relay.RelayRequest, target: core.Target, tokens: int
    ) -> core.EngineTarget | None:
        return make_target(self.backup) if self.backup else None

    def choose_destination(
        self,
        request: relay.RelayRequest,
        source: core.Target,
        refused: frozenset[str],
        tokens: int,
    ) -> core.EngineTarget | None:
        for name in self.names:
            if name not in refused and name not in self.leaving:
                if name != source.name:
                    return make_target(name)
        return None

    def find_stop_time(self, target: str) -> float | None:
        return self.stops_at.get(target)

    def estimate_copy(self, source: core.Target, tokens: int) -> float:
        return tokens * 0.0001

    def is_usable(self, target: str) -> bool:
        return target in self.names and target not in self.leaving

    async def decide_retry(
        self, request: relay.RelayRequest, failed: relay.FailedSend
    ) -> targets.RetryDecision:
        now = self._clock.now()
        self.retries += 1
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

    def _add(self, name: str) -> RecordingPlacement:
        placement = RecordingPlacement(make_target(name), self.held)
        self.placements.append(placement)
        return placement


_STEP_SECONDS = 0.05
"""Steps in which time passes until a delayed reply, in seconds."""


class FakeTargetPort:
    """Sends requests to scripted targets.

    Args:
        replies: Replies of each target by its name, in order.
        clock: The clock of the scenario, if replies are delayed.
    """

    def __init__(
        self,
        replies: dict[str, list[relay.Reply]],
        clock: core.ManualClock | None = None,
    ) -> None:
        self.replies = replies
        self.delays: dict[str, list[float]] = {}
        """Times until each reply of a target, in seconds, by name of the
        target; the last one is repeated."""
        self.unsent: set[str] = set()
        """Targets that a request does not reach before their delay."""
        self.cancelled: list[str] = []
        """Targets whose request was cancelled before its reply."""
        self._clock = clock
        self.attempts: list[relay.Attempt] = []
        self.copies: list[tuple[str, str]] = []
        self.copy_results: dict[str, relay.CopyResult] = {}
        self.runs: list[relay.EngineRun] = []
        self.lists: dict[str, list[relay.RunListResult]] = {}
        """Lists of runs by name of the engine; the last one is repeated."""
        self.list_calls = 0
        self.moves: list[tuple[str, str]] = []
        self.move_results: dict[str, relay.MoveResult] = {}
        """Result of moving a run, by name of its engine."""
        self.on_stop: typing.Callable[[], None] | None = None
        """Called when a run is stopped because it is moved."""
        self.on_hang: dict[str, typing.Callable[[], None]] = {}
        """Called instead of an answer, by name of the target."""
        self.on_copy: typing.Callable[[], None] | None = None
        """Called when a copy is made."""
        self.on_send: typing.Callable[[relay.Attempt], None] | None = None

    async def send(self, attempt: relay.Attempt) -> relay.Reply:
        self.attempts.append(attempt)
        if self.on_send is not None:
            self.on_send(attempt)
        name = attempt.target.name
        if name not in self.unsent:
            attempt.on_sent()
        if name in self.on_hang:
            self.on_hang[name]()
            await anyio.sleep_forever()
        try:
            await self._pass(self._take_delay(name))
        except anyio.get_cancelled_exc_class():
            self.cancelled.append(name)
            raise
        return self.replies[name].pop(0)

    def _take_delay(self, name: str) -> float:
        delays = self.delays.get(name, [0.0])
        return delays.pop(0) if len(delays) > 1 else delays[0]

    async def _pass(self, seconds: float) -> None:
        """Let time pass in small steps, in which other tasks run."""
        if self._clock is None or not seconds:
            return
        ends_at = self._clock.now() + seconds
        while self._clock.now() < ends_at:
            await settle()
            left = ends_at - self._clock.now()
            self._clock.advance(min(_STEP_SECONDS, left))
        await settle()

    async def copy_run(
        self,
        request: relay.RelayRequest,
        source: core.Target,
        destination: core.Target,
        deadline: float,
    ) -> relay.CopyResult:
        self.copies.append((source.name, destination.name))
        if self.on_copy is not None:
            self.on_copy()
        done = relay.Copied(f'{source.name}/copy')
        return self.copy_results.get(destination.name, done)

    async def move_run(
        self,
        request: relay.RelayRequest,
        source: core.Target,
        destination: core.Target,
        deadline: float,
    ) -> relay.MoveResult:
        self.moves.append((source.name, destination.name))
        refusal = relay.NotMoved('no capacity')
        result = self.move_results.get(source.name, refusal)
        is_stopped = isinstance(result, relay.Moved | relay.Stopped)
        if is_stopped and self.on_stop is not None:
            self.on_stop()
        return result

    async def list_runs(
        self, target: core.Target, deadline: float
    ) -> relay.RunListResult:
        self.list_calls += 1
        await anyio.lowlevel.checkpoint()
        lists = self.lists.get(target.name)
        if not lists:
            return relay.RunList(list(self.runs))
        return lists.pop(0) if len(lists) > 1 else lists[0]

    def get_backup_reference(
        self, request: relay.RelayRequest, backup: core.EngineTarget
    ) -> str:
        return f'{backup.name}/{request.key}'
