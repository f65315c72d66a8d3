"""Targets that have started a short time ago and take few requests."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep.targets.limits import _words

COLD_FRACTION = 0.8
"""Fraction of the rate of a cold target at which permits are issued. The rest
is for requests that arrive together and for two VMs that issue permits."""
RAMP_FACTOR = 16.0
"""Rate at the end of the ramp after the cold time, as a multiple of the rate
before it. The limit ends there."""
MAX_COLD_SECONDS = 600.0
"""Longest cold time, in seconds."""
MAX_RAMP_SECONDS = 600.0
"""Longest ramp after the cold time, in seconds."""
MAX_REMEMBERED = 10_000
"""Most targets whose newest entry is remembered."""
CHANGE_SECONDS = 2.0
"""Change of the end of a cold time that is logged, in seconds. Renewals of an
entry are read with different delays."""

_LOGGER = core.get_logger('targets')

Listener = typing.Callable[[str], None]
AnswerListener = typing.Callable[[str, float], None]


@attrs.frozen
class ColdStart:
    """What the targets of a service take while they are cold."""

    per_second: float
    """Requests a second, from all VMs together."""
    ramp_seconds: float
    """Time over which the rate rises after the cold time, in seconds."""


@attrs.frozen
class ColdEntry:
    """What a target's entry says about its cold time."""

    service: str
    """Name of the service."""
    started_at: int
    """Start of the target, in epoch milliseconds."""
    renewals: int
    """Number of times that it has written its entry since."""
    seconds: float | None
    """How long it stays cold, in seconds; None if the entry does not say."""


@attrs.define
class _Period:
    """The cold time of one target."""

    until: float
    """Its end, in epoch seconds."""
    known_at: float
    """When this VM learned of it last, in epoch seconds."""


class ColdTargets:
    """Remembers which targets are cold, and until when.

    A target is limited to the rate of its service until the end of its cold
    time. Then the rate rises exponentially, so that not all VMs turn to the
    target at once, and the limit ends.

    Args:
        clock: Clock of the cold times.
        metrics: Receives the number of cold targets.
    """

    def __init__(self, clock: core.Clock, metrics: core.Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._starts: dict[str, ColdStart] = {}
        self._entries: dict[str, ColdEntry] = {}
        self._periods: dict[str, _Period] = {}
        self._limited: set[str] = set()
        self._listeners: list[Listener] = []
        self._answer_listeners: list[AnswerListener] = []

    def subscribe(self, listener: Listener) -> None:
        """Call a listener with each target whose rate begins or ends."""
        self._listeners.append(listener)

    def subscribe_answers(self, listener: AnswerListener) -> None:
        """Call a listener with each cold time that an answer tells first.

        It gets the name of the target and the end of its cold time.
        """
        self._answer_listeners.append(listener)

    def apply_starts(self, starts: dict[str, ColdStart]) -> None:
        """Apply the rates of a configuration.

        Args:
            starts: What cold targets take, by name of the service; services
                whose targets are not limited are left out.
        """
        if starts == self._starts:
            return
        self._starts = dict(starts)
        for target in list(self._periods):
            self._notify(target)

    def apply_entry(self, target: str, entry: ColdEntry) -> None:
        """Apply an entry of a target, unless it is older than the last one.

        Args:
            target: Name of the target.
            entry: What the entry says.
        """
        known = self._entries.get(target)
        if known is not None:
            order = (entry.started_at, entry.renewals)
            if order < (known.started_at, known.renewals):
                return
            if entry.started_at > known.started_at:
                self._end(target)
        core.put_bounded(self._entries, target, entry, MAX_REMEMBERED)
        if entry.seconds is not None:
            self._apply(target, entry.seconds)

    def record_answer(
        self, target: str, seconds: float, sent_at: float
    ) -> None:
        """Apply what an answer says about the cold time of its target.

        An answer that was on its way when the target became cold anew does
        not end the new cold time.

        Args:
            target: Name of the target.
            seconds: How long it stays cold, in seconds.
            sent_at: When its request was sent, in epoch seconds.
        """
        period = self._periods.get(target)
        until = self._clock.now() + seconds
        if period is not None:
            if until < period.until and sent_at < period.known_at:
                return
        known_until = period.until if period is not None else 0.0
        self._apply(target, seconds)
        if seconds > 0.0 and until >= known_until + CHANGE_SECONDS:
            for listener in self._answer_listeners:
                listener(target, until)

    def merge(self, target: str, until: float) -> None:
        """Record a cold time that another VM has learned of.

        Args:
            target: Name of the target.
            until: Its end, in epoch seconds.
        """
        seconds = until - self._clock.now()
        period = self._periods.get(target)
        if 0.0 < seconds <= MAX_COLD_SECONDS:
            if period is None or until > period.until:
                self._apply(target, seconds)

    def find_rate(self, target: str) -> float | None:
        """Return the permits a second of a target that is cold, or was.

        None stands for a target that is not limited by its cold time.
        """
        period = self._periods.get(target)
        if period is None:
            return None
        start = self._find_start(target)
        if start is None:
            return None
        rate = COLD_FRACTION * start.per_second
        warm_seconds = self._clock.now() - period.until
        if warm_seconds >= start.ramp_seconds:
            self._end(target)
            return None
        if warm_seconds > 0.0:
            rate *= RAMP_FACTOR ** (warm_seconds / start.ramp_seconds)
        return min(max(rate, _words.MIN_RATE), _words.MAX_RATE)

    def drop_ended(self) -> None:
        """Forget the targets whose limit has ended."""
        oldest = self._clock.now() - MAX_RAMP_SECONDS
        for target, period in list(self._periods.items()):
            if self.find_rate(target) is None and period.until < oldest:
                self._periods.pop(target, None)

    def _find_start(self, target: str) -> ColdStart | None:
        entry = self._entries.get(target)
        return self._starts.get(entry.service) if entry is not None else None

    def _apply(self, target: str, seconds: float) -> None:
        now = self._clock.now()
        period = self._periods.get(target)
        if period is None:
            if seconds <= 0.0:
                return
            self._periods[target] = _Period(now + seconds, now)
            self._notify(target)
            return
        moved = now + seconds - period.until
        if seconds <= 0.0:
            # The ramp that has begun goes on.
            moved = min(moved, 0.0)
        period.known_at = now
        period.until += moved
        if abs(moved) >= CHANGE_SECONDS:
            self._notify(target)

    def _end(self, target: str) -> None:
        if self._periods.pop(target, None) is not None:
            self._notify(target)

    def _notify(self, target: str) -> None:
        """Announce a target whose limit begins, changes or ends."""
        period = self._periods.get(target)
        start = self._find_start(target)
        if period is not None and start is not None:
            self._limited.add(target)
            permits = COLD_FRACTION * start.per_second
            seconds = period.until - self._clock.now()
        elif target in self._limited:
            self._limited.discard(target)
            permits, seconds = 0.0, 0.0
        else:
            return
        _LOGGER.info(
            'cold target; target=%s permits=%g seconds=%.1f',
            target,
            permits,
            seconds,
        )
        self._metrics.set_gauge('targets.cold', len(self._limited))
        for listener in self._listeners:
            listener(target)
