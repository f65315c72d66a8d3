"""A fleet of engines of different speeds that prefill beside streams.

An engine computes steps: one token for each running request and a chunk of
the first prompt that waits. A step beside a prefill takes longer, so streams
pause for longer on a slow engine. VMs know late reports, the sends of the
others and, unless they ignore it, the pace of the engines.
"""

from __future__ import annotations

import heapq
import random
import typing

import attrs

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import targets
from support import fleets

STEP_SECONDS = 0.007
STEP_SECONDS_PER_RUN = 0.0003
CHUNK_TOKENS = 256
TOKENS_PER_EVENT = 4
KV_TOKENS = 27_000
GAP_SECONDS = 0.18
FIRST_SECONDS = 1.5
SHORT_FRACTION = 0.6
LONG_EVENTS = 40
REPORT_SECONDS = 0.25
REPORT_DELAY_SECONDS = 0.5


@attrs.define(eq=False)
class Run:
    """A request on an engine, with what its caller sees."""

    prompt_tokens: int
    events: int
    sent_at: float
    vm: int
    engine: str
    send: targets.Send
    gaps: targets.GapRecorder
    unread: int = 0
    tokens: int = 0
    last_event_at: float = 0.0
    first_seconds: float = 0.0
    longest_pause: float = 0.0

    @property
    def is_long(self) -> bool:
        return self.events >= LONG_EVENTS

    @property
    def is_late(self) -> bool:
        """Whether it missed one of its objectives."""
        late = self.first_seconds > FIRST_SECONDS
        return late or self.longest_pause > GAP_SECONDS


@attrs.define(eq=False)
class Engine:
    """An engine that computes one step after another."""

    name: str
    speed: float
    running: list[Run] = attrs.field(factory=list)
    waiting: list[Run] = attrs.field(factory=list)

    def count_tokens(self) -> int:
        return sum(run.prompt_tokens + run.tokens for run in self.running)

    def compute_step(self) -> float:
        """Start a step; return its duration in seconds, 0 if idle."""
        if not self.running and not self.waiting:
            return 0.0
        seconds = STEP_SECONDS + STEP_SECONDS_PER_RUN * len(self.running)
        if self.waiting:
            chunk = min(CHUNK_TOKENS, self.waiting[0].unread)
            self.waiting[0].unread -= chunk
            seconds += chunk / fleets.PREFILL_TOKENS_PER_SECOND
        return seconds / self.speed

    def end_step(self, now: float) -> tuple[list[Run], list[Run]]:
        """Return the runs with a new event and those that have ended."""
        produced, ended = [], []
        for run in list(self.running):
            run.tokens += 1
            if run.tokens % TOKENS_PER_EVENT == 0:
                produced.append(run)
            if run.tokens >= run.events * TOKENS_PER_EVENT:
                ended.append(run)
                self.running.remove(run)
        if self.waiting and self.waiting[0].unread <= 0:
            self.running.append(self.waiting.pop(0))
        return produced, ended


