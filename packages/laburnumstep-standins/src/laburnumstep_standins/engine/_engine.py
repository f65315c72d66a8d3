"""State of an engine, advanced on each access."""

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


class EngineFull(Exception):
    """Too many generations wait; the new one was not accepted."""


class StaleFence(Exception):
    """An order has an older fencing token than an earlier order."""


@attrs.frozen
class Start:
    """Record of an accepted generation."""

    generation: str
    """Identifier, chosen by the client."""
    prompt: str
    """Prompt of the generation."""
    at: float
    """Time of acceptance, in epoch seconds."""


@attrs.frozen
class Order:
    """An instruction to the engine."""

    fence: int
    """Fencing token of the lease under which it was sent."""
    kind: str
    """Kind, such as `load_model`, `load_adapter` or `set_role`."""
    model: str
    """Name of the model or adapter."""
    version: str
    """Version of the model or adapter."""
    role: str | None = None
    """New role of the engine for the model."""


class Engine:
    """Batch, cache, load reports and loaded models of one engine.

    The engine has no task. Every stream and request first calls `advance`,
    which runs all steps that are due: generations continue while no client
    is connected, and tests can use a manual clock.

    Args:
        clock: Time source of the steps.
        config: Properties of the engine.
        on_crash: Called once when the engine crashes.
    """

    def __init__(
        self,
        clock: core.Clock,
        config: _config.EngineConfig,
        on_crash: typing.Callable[[], None],
    ) -> None:
        self._clock = clock
        self._config = config
        self._on_crash = on_crash
        self._cache = _cache.PrefixCache(config)
        self._batch = _batch.Batch(config, self._cache)
        self._load_history = _load.LoadHistory(config)
        self._generations: dict[str, _generations.Generation] = {}
        self._next_step_at = clock.now()
        self._fence = -1
        self._pending_orders: list[tuple[float, Order]] = []
        self._models = {config.model: {'version': config.version, 'role': ''}}
        self.faults = _config.EngineFaults()
        """Active faults."""
        self.crashed = False
        """Whether the engine has crashed."""
        self.starts: list[Start] = []
        """All accepted generations."""

    @property
    def next_step_at(self) -> float:
        """End of the current step, in epoch seconds."""
        return self._next_step_at

    def advance(self) -> None:
        """Run the steps that are due, and a reclaim."""
        now = self._clock.now()
        reclaim_at = self.faults.reclaim_at
        if reclaim_at is not None and reclaim_at <= now:
            self.stop()
        while (
            self._batch.is_busy
            and self._next_step_at <= now
            and not self.crashed
        ):
            at = self._next_step_at
            self._next_step_at = at + self._batch.step(at)
            self._check_crash_prompt()
            self._record_load(at)
        if not self._batch.is_busy:
            self._next_step_at = max(
                self._next_step_at, now + self._config.step_seconds
            )
        self._record_load(now)

    def start(
        self, name: str, prompt: str, max_tokens: int, priority: int
    ) -> _generations.Generation:
        """Accept a generation, or return the known one of the same name.

        Args:
            name: Identifier of the generation.
            prompt: Prompt.
            max_tokens: Limit of the length, in tokens.
            priority: Priority; higher values start first.

        Raises:
            EngineFull: Too many generations wait.
        """
        self.advance()
        self._remove_expired()
        known = self._generations.get(name)
        if known is not None:
            return known
        if self._batch.is_full:
            raise EngineFull
        length = _text.draw_length(prompt, self._config)
        generation = _generations.Generation(
            name=name,
            priority=priority,
            order=0,
            seed=_text.derive_seed(prompt),
            prompt=prompt,
            prompt_tokens=_text.count_prompt_tokens(prompt),
            length=min(length, max_tokens),
            limited=length > max_tokens,
            prefixes=_cache.digest_prefixes(prompt),
        )
        self._generations[name] = generation
        if not self._batch.is_busy:
            self._next_step_at = self._clock.now()
        self._batch.add(generation)
        self.starts.append(Start(name, prompt, self._clock.now()))
        return generation

    def find(self, name: str) -> _generations.Generation | None:
        """Return a generation, or None if it is unknown or expired."""
        self.advance()
        self._remove_expired()
        return self._generations.get(name)

    def cancel(self, generation: _generations.Generation) -> None:
        """Cancel a generation, after more tokens if a fault demands it."""
        if generation.ending is not None:
            return
        extra = self.faults.tokens_after_cancel
        if extra and generation in self._batch.running:
            generation.cancel_at = generation.produced + extra
            return
        self._batch.cancel(generation, self._clock.now())

    def apply_order(self, order: Order) -> None:
        """Accept an order; load reports show its effect later.

        Raises:
            StaleFence: An earlier order had a newer fencing token.
        """
        if self._config.checks_fence and order.fence < self._fence:
            raise StaleFence
        self._fence = max(self._fence, order.fence)
        done_at = self._clock.now() + self._config.order_seconds
        self._pending_orders.append((done_at, order))

    def report_load(self) -> _load.LoadReport:
        """Return the newest load measurement that is old enough."""
        self.advance()
        return self._load_history.get_report(self._clock.now())

    def read_cache_events(self, start: int) -> list[_cache.CacheEvent]:
        """Return the published cache events from a sequence number on."""
        self.advance()
        return self._cache.read_events(start, self._clock.now())

    def set_faults(self, changes: dict[str, typing.Any]) -> None:
        """Set faults by name; the others stay as they are."""
        self.advance()
        self.faults = attrs.evolve(self.faults, **changes)
        self._cache.loses_events = self.faults.lose_cache_events
        self._batch.out_of_memory_at = self.faults.out_of_memory_at
        if 'freeze_load' in changes:
            current = self._load_history.get_report(self._clock.now())
            self._load_history.freeze(
                current if self.faults.freeze_load else None
            )
        if self.faults.crash:
            self.stop()

    def stop(self) -> None:
        """Stop the engine as in a crash."""
        if not self.crashed:
            self.crashed = True
            self._on_crash()

    def _check_crash_prompt(self) -> None:
        text = self.faults.crash_prompt
        if text is None:
            return
        if any(text in g.prompt for g in self._batch.decoded):
            self.stop()

    def _record_load(self, now: float) -> None:
        for measured_at in self._load_history.list_due(now):
            self._finish_orders(measured_at)
            self._load_history.record(
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
        while self._pending_orders and self._pending_orders[0][0] <= now:
            _, order = self._pending_orders.pop(0)
            role = order.role or ''
            model = {'version': order.version, 'role': role}
            self._models[order.model] = model

    def _remove_expired(self) -> None:
        oldest = self._clock.now() - self._config.keep_seconds
        ended = [
            generation.name
            for generation in self._generations.values()
            if generation.ending and generation.ended_at < oldest
        ]
        for name in ended:
            del self._generations[name]
