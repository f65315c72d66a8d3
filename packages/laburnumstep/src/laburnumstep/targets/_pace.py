"""Pace of engines, learned from the times between events of their streams."""

from __future__ import annotations

import math
import statistics
import struct
import typing

import attrs

from laburnumstep import core

MAX_GAP_SECONDS = 1.0
"""Longest time between events that counts, in seconds. A preempted run is
silent for about 2 s, which says nothing about the pace of its engine."""
MAX_READ_DELAY_SECONDS = 0.01
"""Longest time that passing on an event may take before the time to the next
one does not count, in seconds. A slow caller delays the next read."""
MAX_STREAM_GAPS = 512
"""Most times between events that are kept for one stream."""
EARLY_GAPS = 20
"""Number of times between events after which a stream is first evaluated."""
MIN_GAPS = 8
"""Smallest number of times between events that are evaluated."""
PRIOR_GAPS = 10.0
"""Weight of the pool's pace, in times between events."""
MAX_GAPS = 400.0
"""Largest weight of an engine's own pace, in times between events."""
HALF_LIFE_SECONDS = 300.0
"""Time after which an observation counts half, in seconds. An engine may
slow down and recover; it is tried again when its values have faded."""
LONGER_PAUSE_WEIGHT = 0.9
"""Weight of a stream with a longer pause than known. With 0.5, several streams
were late on a slow engine before it was known as slow."""
MAX_UNUSUAL_PAUSE = 1.5
"""Bound of the expected pause, relative to that of an engine of the same speed
in the pool. Longer pauses may be delays of a VM."""
SHORTER_PAUSE_WEIGHT = 0.2
"""Weight of a long stream with a shorter pause than known."""
PAUSE_GAPS = 60
"""Times between events from which a stream may show a shorter pause than
known. A shorter stream often sees no prefill of others: such streams, which
are mostly sent to slow engines, made these look fast."""
PRIOR_SECONDS = 1.0
"""How long the pace of a pool is kept before it is computed again, in
seconds."""
MIN_SPEED = 0.4
"""Lower bound of a relative speed. Speeds of 0.55 to 2.2 were seen."""
MAX_SPEED = 2.5
"""Upper bound of a relative speed."""
PUBLISHED_CHANGE = 0.1
"""Smallest relative change that is published to siblings."""
EXPIRY_SECONDS = 240.0
"""Time after which a published value expires, in seconds."""
MIN_TOKEN_SECONDS = 0.0002
"""Shortest time of one token that is accepted, in seconds."""
MAX_TOKEN_SECONDS = 1.0
"""Longest time of one token that is accepted, in seconds."""
MAX_ENGINES = 4096
"""Most engines of which the pace is known."""
MAX_FORGOTTEN = 4096
"""Most engines of which the time of a restart is remembered."""
_SAMPLE = struct.Struct('<ffH')


@attrs.frozen
class PaceSample:
    """What one stream has shown about the pace of its engine."""

    gaps: int
    """Number of times between events."""
    token_seconds: float
    """Median time of one token, in seconds."""
    pause_seconds: float
    """Second longest time between events, in seconds. The longest one may be
    a delay of this VM; a prefill beside a stream lasts several events."""


@attrs.frozen
class Pace:
    """Expected pace of an engine."""

    speed: float = 1.0
    """Speed relative to the other engines of its model."""
    token_seconds: float | None = None
    """Expected time of one token, in seconds; None if unknown."""
    pause_seconds: float | None = None
    """Expected longest time between two events of a stream beside which
    prompts are prefilled, in seconds; None if unknown."""