class PaceLoad:
    """Requests of many VMs to engines of different speeds.

    Args:
        speeds: Relative speed of each engine.
        vms: Number of VMs.
        rate: Requests a second of all VMs.
        informed: Whether VMs use the objectives and the pace.
        seed: Seed of the arrivals and choices.
    """

    def __init__(
        self,
        speeds: list[float],
        vms: int,
        rate: float,
        informed: bool,
        seed: int,
    ) -> None:
        self._clock = core.ManualClock()
        self._rng = random.Random(seed)
        self._rate = rate
        self._informed = informed
        self._engines = {
            f'engine-{number}': Engine(f'engine-{number}', speed)
            for number, speed in enumerate(speeds)
        }
        deployment = fleets.make_deployment(len(speeds), KV_TOKENS)
        self._views = fleets.make_views(self._clock, deployment, vms)
        for view in self._views:
            view.paces.subscribe(self._make_publisher(view))
        self._lengths = targets.LengthEstimator()
        self._events: list[tuple[float, int, typing.Any]] = []
        self._count = 0
        self._busy: set[str] = set()
        self.ended: list[Run] = []

    def run(self, seconds: float, warm_up: float) -> list[Run]:
        """Return the requests that were sent after the warm-up."""
        start = self._clock.now()
        self._schedule(start, self._arrive)
        self._schedule(start, self._report)
        while self._events and self._events[0][0] < start + seconds:
            due, _, action = heapq.heappop(self._events)
            self._clock.advance(max(0.0, due - self._clock.now()))
            action()
        return [run for run in self.ended if run.sent_at >= start + warm_up]

    def _make_publisher(
        self, source: targets.FleetView
    ) -> typing.Callable[[str, targets.PaceSample], None]:
        def publish(engine: str, sample: targets.PaceSample) -> None:
            now = self._clock.now()
            for view in self._views:
                if view is not source:
                    view.paces.apply(engine, sample, now, now)

        return publish

    def _schedule(self, due: float, action: typing.Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (due, self._count, action))

    def _report(self) -> None:
        now = self._clock.now()
        reports = {
            name: fleets.make_report(
                now,
                len(engine.running),
                engine.count_tokens(),
                KV_TOKENS,
                waiting=len(engine.waiting),
            )
            for name, engine in self._engines.items()
        }

        def apply() -> None:
            for view in self._views:
                for name, report in reports.items():
                    view.record_report(name, report)

        self._schedule(now + REPORT_DELAY_SECONDS, apply)
        self._schedule(now + REPORT_SECONDS, self._report)

    def _arrive(self) -> None:
        now = self._clock.now()
        index = self._rng.randrange(len(self._views))
        short = self._rng.random() < SHORT_FRACTION
        events = (
            self._rng.randint(2, 24) if short else self._rng.randint(100, 190)
        )
        prompt = self._rng.randint(2500, 3100)
        self._place(index, prompt, events, now)
        delay = self._rng.expovariate(self._rate)
        self._schedule(now + delay, self._arrive)

    def _place(self, index: int, prompt: int, events: int, now: float) -> None:
        view = self._views[index]
        objectives = targets.Objectives()
        if self._informed:
            objectives = targets.Objectives(FIRST_SECONDS, GAP_SECONDS)
        tokens = float(events * TOKENS_PER_EVENT)
        request = fleets.make_request(
            prompt_tokens=prompt, hinted_tokens=tokens, objectives=objectives
        )
        preference = targets.find_preference(view, request, self._lengths)
        names = targets.sample_engines(
            view,
            fleets.MODEL,
            frozenset(),
            callers.LOCAL_CANDIDATES + callers.REMOTE_CANDIDATES,
            0,
            self._rng,
            preference=preference,
        )
        placed = targets.choose_engine(
            view,
            attrs.evolve(request, candidates=names),
            self._lengths,
            core.PolicyWeights(stall=0.0, preemption=0.0, tail=1.0),
            self._rng,
        )
        name = (
            placed.target if isinstance(placed, targets.Placed) else names[0]
        )
        send = view.begin(
            name,
            f'g-{self._count}',
            'w',
            fleets.MODEL,
            prompt,
            tokens,
            hinted_tokens=tokens,
            gap_seconds=objectives.gap_seconds,
        )
        announced = targets.SiblingSend(
            now, prompt, (), objectives.gap_seconds, tokens
        )
        for other in self._views:
            if other is not view:
                other.record_sibling_send(name, announced)
        run = Run(
            prompt, events, now, index, name, send, targets.GapRecorder()
        )
        run.unread = prompt
        run.last_event_at = now
        self._engines[name].waiting.append(run)
        self._start_step(name)

    def _start_step(self, name: str) -> None:
        if name in self._busy:
            return
        seconds = self._engines[name].compute_step()
        if seconds > 0:
            self._busy.add(name)
            due = self._clock.now() + seconds
            self._schedule(due, lambda: self._end_step(name))

    def _end_step(self, name: str) -> None:
        now = self._clock.now()
        self._busy.discard(name)
        produced, ended = self._engines[name].end_step(now)
        for run in produced:
            self._record_event(run, now)
        for run in ended:
            view = self._views[run.vm]
            sample = run.gaps.evaluate()
            if self._informed and sample is not None:
                view.paces.observe(name, sample, now, GAP_SECONDS)
            view.end(run.send)
            self.ended.append(run)
        self._start_step(name)

    def _record_event(self, run: Run, now: float) -> None:
        pause = now - run.last_event_at
        if run.tokens == TOKENS_PER_EVENT:
            run.first_seconds = pause
        else:
            run.longest_pause = max(run.longest_pause, pause)
        run.gaps.record(run.last_event_at, now, [TOKENS_PER_EVENT])
        run.last_event_at = now
        self._views[run.vm].record_tokens(run.send, TOKENS_PER_EVENT)


def measure_late(
    informed: bool, seed: int, seconds: float = 60.0, warm_up: float = 20.0
) -> tuple[float, float, float]:
    """Return how many requests are late.

    Args:
        informed: Whether VMs use the objectives and the pace.
        seed: Seed of the arrivals and choices.
        seconds: Length of the run.
        warm_up: Time after which requests count.

    Returns:
        Share of late long streams, share of late short ones and mean time
        to the first event, in seconds.
    """
    rng = random.Random(seed)
    speeds = [0.55] * 4 + [rng.uniform(0.8, 2.2) for _ in range(12)]
    load = PaceLoad(speeds, 16, 14.0, informed, seed)
    runs = load.run(seconds, warm_up)
    shares = []
    for is_long in (True, False):
        chosen = [run for run in runs if run.is_long == is_long]
        shares.append(sum(run.is_late for run in chosen) / len(chosen))
    first = sum(run.first_seconds for run in runs) / len(runs)
    return shares[0], shares[1], first
