"""Routing policies that the load tool compares."""

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
    """A change of an engine's prefix cache."""

    seq: int
    """Number of the event."""
    kind: str
    """`stored` or `evicted`."""
    prefix: str
    """Digest of the prefix."""


@attrs.define(eq=False)
class TargetView:
    """What one VM knows of one target."""

    name: str
    """Name of the target."""
    address: str
    """IP number and port."""
    report: dict[str, typing.Any] | None = None
    """Last load report, as decoded JSON."""
    reachable: bool = True
    """Whether the last contact succeeded."""
    prefixes: set[str] = attrs.field(factory=set)
    """Prefixes that are probably cached."""
    next_event: int = 0
    """Number of the next cache event."""


@attrs.frozen
class Attempt:
    """A request that needs a target."""

    request: workload.Request
    """The request."""
    generation: str
    """Id of the generation to start."""
    deadline: float
    """Time after which the answer is useless, in epoch seconds."""
    excluded: frozenset[str]
    """Targets on which it failed."""


@attrs.frozen
class Send:
    """The attempt goes to a target now."""

    target: str
    """Name of the target."""


@attrs.frozen
class Wait:
    """The attempt is decided on again later."""

    until: float
    """In epoch seconds."""


@attrs.frozen
class Refuse:
    """The caller is told to come again."""

    resend_at: float
    """In epoch seconds."""


Choice = Send | Wait | Refuse
View = typing.Mapping[str, TargetView]


class Policy(typing.Protocol):
    """Routes the requests of one VM."""

    async def choose(self, attempt: Attempt, view: View) -> Choice:
        """Choose a target for an attempt, at once or after waiting."""

    def record_tokens(self, attempt: Attempt, count: int) -> None:
        """Take note of tokens that an attempt has produced."""

    def record_end(self, attempt: Attempt, complete: bool) -> None:
        """Take note of the end of an attempt that was sent."""

    def record_contact(
        self, target: TargetView, events: list[CacheEvent], now: float
    ) -> None:
        """Take note of a new report, or of a failed contact."""


class Baseline(abc.ABC):
    """A policy that keeps nothing of its attempts and never waits."""

    async def choose(self, attempt: Attempt, view: View) -> Choice:
        """Choose among the reachable targets, or among all without any."""
        usable = [t for t in view.values() if t.name not in attempt.excluded]
        reachable = [target for target in usable if target.reachable]
        candidates = reachable or usable or list(view.values())
        return Send(self.pick(attempt, candidates).name)

    @abc.abstractmethod
    def pick(
        self, attempt: Attempt, candidates: list[TargetView]
    ) -> TargetView:
        """Return the target for an attempt."""

    def record_tokens(self, attempt: Attempt, count: int) -> None:
        """Do nothing."""

    def record_end(self, attempt: Attempt, complete: bool) -> None:
        """Do nothing."""

    def record_contact(
        self, target: TargetView, events: list[CacheEvent], now: float
    ) -> None:
        """Do nothing."""


class RoundRobin(Baseline):
    """Takes the targets in turn."""

    def __init__(self, rng: random.Random) -> None:
        self._turn = itertools.count(rng.randrange(1000))

    def pick(
        self, attempt: Attempt, candidates: list[TargetView]
    ) -> TargetView:
        """Return the next target."""
        return candidates[next(self._turn) % len(candidates)]


class LeastLoad(Baseline):
    """Takes the target with the least reported load.

    Fewest generations that wait, then the least memory in use.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(
        self, attempt: Attempt, candidates: list[TargetView]
    ) -> TargetView:
        """Return the least loaded target, a random one among equals."""
        shuffled = self._rng.sample(candidates, len(candidates))
        return min(shuffled, key=self._rank)

    def _rank(self, target: TargetView) -> tuple[int, float]:
        if target.report is None:
            return 0, 0.0
        kv_used, kv_total = target.report['kv_used'], target.report['kv_total']
        return target.report['waiting'], kv_used / kv_total


class PrefixAffinity(Baseline):
    """Takes the target with the longest cached prefix.

    Without a known one, the prompt's first block selects the target, so
    that equal beginnings meet.
    """

    def pick(
        self, attempt: Attempt, candidates: list[TargetView]
    ) -> TargetView:
        """Return the target that probably holds most of the prompt."""
        prefixes = engine.digest_prefixes(attempt.request.prompt)
        for prefix in reversed(prefixes):
            holders = [t for t in candidates if prefix in t.prefixes]
            if holders:
                return max(holders, key=lambda t: self._score(prefix, t))
        start = prefixes[0] if prefixes else attempt.request.prompt
        return max(candidates, key=lambda t: self._score(start, t))

    def _score(self, prefix: str, target: TargetView) -> bytes:
        return hashlib.sha256(f'{prefix} {target.name}'.encode()).digest()
