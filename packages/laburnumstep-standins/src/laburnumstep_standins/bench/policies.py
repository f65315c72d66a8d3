"""Interface of the routing policies and the baseline policies."""

from __future__ import annotations

import abc
import hashlib
import itertools
import typing

import attrs

from laburnumstep_standins import engine

if typing.TYPE_CHECKING:
    import random

    from laburnumstep_standins.bench import workload


@attrs.frozen
class CacheEvent:
    """A change of the prefix cache of an engine."""

    seq: int
    """Sequence number of the event."""
    kind: str
    """`stored` or `evicted`."""
    prefix: str
    """Digest of the prefix that was stored or evicted."""


@attrs.define(eq=False)
class TargetView:
    """Last observed state of a target at one VM."""

    name: str
    """Name of the target."""
    address: str
    """IP number and port."""
    report: dict[str, typing.Any] | None = None
    """Last load report, as decoded JSON; None before the first."""
    reachable: bool = True
    """Whether the last poll or attempt succeeded."""
    prefixes: set[str] = attrs.field(factory=set)
    """Prefixes that the engine probably caches; its events are delayed."""
    next_event: int = 0
    """Sequence number of the next cache event to read."""


@attrs.frozen
class Attempt:
    """One try of a request, for which a target is chosen."""

    request: workload.Request
    """The request that is tried."""
    generation: str
    """Id of the generation to start."""
    deadline: float
    """Time after which the answer is useless, in epoch seconds."""
    excluded: frozenset[str]
    """Targets on which earlier attempts failed."""


@attrs.frozen
class Send:
    """The attempt is sent to a target now."""

    target: str
    """Name of the target."""


@attrs.frozen
class Wait:
    """The policy is called again for the request later."""

    until: float
    """Time of the next decision, in epoch seconds."""


@attrs.frozen
class Refuse:
    """The request is refused, and the caller resends it later."""

    resend_at: float
    """Time of the resend, in epoch seconds."""


Choice = Send | Wait | Refuse
View = typing.Mapping[str, TargetView]


class Policy(typing.Protocol):
    """Routes the requests of one VM."""

    async def choose(self, attempt: Attempt, view: View) -> Choice:
        """Choose a target for an attempt, at once or after waiting."""

    def record_tokens(self, attempt: Attempt, count: int) -> None:
        """Record tokens that an attempt has produced."""

    def record_end(self, attempt: Attempt, complete: bool) -> None:
        """Record the end of an attempt that was sent.

        Args:
            attempt: The attempt that ended.
            complete: Whether the whole answer was received.
        """

    def record_target_state(
        self, target: TargetView, events: list[CacheEvent], now: float
    ) -> None:
        """Record the state of a target after a poll or a failed attempt.

        Args:
            target: The target, with its last report and whether it is
                reachable.
            events: New cache events of the target.
            now: Time of the observation, in epoch seconds.
        """


class Baseline(abc.ABC):
    """A policy without state of its attempts that always sends at once."""

    async def choose(self, attempt: Attempt, view: View) -> Choice:
        """Choose a target, preferably a reachable one that is not excluded.

        Without a reachable one, all targets that are not excluded are
        candidates; without any of these, all targets are.
        """
        usable = [t for t in view.values() if t.name not in attempt.excluded]
        reachable = [target for target in usable if target.reachable]
        candidates = reachable or usable or list(view.values())
        return Send(self.choose_candidate(attempt, candidates).name)

    @abc.abstractmethod
    def choose_candidate(
        self, attempt: Attempt, candidates: list[TargetView]
    ) -> TargetView:
        """Return the candidate to send an attempt to."""

    def record_tokens(self, attempt: Attempt, count: int) -> None:
        """Do nothing."""

    def record_end(self, attempt: Attempt, complete: bool) -> None:
        """Do nothing."""

    def record_target_state(
        self, target: TargetView, events: list[CacheEvent], now: float
    ) -> None:
        """Do nothing."""


class RoundRobin(Baseline):
    """Chooses the targets in turn, starting with a random one."""

    def __init__(self, rng: random.Random) -> None:
        self._turn = itertools.count(rng.randrange(1000))

    def choose_candidate(
        self, attempt: Attempt, candidates: list[TargetView]
    ) -> TargetView:
        """Return the next target in turn."""
        return candidates[next(self._turn) % len(candidates)]


class LeastLoad(Baseline):
    """Chooses the target with the least reported load.

    Targets are compared by the number of waiting generations, then by memory
    utilization.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose_candidate(
        self, attempt: Attempt, candidates: list[TargetView]
    ) -> TargetView:
        """Return the least loaded target; ties are broken at random."""
        shuffled = self._rng.sample(candidates, len(candidates))
        return min(shuffled, key=self._rank)

    def _rank(self, target: TargetView) -> tuple[int, float]:
        if target.report is None:
            return 0, 0.0
        kv_used, kv_total = target.report['kv_used'], target.report['kv_total']
        return target.report['waiting'], kv_used / kv_total


class PrefixAffinity(Baseline):
    """Chooses the target with the longest cached prefix of the prompt.

    If no cached prefix is known, a rendezvous hash of the first block of the
    prompt selects the target, so that prompts with the same beginning are
    sent to the same target.
    """

    def choose_candidate(
        self, attempt: Attempt, candidates: list[TargetView]
    ) -> TargetView:
        """Return the target that probably caches the longest prefix."""
        prefixes = engine.digest_prefixes(attempt.request.prompt)
        for prefix in reversed(prefixes):
            holders = [t for t in candidates if prefix in t.prefixes]
            if holders:
                return max(holders, key=lambda t: self._score(prefix, t))
        start = prefixes[0] if prefixes else attempt.request.prompt
        return max(candidates, key=lambda t: self._score(start, t))

    def _score(self, prefix: str, target: TargetView) -> bytes:
        return hashlib.sha256(f'{prefix} {target.name}'.encode()).digest()
