"""A fleet of VMs that place requests on engines by late load reports.

Engines prefill the prompts of their queue one after another and then hold each
request for the time of its answer. VMs learn of reports and of the sends of
other VMs after a delay. The same arrivals are also placed by one placer that
knows every queue at once, as the lower bound.
"""

from __future__ import annotations

import random
import typing

import attrs

from laburnumstep import core
from laburnumstep import targets
from support import fleets

KV_TOKENS = 34_467
TOKEN_SECONDS = 0.01
SHORT_FRACTION = 0.6
WARM_UP_SECONDS = 3.0
SEND_DELAY_SECONDS = 0.15
"""Delay after which a VM knows of the sends of the others, in seconds."""


@attrs.define(eq=False)
class SimulatedRequest:
    """One request on an engine."""

    prompt_tokens: int
    answer_seconds: float
    arrived_at: float
    prefilled_at: float = 0.0
    ends_at: float = 0.0


@attrs.define(eq=False)
class SimulatedEngine:
    """An engine with one queue of prompts."""

    kv_tokens: int
    free_at: float = 0.0
    requests: list[SimulatedRequest] = attrs.field(factory=list)

    def accept(self, request: SimulatedRequest, now: float) -> float:
        """Queue a request; return the delay of its first token."""
        seconds = request.prompt_tokens / fleets.PREFILL_TOKENS_PER_SECOND
        self.free_at = max(self.free_at, now) + seconds
        request.prefilled_at = self.free_at
        request.ends_at = self.free_at + request.answer_seconds
        self.requests.append(request)
        return self.free_at - now

    def measure_queue(self, now: float) -> float:
        """Return the time until the queue is empty, in seconds."""
        return max(0.0, self.free_at - now)

    def report(self, now: float) -> targets.LoadReport:
        """Return the load at a time, which is not later than the present."""
        present = [
            item
            for item in self.requests
            if item.arrived_at <= now < item.ends_at
        ]
        waiting = sum(item.prefilled_at > now for item in present)
        used = sum(
            item.prompt_tokens
            + max(0.0, now - item.prefilled_at) / TOKEN_SECONDS
            for item in present
            if item.prefilled_at <= now
        )
        return fleets.make_report(
            now,
            len(present) - waiting,
            int(used),
            self.kv_tokens,
            waiting=waiting,
        )


class PlacementLoad:
    """Arrivals at a fleet and the queues that its placement causes.

    Args:
        vms: Number of VMs.
        engines: Number of engines.
        rate: Requests a second of the whole fleet.
        report_delay: Age of a report when a VM knows it, in seconds.
        knows_sends: Whether VMs know of the sends of other VMs.
        candidates: Number of engines that a VM compares.
        substitutes: Number of engines that may replace full candidates.
        kv_tokens: Memory of an engine, in tokens.
        seed: Seed of the arrivals and choices.
    """

    def __init__(
        self,
        vms: int,
        engines: int,
        rate: float,
        report_delay: float,
        knows_sends: bool,
        candidates: int,
        substitutes: int = 0,
        kv_tokens: int = KV_TOKENS,
        seed: int = 1,
    ) -> None:
        self._clock = core.ManualClock()
        self._rng = random.Random(seed)
        self._rate = rate
        self._report_delay = report_delay
        self._knows_sends = knows_sends
        self._candidates = candidates
        self._substitutes = substitutes
        self._engines = {
            f'engine-{number}': SimulatedEngine(kv_tokens)
            for number in range(engines)
        }
        deployment = fleets.make_deployment(engines)
        self._views = fleets.make_views(self._clock, deployment, vms)
        self._lengths = targets.LengthEstimator()
        self._sent: list[tuple[float, str, int, int]] = []
        self._known: list[int] = [0] * vms

    def run(self, seconds: float, ideal: bool) -> list[float]:
        """Place all arrivals of a period.

        Args:
            seconds: Length of the period.
            ideal: Whether one placer that knows every queue places them.

        Returns:
            The delay of the first token of each request, in seconds.
        """
        start = self._clock.now()
        delays = []
        while (now := self._clock.now()) < start + seconds:
            short = self._rng.random() < SHORT_FRACTION
            request = SimulatedRequest(
                int(min(6000.0, self._rng.lognormvariate(7.8, 0.45))),
                0.2 if short else self._rng.uniform(1.0, 18.0),
                now,
            )
            index = self._rng.randrange(len(self._views))
            name = (
                self._choose_ideal(now)
                if ideal
                else self._choose(index, request, now)
            )
            delay = self._engines[name].accept(request, now)
            if now >= start + WARM_UP_SECONDS:
                delays.append(delay)
            self._clock.advance(self._rng.expovariate(self._rate))
        return delays

    def _choose_ideal(self, now: float) -> str:
        return min(
            self._engines,
            key=lambda name: self._engines[name].measure_queue(now),
        )

    def _choose(
        self, index: int, request: SimulatedRequest, now: float
    ) -> str:
        view = self._views[index]
        self._update(index, view, now)
        sampled = targets.sample_engines(
            view,
            fleets.MODEL,
            frozenset(),
            self._candidates + self._substitutes,
            0,
            self._rng,
        )
        names = sampled[: self._candidates]
        placed = targets.choose_engine(
            view,
            fleets.make_request(
                prompt_tokens=request.prompt_tokens,
                candidates=names,
                substitutes=sampled[self._candidates :],
                hinted_tokens=request.answer_seconds / TOKEN_SECONDS,
            ),
            self._lengths,
            core.PolicyWeights(stall=0.0, preemption=0.0, tail=1.0),
            self._rng,
        )
        name = (
            placed.target if isinstance(placed, targets.Placed) else names[0]
        )
        send = view.begin(
            name,
            f'g-{len(self._sent)}',
            'w',
            fleets.MODEL,
            request.prompt_tokens,
            request.answer_seconds / TOKEN_SECONDS,
        )
        # Only the sends since the last report matter here; the answers are
        # counted by the reports.
        view.end(send)
        self._sent.append((now, name, request.prompt_tokens, index))
        return name

    def _update(self, index: int, view: targets.FleetView, now: float) -> None:
        """Apply what a VM knows by now."""
        for name, engine in self._engines.items():
            view.record_report(name, engine.report(now - self._report_delay))
        if not self._knows_sends:
            return
        while self._known[index] < len(self._sent):
            sent_at, name, tokens, vm = self._sent[self._known[index]]
            if sent_at > now - SEND_DELAY_SECONDS:
                break
            if vm != index:
                view.record_sibling_send(
                    name, targets.SiblingSend(sent_at, tokens)
                )
            self._known[index] += 1


def measure_delays(
    ideal: bool, seconds: float = 25.0, **arguments: typing.Any
) -> tuple[float, float]:
    """Return the mean and the 95th percentile of first-token delays.

    Args:
        ideal: Whether one placer that knows every queue places them.
        seconds: Length of the period.
        **arguments: Arguments of `PlacementLoad`.
    """
    delays = sorted(PlacementLoad(**arguments).run(seconds, ideal))
    return sum(delays) / len(delays), delays[int(0.95 * len(delays))]
