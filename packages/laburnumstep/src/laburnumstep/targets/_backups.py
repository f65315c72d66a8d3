"""Decides whether a run gets a growing copy on another engine, and where.

Gain and cost are compared in seconds of work. A copy saves the work of a run
whose engine dies or leaves. It costs a new run its place if the memory of its
engine and of the others is full, because a copy cannot be preempted.
"""

from __future__ import annotations

import math
import typing

import attrs

from laburnumstep.targets import _cost
from laburnumstep.targets import _destinations

if typing.TYPE_CHECKING:
    import random

DEFAULT_TOKEN_SECONDS = 0.02
"""Time of one token before this VM has measured it, in seconds. Events of four
tokens arrive every few tens of milliseconds."""
LINK_WORK = 0.25
"""Work displaced by a second on the link of an engine, in seconds. A copy
delays others only while they use the same link."""
FULL_EXPONENT = 1.5
"""How steeply the chance that a new run finds no place rises with the use of
memory. Of 1, 1.5, 2 and 3 a model of 30 engines with bursts had the most whole
runs at a quarter of the load with 1.5 (docs/design/run-recovery.md)."""
RESUME_FAILURE = 0.2
"""Chance that a run which may be started anew finds no engine in time."""
PRIORITY_DISCOUNT = 0.8
"""Value of a run relative to one of the next higher priority."""


@attrs.frozen
class RunAtRisk:
    """A run that begins on an engine."""

    prompt_tokens: int
    """Length of its prompt, in tokens."""
    made_tokens: int
    """Length of the answer that its caller has already received."""
    expected_tokens: float
    """Expected length of the rest of its answer, in tokens."""
    token_seconds: float
    """Time of one token, in seconds."""
    priority: int
    """Priority; 0 is normal, lower ones are negative."""
    resumable: bool
    """Whether it may be started anew after the last event."""
    loss_rate: float
    """Expected losses of its engine a second."""

    @property
    def lasts_seconds(self) -> float:
        """Expected time until its end, in seconds."""
        return self.expected_tokens * self.token_seconds

    @property
    def prefill_seconds(self) -> float:
        """Time to prefill its prompt, in seconds."""
        return self.prompt_tokens / _cost.PREFILL_TOKENS_PER_SECOND

    @property
    def work_seconds(self) -> float:
        """Work of the whole run, in seconds."""
        made = self.made_tokens * self.token_seconds
        return self.prefill_seconds + made + self.lasts_seconds

    @property
    def loss_chance(self) -> float:
        """Chance that its engine is lost before its end."""
        return 1.0 - math.exp(-self.loss_rate * self.lasts_seconds)


@attrs.frozen
class BackupRoom:
    """An engine that could hold the copy."""

    name: str
    """Name of the engine."""
    utilization: float
    """Fraction of its memory in use at the forecast peak with the copy."""
    copy_seconds: float
    """Time of its link that the copy takes, in seconds."""


@attrs.frozen
class BackUp:
    """The run is copied to an engine as it grows."""

    name: str
    """Name of the engine."""
    gain: float
    """Work that the copy is expected to save, in seconds."""
    cost: float
    """Work that it is expected to displace, in seconds."""


@attrs.frozen
class NoBackup:
    """The run gets no copy."""

    gain: float
    """Work that a copy would be expected to save, in seconds."""
    cost: float
    """Least work that it would displace; infinite without an engine."""


BackupDecision = BackUp | NoBackup


def compute_gain(run: RunAtRisk) -> float:
    """Return the work that a copy is expected to save, in seconds.

    The caller of a run that is lost has no use of what it received, so the
    whole work is lost, unless the run may be started anew.
    """
    loss = run.work_seconds
    if run.resumable:
        loss = run.prefill_seconds + RESUME_FAILURE * loss
    value = PRIORITY_DISCOUNT ** max(0, -run.priority)
    return run.loss_chance * loss * value


def compute_cost(
    run: RunAtRisk, room: BackupRoom, mean_utilization: float
) -> float:
    """Return the work that a copy is expected to displace, in seconds.

    A new run of the same size loses its place only if this engine is full and
    the others are, too. With engines of equal use and a tenth of the runs at
    risk, copies pay up to 0.45 of memory.

    Args:
        run: The run.
        room: The engine that would hold the copy.
        mean_utilization: Mean use of the compared engines.
    """
    use = min(1.0, max(0.0, room.utilization * mean_utilization))
    chance = use**FULL_EXPONENT
    return chance * run.work_seconds + LINK_WORK * room.copy_seconds


def decide(
    run: RunAtRisk, rooms: list[BackupRoom], rng: random.Random
) -> BackupDecision:
    """Decide whether and where a run is copied.

    VMs compare the same reports, so the engine is drawn by what its copy
    gains.

    Args:
        run: The run.
        rooms: The compared engines, including full ones.
        rng: Source of random numbers.
    """
    gain = compute_gain(run)
    if not rooms:
        return NoBackup(gain, math.inf)
    mean = sum(room.utilization for room in rooms) / len(rooms)
    costs = [
        (room, compute_cost(run, room, mean))
        for room in rooms
        if room.utilization <= _destinations.COPY_MEMORY_FRACTION
    ]
    paying = [(room, cost) for room, cost in costs if cost < gain]
    if not paying:
        least = min((cost for _, cost in costs), default=math.inf)
        return NoBackup(gain, least)
    weights = [gain - cost for _, cost in paying]
    room, cost = rng.choices(paying, weights)[0]
    return BackUp(room.name, gain, cost)
