"""Continuous batching by decode steps."""

from __future__ import annotations

import bisect
import typing

from laburnumstep_standins.engine import _cache
from laburnumstep_standins.engine import _generations

if typing.TYPE_CHECKING:
    from laburnumstep_standins.engine import _config

_RESERVE_DIVISOR = 100
"""Divisor of the memory; the quotient stays free when a generation starts.

Without this reserve, a preempted generation restarts at once in the memory
that it has freed, and is preempted again in the next step.
"""


def _rank(generation: _generations.Generation) -> tuple[int, int]:
    return -generation.priority, generation.order


class Batch:
    """Running and waiting generations and their memory.

    Args:
        config: Properties of the engine.
        cache: Cache of prefixes, which need no prefill.
    """

    def __init__(
        self, config: _config.EngineConfig, cache: _cache.PrefixCache
    ) -> None:
        self._config = config
        self._cache = cache
        self._order = 0
        self._prefill_chunks: list[tuple[_generations.Generation, int]] = []
        self._decoding: list[_generations.Generation] = []
        self.decoded: list[_generations.Generation] = []
        """Generations that produced tokens in the last step."""
        self.running: list[_generations.Generation] = []
        """Generations with memory, in the order in which they got it."""
        self.waiting: list[_generations.Generation] = []
        """Generations without memory, in the order in which they start."""
        self.kv_used = 0
        """Memory of the running generations, in tokens."""
        self.preemptions = 0
        """Number of preemptions since the engine started."""
        self.out_of_memory_at: int | None = None
        """Position at which each generation fails for lack of memory."""

    @property
    def is_busy(self) -> bool:
        """Whether there is a running or waiting generation."""
        return bool(self.running or self.waiting)

    @property
    def is_full(self) -> bool:
        """Whether the number of waiting generations is at its limit."""
        return len(self.waiting) >= self._config.max_waiting

    def add(self, generation: _generations.Generation) -> None:
        """Queue a generation after those of the same priority."""
        generation.order = self._order
        self._order += 1
        bisect.insort(self.waiting, generation, key=_rank)

    def cancel(self, generation: _generations.Generation, now: float) -> None:
        """End a generation as cancelled."""
        self._end(generation, _generations.Failed('cancelled'), now)

    def step(self, now: float) -> float:
        """Complete the planned step and plan the next one.

        Args:
            now: Time between the two steps, in epoch seconds.

        Returns:
            The duration of the next step, in seconds.
        """
        self._prefill(now)
        self._decode(now)
        self._start_waiting(now)
        self._free_memory(now)
        return self._plan_step()

    def _start_waiting(self, now: float) -> None:
        while self.waiting:
            head = self.waiting[0]
            needed = head.kv_tokens + self._config.tokens_per_step
            if needed > self._config.kv_tokens:
                self._end(head, _generations.Failed('out_of_memory'), now)
                continue
            if self.running:
                needed += self._config.kv_tokens // _RESERVE_DIVISOR
            if not self._preempt_for(head, needed):
                return
            self.waiting.pop(0)
            cached = self._cache.count_cached(head.prefixes)
            head.to_prefill = max(1, head.kv_tokens - cached)
            self.kv_used += head.kv_tokens
            self.running.append(head)

    def _preempt_for(self, head: _generations.Generation, needed: int) -> bool:
        free = self._config.kv_tokens - self.kv_used
        slots = self._config.max_running - len(self.running)
        victims = []
        lower = [g for g in self.running if g.priority < head.priority]
        lower.sort(key=_rank, reverse=True)
        for victim in lower:
            if free >= needed and slots > 0:
                break
            victims.append(victim)
            free += victim.kv_tokens
            slots += 1
        if free < needed or slots < 1:
            return False
        for victim in victims:
            self._preempt(victim)
        return True

    def _free_memory(self, now: float) -> None:
        gained = self._config.tokens_per_step
        while self.running:
            needed = len(self.running) * gained
            if self.kv_used + needed <= self._config.kv_tokens:
                return
            victim = max(self.running, key=_rank)
            alone = len(self.running) == 1
            if alone or self._config.out_of_memory_fails:
                ending = _generations.Failed('out_of_memory')
                self._end(victim, ending, now)
            else:
                self._preempt(victim)

    def _preempt(self, victim: _generations.Generation) -> None:
        self.running.remove(victim)
        self.kv_used -= victim.kv_tokens
        victim.preemptions += 1
        self.preemptions += 1
        self.add(victim)

    def _plan_step(self) -> float:
        budget = self._config.prefill_chunk_tokens
        self._prefill_chunks = []
        for generation in self.running:
            chunk = min(budget, generation.to_prefill)
            if chunk > 0:
                self._prefill_chunks.append((generation, chunk))
                budget -= chunk
        self._decoding = [g for g in self.running if g.to_prefill <= 0]
        prefilled = self._config.prefill_chunk_tokens - budget
        return (
            self._config.step_seconds
            + len(self._decoding) * self._config.step_seconds_per_running
            + prefilled * self._config.prefill_seconds_per_token
        )

    def _prefill(self, now: float) -> None:
        for generation, chunk in self._prefill_chunks:
            if generation.ending is not None:
                continue
            generation.to_prefill -= chunk
            if generation.to_prefill == 0:
                self._cache.store(generation.prefixes, now)
                # The last chunk of a prefill produces the next token.
                self._decoding.append(generation)

    def _decode(self, now: float) -> None:
        self.decoded = [g for g in self._decoding if g.ending is None]
        for generation in self.decoded:
            end = generation.length
            if generation.cancel_at is not None:
                end = min(end, generation.cancel_at)
            if self.out_of_memory_at is not None:
                end = min(end, max(generation.produced, self.out_of_memory_at))
            gained = self._config.tokens_per_step
            count = min(gained, end - generation.produced)
            generation.produced += count
            self.kv_used += count
            if generation.produced >= end:
                self._finish(generation, now)

    def _finish(self, generation: _generations.Generation, now: float) -> None:
        produced = generation.produced
        ending: _generations.Ending
        if produced >= generation.length:
            reason = 'length' if generation.limited else 'stop'
            ending = _generations.Done(produced, reason)
        elif generation.cancel_at is not None:
            ending = _generations.Failed('cancelled')
        else:
            ending = _generations.Failed('out_of_memory')
        self._end(generation, ending, now)

    def _end(
        self,
        generation: _generations.Generation,
        ending: _generations.Ending,
        now: float,
    ) -> None:
        if generation in self.running:
            self.running.remove(generation)
            self.kv_used -= generation.kv_tokens
        elif generation in self.waiting:
            self.waiting.remove(generation)
        generation.ending = ending
        generation.ended_at = now
