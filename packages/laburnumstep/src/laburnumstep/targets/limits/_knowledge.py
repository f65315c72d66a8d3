"""The limits that targets have named, as one VM knows them."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep.targets.limits import _cold
from laburnumstep.targets.limits import _pacing
from laburnumstep.targets.limits import _words

LIMIT_SECONDS = 60.0
"""How long a limit is known after it was last named, in seconds. A limited
target that is wanted gets a request, and names its limit, at least every ten
seconds."""

_LOGGER = core.get_logger('targets')


@attrs.frozen
class KnownLimit:
    """The last that is known about the limit of a target."""

    rate: float | None
    """Requests a second from all VMs together; None if the target has ended
    its limit."""
    named_at: float
    """When an answer that said so arrived, in epoch seconds."""

    def describe(self) -> str:
        """Return the rate for a log line."""
        return 'none' if self.rate is None else f'{self.rate:g}'


UNNAMED_AT = 0.0
"""Time at which a limit was named that its target has not named, but that
follows from its cold time. Other VMs do not keep it."""

Listener = typing.Callable[[str, KnownLimit], None]


class TargetLimits:
    """Remembers the limit that each target has named last.

    Args:
        clock: Clock of the answers.
        metrics: Receives the number of limited targets.
        cold: The targets that are limited because they are cold.
    """

    def __init__(
        self,
        clock: core.Clock,
        metrics: core.Metrics,
        cold: _cold.ColdTargets | None = None,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        if cold is None:
            cold = _cold.ColdTargets(clock, metrics)
        self._cold = cold
        self._cold.subscribe(self._handle_cold)
        self._known: dict[str, KnownLimit] = {}
        self._begins: dict[str, float] = {}
        self._change_listeners: list[Listener] = []
        self._answer_listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> None:
        """Call a listener with each limit that begins, changes or ends."""
        self._change_listeners.append(listener)

    def subscribe_answers(self, listener: Listener) -> None:
        """Call a listener with each change that an answer to this VM names."""
        self._answer_listeners.append(listener)

    @property
    def cold(self) -> _cold.ColdTargets:
        """The targets that are limited because they are cold."""
        return self._cold

    def find(self, target: str) -> KnownLimit | None:
        """Return the limit of a target, or its end; None if nothing is known.

        Of a limit that the target has named and that of its cold time, this
        is the lower one.
        """
        known = self._known.get(target)
        cold_rate = self._cold.find_rate(target)
        if cold_rate is None:
            return known
        if known is not None and known.rate is not None:
            if known.rate <= cold_rate and not self._has_expired(known):
                return known
        return KnownLimit(cold_rate, UNNAMED_AT)

    def find_pacing(self, target: str) -> _pacing.Pacing:
        """Return how strictly the limit of a target is kept."""
        if self._cold.find_rate(target) is not None:
            return _pacing.COLD_PACING
        return _pacing.NAMED_PACING

    def find_begin(self, target: str) -> float:
        """Return when this VM learned that a target has a limit.

        Args:
            target: Name of a limited target.

        Returns:
            The time in epoch seconds; 0 if the target has no limit.
        """
        return self._begins.get(target, 0.0)

    def find_rate(self, target: str) -> float | None:
        """Return the rate of a target, in requests a second.

        None stands for a target without a limit.
        """
        named = self._find_named_rate(target)
        cold = self._cold.find_rate(target)
        if named is None or cold is None:
            return cold if named is None else named
        return min(named, cold)

    def _find_named_rate(self, target: str) -> float | None:
        known = self._known.get(target)
        if known is None:
            return None
        if self._has_expired(known):
            self.forget(target)
            return None
        return known.rate

    def drop_expired(self) -> None:
        """Forget the limits that have not been named for a long time."""
        self._cold.drop_ended()
        for target, known in list(self._known.items()):
            if self._has_expired(known):
                self.forget(target)

    def record_answer(
        self, target: str, word: _words.LimitWord, sent_at: float
    ) -> None:
        """Record what an answer to this VM says about its target's limit.

        An answer without a limit ends one only if its request was sent after
        the limit was last named: answers on several connections may overtake
        each other. A limit that cannot be read changes nothing.

        Args:
            target: Name of the target.
            word: What the answer says.
            sent_at: When its request was sent, in epoch seconds.
        """
        known = self._known.get(target)
        match word:
            case _words.NoLimit():
                limited = known is not None and known.rate is not None
                if known is None or not limited or sent_at <= known.named_at:
                    return
                rate = None
            case _words.RateLimit():
                rate = word.rate
            case _words.UnreadableLimit():
                _LOGGER.warning(
                    'target names a limit that cannot be read; target=%s'
                    ' value=%r',
                    target,
                    word.text,
                )
                return
            case _:
                typing.assert_never(word)
        named = KnownLimit(rate, self._clock.now())
        if self._apply(target, named, 'answer'):
            for listener in self._answer_listeners:
                listener(target, named)

    def record_header(
        self, target: str, headers: dict[str, str], sent_at: float
    ) -> None:
        """Record what the headers of an answer say about a target's limit.

        Args:
            target: Name of the target.
            headers: Headers by name in lower case.
            sent_at: When its request was sent, in epoch seconds.
        """
        value = headers.get(_words.LIMIT_HEADER)
        values = [] if value is None else [value]
        self.record_answer(target, _words.parse_limit(values), sent_at)

    def merge(self, target: str, named: KnownLimit, source: str) -> None:
        """Record what another VM has learned, unless it is older.

        Args:
            target: Name of the target.
            named: The limit and when it was named.
            source: Name of the VM, for the log.
        """
        known = self._known.get(target)
        if known is not None and named.named_at <= known.named_at:
            return
        now = self._clock.now()
        if now >= named.named_at + LIMIT_SECONDS:
            return
        bounded = attrs.evolve(named, named_at=min(named.named_at, now))
        self._apply(target, bounded, source)

    def forget(self, target: str) -> None:
        """Forget the limit of a target, which was removed or started anew."""
        known = self._known.pop(target, None)
        if known is None or known.rate is None:
            return
        self._begins.pop(target, None)
        ended = KnownLimit(None, self._clock.now())
        self._log_change(target, known, ended, 'expiry or restart')
        self._notify(target, ended)

    def _has_expired(self, known: KnownLimit) -> bool:
        return self._clock.now() >= known.named_at + LIMIT_SECONDS

    def _apply(self, target: str, named: KnownLimit, source: str) -> bool:
        """Replace what is known; return whether the rate has changed."""
        known = self._known.get(target)
        self._known[target] = named
        rate = known.rate if known is not None else None
        if rate == named.rate:
            return False
        if named.rate is None:
            self._begins.pop(target, None)
        else:
            self._begins.setdefault(target, self._clock.now())
        self._log_change(target, known, named, source)
        self._notify(target, named)
        return True

    def _log_change(
        self,
        target: str,
        known: KnownLimit | None,
        named: KnownLimit,
        source: str,
    ) -> None:
        _LOGGER.info(
            'limit of a target; target=%s rate=%s before=%s source="%s"',
            target,
            named.describe(),
            known.describe() if known is not None else 'none',
            source,
        )

    def _handle_cold(self, target: str) -> None:
        rate = self.find_rate(target)
        self._notify(target, KnownLimit(rate, self._clock.now()))

    def _notify(self, target: str, named: KnownLimit) -> None:
        if self._cold.find_rate(target) is not None:
            named = attrs.evolve(named, rate=self.find_rate(target))
        limited = sum(item.rate is not None for item in self._known.values())
        self._metrics.set_gauge('targets.limited', limited)
        for listener in self._change_listeners:
            listener(target, named)
