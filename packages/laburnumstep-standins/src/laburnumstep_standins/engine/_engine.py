"""State of an engine, moved forward by whoever looks at it."""

from __future__ import annotations

import typing

import attrs

from laburnumstep_standins.engine import _batch
from laburnumstep_standins.engine import _cache
from laburnumstep_standins.engine import _config
from laburnumstep_standins.engine import _generations
from laburnumstep_standins.engine import _load
from laburnumstep_standins.engine import _text

if typing.TYPE_CHECKING:
    from laburnumstep import core


class Refused(Exception):
    """The engine is full; the generation was not started."""


class StaleFence(Exception):
    """An order carries an older fencing number than an earlier one."""


@attrs.frozen
class Start:
    """The start of a generation."""

    generation: str
    """Id that the requester gave it."""
    prompt: str
    """Text to continue."""
    at: float
    """When it was accepted, in epoch seconds."""


@attrs.frozen
class Order:
    """An instruction to the engine."""

    fence: int
    """Fencing number of the lease under which it was given."""
    kind: str
    """Such as `load_model`, `load_adapter` or `set_role`."""
    model: str
    """Name of the model or adapter."""
    version: str
    """Version of it."""
    role: str | None = None
    """Role that the engine takes for the model."""


class Engine:
    """Batch, cache, load reports and loaded models of one engine.

    No task belongs to it: `advance` runs the steps that are due, and every
    stream and every request calls it first. So generations go on while
    nobody is connected, and tests move time by hand.

    Args:
        clock: Tells when steps are due.
        config: Properties of the engine.
        crash: Called once when a fault ends the engine.
    """

    def __init__(
        self,
        clock: core.Clock,
        config: _config.EngineConfig,
        crash: typing.Callable[[], None],
    ) -> None:
        self._clock = clock
        self._config = config
        self._crash = crash
        self._cache = _cache.PrefixCache(config)
        self._batch = _batch.Batch(config, self._cache)
        self._load = _load.LoadHistory(config)
        self._generations: dict[str, _generations.Generation] = {}
        self._next_step_at = clock.now()
        self._fence = -1
        self._pending: list[tuple[float, Order]] = []
        self._models = {config.model: {'version': config.version, 'role': ''}}
        self.faults = _config.EngineFaults()
        """Faults in force."""
        self.crashed = False
        """Whether a fault has ended the engine."""
        self.starts: list[Start] = []
        """Every generation that was started."""

    @property
    def next_step_at(self) -> float:
        """When the next step ends, in epoch seconds."""
        return self._next_step_at

    def advance(self) -> None:
        """Run the steps that are due."""
        now = self._clock.now()
        reclaim_at = self.faults.reclaim_at
        if reclaim_at is not None and reclaim_at <= now:
            self.end()
        while (
            self._batch.busy and self._next_step_at <= now and not self.crashed
        ):
            at = self._next_step_at
            self._next_step_at = at + self._batch.step(at)
            self._check_crash_prompt()
            self._measure(at)
        if not self._batch.busy:
            self._next_step_at = max(
                self._next_step_at, now + self._config.step_seconds
            )
        self._measure(now)

    def start(
        self, name: str, prompt: str, max_tokens: int, priority: int
    ) -> _generations.Generation:
        """Start a generation, or return the one that has this name.

        Raises:
            Refused: When too many generations wait.
        """
        self.advance()
        self._forget_old()
        known = self._generations.get(name)
        if known is not None:
            return known
        if self._batch.full:
            raise Refused
        length = _text.draw_length(prompt, self._config)
        generation = _generations.Generation(
            name=name,
            priority=priority,
            order=0,
            seed=_text.seed_of(prompt),
            prompt=prompt,
            prompt_tokens=_text.count_prompt_tokens(prompt),
            length=min(length, max_tokens),
            limited=length > max_tokens,
            prefixes=_cache.digest_prefixes(prompt),
        )
        self._generations[name] = generation
        if not self._batch.busy:
            self._next_step_at = self._clock.now()
        self._batch.add(generation)
        self.starts.append(Start(name, prompt, self._clock.now()))
        return generation

    def find(self, name: str) -> _generations.Generation | None:
        """Return a generation that goes on or ended a short while ago."""
        self.advance()
        self._forget_old()
        return self._generations.get(name)

    def cancel(self, generation: _generations.Generation) -> None:
        """End a generation, at once unless a fault delays it."""
        if generation.ending is not None:
            return
        extra = self.faults.tokens_after_cancel
        if extra and generation in self._batch.running:
            generation.cancel_at = generation.produced + extra
            return
        self._batch.cancel(generation, self._clock.now())

    def obey(self, order: Order) -> None:
        """Carry out an order.

        Raises:
            StaleFence: When the engine has seen a newer fencing number.
        """
        if self._config.checks_fence and order.fence < self._fence:
            raise StaleFence
        self._fence = max(self._fence, order.fence)
        done_at = self._clock.now() + self._config.order_seconds
        self._pending.append((done_at, order))

    def report_load(self) -> _load.LoadReport:
        """Return the newest measurement that may be reported."""
        self.advance()
        return self._load.report(self._clock.now())

    def read_cache_events(self, start: int) -> list[_cache.CacheEvent]:
        """Return the published cache events from a number on."""
        self.advance()
        return self._cache.read_events(start, self._clock.now())

    def set_faults(self, changes: dict[str, typing.Any]) -> None:
        """Switch faults by their name."""
        self.advance()
        self.faults = attrs.evolve(self.faults, **changes)
        self._cache.loses_events = self.faults.lose_cache_events
        self._batch.out_of_memory_at = self.faults.out_of_memory_at
        if 'freeze_load' in changes:
            current = self._load.report(self._clock.now())
            self._load.freeze(current if self.faults.freeze_load else None)
        if self.faults.crash:
            self.end()

    def end(self) -> None:
        """End the engine as a crash does."""
        if not self.crashed:
            self.crashed = True
            self._crash()

    def _check_crash_prompt(self) -> None:
        text = self.faults.crash_prompt
        if text is None:
            return
        if any(text in g.prompt for g in self._batch.produced):
            self.end()

    def _measure(self, now: float) -> None:
        for measured_at in self._load.list_due(now):
            self._finish_orders(measured_at)
            self._load.record(
                _load.LoadReport(
                    measured_at=measured_at,
                    running=len(self._batch.running),
                    waiting=len(self._batch.waiting),
                    kv_used=self._batch.kv_used,
                    kv_total=self._config.kv_tokens,
                    preemptions=self._batch.preemptions,
                    models=[
                        {'name': name, **model}
                        for name, model in self._models.items()
                    ],
                    reclaim_at=self.faults.reclaim_at,
                )
            )

    def _finish_orders(self, now: float) -> None:
        while self._pending and self._pending[0][0] <= now:
            _, order = self._pending.pop(0)
            role = order.role or ''
            model = {'version': order.version, 'role': role}
            self._models[order.model] = model

    def _forget_old(self) -> None:
        oldest = self._clock.now() - self._config.keep_seconds
        ended = [
            generation.name
            for generation in self._generations.values()
            if generation.ending and generation.ended_at < oldest
        ]
        for name in ended:
            del self._generations[name]