@attrs.define
class GapRecorder:
    """Times between the events of one run, as they arrive at this VM."""

    _last_arrival: float | None = None
    _gaps: list[float] = attrs.field(factory=list)
    _tokens_per_event: int = 1

    @property
    def count(self) -> int:
        """Number of times between events."""
        return len(self._gaps)

    def record(self, read_at: float, now: float, tokens: list[int]) -> None:
        """Record the arrival of events.

        Times that the VM itself or a slow caller may have caused are left
        out: those before a late read, and those of events that were read
        together.

        Args:
            read_at: When the read of the events began, in epoch seconds.
            now: When it returned, in epoch seconds.
            tokens: Number of tokens of each event.
        """
        last, self._last_arrival = self._last_arrival, now
        if last is None or len(tokens) != 1:
            return
        gap = now - last
        if read_at - last > MAX_READ_DELAY_SECONDS or gap > MAX_GAP_SECONDS:
            return
        if len(self._gaps) < MAX_STREAM_GAPS:
            self._gaps.append(gap)
            self._tokens_per_event = max(1, tokens[0])

    def evaluate(self) -> PaceSample | None:
        """Return what the stream has shown, or None after too few events."""
        count = len(self._gaps)
        if count < MIN_GAPS:
            return None
        gaps = sorted(self._gaps)
        token_seconds = gaps[count // 2] / self._tokens_per_event
        if not MIN_TOKEN_SECONDS <= token_seconds <= MAX_TOKEN_SECONDS:
            return None
        return PaceSample(count, token_seconds, gaps[-2])


@attrs.define
class _Estimate:
    """Pace of one engine with the weight and age of its observations."""

    token_seconds: float
    pause_seconds: float
    gaps: float
    updated_at: float
    pause_trust: float
    """How much the pause counts against that expected of the pool."""
    paused_at: float
    """When the pause was observed last, in epoch seconds."""

    def weigh(self, now: float) -> float:
        """Return the weight, which halves every `HALF_LIFE_SECONDS`."""
        return self.gaps * _fade(now - self.updated_at)

    def merge(self, sample: PaceSample, now: float) -> None:
        """Add the observations of one stream."""
        weight = self.weigh(now)
        fraction = sample.gaps / (sample.gaps + weight)
        self.token_seconds += fraction * (
            sample.token_seconds - self.token_seconds
        )
        self.gaps = min(MAX_GAPS, weight + sample.gaps)
        self.updated_at = now
        longer = sample.pause_seconds > self.pause_seconds
        if longer or sample.gaps >= PAUSE_GAPS:
            share = LONGER_PAUSE_WEIGHT if longer else SHORTER_PAUSE_WEIGHT
            share = max(share, 1.0 - self.pause_trust)
            self.pause_seconds += share * (
                sample.pause_seconds - self.pause_seconds
            )
            self.pause_trust = 1.0
            self.paused_at = now

    def expect_pause(self, usual: float, now: float) -> float:
        """Return the expected pause, in seconds.

        Args:
            usual: Pause of an engine of this speed, in seconds.
            now: Current time, in epoch seconds.
        """
        trust = self.pause_trust * _fade(now - self.paused_at)
        known = min(self.pause_seconds, MAX_UNUSUAL_PAUSE * usual)
        return usual + trust * (known - usual)


@attrs.frozen
class _Prior:
    """Median pace of the engines of one pool."""

    computed_at: float
    token_seconds: float | None = None
    pause_seconds: float = 0.0


SampleListener = typing.Callable[[str, PaceSample], None]


class EnginePaces:
    """Pace of the engines, learned by this VM and its siblings."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}
        self._priors: dict[str, _Prior] = {}
        self._forgotten_at: dict[str, float] = {}
        self._listeners: list[SampleListener] = []

    def subscribe(self, listener: SampleListener) -> None:
        """Add a listener for own samples that siblings should know."""
        self._listeners.append(listener)

    def observe(
        self,
        engine: str,
        sample: PaceSample,
        now: float,
        gap_seconds: float | None = None,
    ) -> None:
        """Add what a stream of this VM has shown.

        Args:
            engine: Name of the engine.
            sample: What the stream has shown.
            now: Current time, in epoch seconds.
            gap_seconds: Objective of the time between events, if any.
        """
        news = self._is_news(engine, sample, now, gap_seconds)
        self._merge(engine, sample, now)
        if news:
            for listener in self._listeners:
                listener(engine, sample)

    def apply(
        self, engine: str, sample: PaceSample, measured_at: float, now: float
    ) -> None:
        """Add what a sibling has learned.

        Args:
            engine: Name of the engine.
            sample: What a stream of the sibling has shown.
            measured_at: When the sibling published it, in epoch seconds. A
                value from before a restart of the engine is ignored.
            now: Current time, in epoch seconds.
        """
        if measured_at > self._forgotten_at.get(engine, 0.0):
            self._merge(engine, sample, now)

    def forget(self, engine: str, now: float) -> None:
        """Discard the pace of an engine that has started anew."""
        self._estimates.pop(engine, None)
        core.put_bounded(self._forgotten_at, engine, now, MAX_FORGOTTEN)

    def drop(self, engine: str) -> None:
        """Discard the pace of an engine that is no longer declared."""
        self._estimates.pop(engine, None)

    def estimate(
        self,
        engine: str,
        pool_key: str,
        pool: typing.Iterable[str],
        now: float,
    ) -> Pace:
        """Return the expected pace of an engine.

        Args:
            engine: Name of the engine.
            pool_key: Key of its pool.
            pool: Names of the engines of the pool.
            now: Current time, in epoch seconds.
        """
        prior = self._find_prior(pool_key, pool, now)
        if prior.token_seconds is None:
            return Pace()
        own = self._estimates.get(engine)
        if own is None:
            return Pace(1.0, prior.token_seconds, prior.pause_seconds)
        weight = own.weigh(now)
        trust = weight / (weight + PRIOR_GAPS)
        seconds = prior.token_seconds + trust * (
            own.token_seconds - prior.token_seconds
        )
        speed = prior.token_seconds / seconds
        # Steps with a prefill scale with the speed of the engine as the
        # others do, so a slow engine is expected to pause for longer before
        # a stream has shown it.
        pause = own.expect_pause(prior.pause_seconds / speed, now)
        return Pace(min(MAX_SPEED, max(MIN_SPEED, speed)), seconds, pause)

    def _find_prior(
        self, pool_key: str, pool: typing.Iterable[str], now: float
    ) -> _Prior:
        prior = self._priors.get(pool_key)
        if prior is not None and now < prior.computed_at + PRIOR_SECONDS:
            return prior
        known = [
            estimate
            for name in pool
            if (estimate := self._estimates.get(name)) is not None
        ]
        prior = _Prior(now)
        if known:
            prior = _Prior(
                now,
                statistics.median(item.token_seconds for item in known),
                statistics.median(item.pause_seconds for item in known),
            )
        self._priors[pool_key] = prior
        return prior

    def _merge(self, engine: str, sample: PaceSample, now: float) -> None:
        known = self._estimates.get(engine)
        if known is not None:
            known.merge(sample, now)
            return
        if len(self._estimates) >= MAX_ENGINES:
            del self._estimates[next(iter(self._estimates))]
        self._estimates[engine] = _Estimate(
            sample.token_seconds,
            sample.pause_seconds,
            min(MAX_GAPS, float(sample.gaps)),
            now,
            min(1.0, sample.gaps / PAUSE_GAPS),
            now,
        )

    def _is_news(
        self,
        engine: str,
        sample: PaceSample,
        now: float,
        gap_seconds: float | None,
    ) -> bool:
        """Return whether siblings should know a sample.

        A pause on the other side of the stream's objective is published
        even if it differs little from the known one.
        """
        known = self._estimates.get(engine)
        if known is None or now > known.updated_at + EXPIRY_SECONDS / 2:
            return True
        if _differs(sample.token_seconds, known.token_seconds):
            return True
        pause, known_pause = sample.pause_seconds, known.pause_seconds
        if pause < known_pause and sample.gaps < PAUSE_GAPS:
            return False
        if _differs(pause, known_pause):
            return True
        return gap_seconds is not None and (
            (pause > gap_seconds) != (known_pause > gap_seconds)
        )


def encode_sample(sample: PaceSample) -> bytes:
    """Encode a sample for siblings, in 10 bytes."""
    return _SAMPLE.pack(
        sample.token_seconds, sample.pause_seconds, sample.gaps
    )


def decode_sample(data: bytes) -> PaceSample:
    """Decode a sample of a sibling.

    Raises:
        ValueError: The bytes are not a sample, or a value is out of range.
    """
    if len(data) != _SAMPLE.size:
        raise ValueError(f'a sample has {_SAMPLE.size} bytes, not {len(data)}')
    token_seconds, pause_seconds, gaps = _SAMPLE.unpack(data)
    if not MIN_TOKEN_SECONDS <= token_seconds <= MAX_TOKEN_SECONDS:
        raise ValueError(f'{token_seconds} s is no time of a token')
    if not 0.0 <= pause_seconds <= MAX_GAP_SECONDS:
        raise ValueError(f'{pause_seconds} s is no pause')
    if not MIN_GAPS <= gaps <= MAX_STREAM_GAPS:
        raise ValueError(f'{gaps} events are too few or too many')
    return PaceSample(gaps, token_seconds, pause_seconds)


def _fade(age: float) -> float:
    """Return the weight of an observation of some age, in seconds."""
    return float(0.5 ** (max(0.0, age) / HALF_LIFE_SECONDS))


def _differs(value: float, known: float) -> bool:
    return not math.isclose(value, known, rel_tol=PUBLISHED_CHANGE)
