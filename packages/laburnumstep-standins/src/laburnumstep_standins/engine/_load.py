"""Load reports, delayed by a lag."""

from __future__ import annotations

import collections
import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep_standins.engine import _config

_MAX_REPORTS = 1000
"""Measurements that are stored; the oldest are dropped."""


@attrs.frozen
class LoadReport:
    """A measurement of the load of an engine."""

    measured_at: float
    """Time of the measurement, in epoch seconds."""
    running: int
    """Number of running generations."""
    waiting: int
    """Number of waiting generations."""
    kv_used: int
    """Used KV memory, in tokens."""
    kv_total: int
    """Total KV memory, in tokens."""
    preemptions: int
    """Number of preemptions since the engine started."""
    models: list[dict[str, str]]
    """Loaded models, each with name, version and role."""
    reclaim_at: float | None
    """Time of the announced reclaim, in epoch seconds, or None."""


class LoadHistory:
    """Load measurements, reported after a lag.

    Args:
        config: Interval and lag of the reports.
    """

    def __init__(self, config: _config.EngineConfig) -> None:
        self._config = config
        self._reports: collections.deque[LoadReport] = collections.deque(
            maxlen=_MAX_REPORTS
        )
        self._frozen: LoadReport | None = None

    def list_due(self, now: float) -> list[float]:
        """Return the times of the measurements that are due.

        An idle engine may not have been accessed for a long time.
        Measurements too old to be reported are left out.
        """
        interval = self._config.load_interval_seconds
        if not self._reports:
            return [now]
        oldest = now - self._config.load_lag_seconds - interval
        due = self._reports[-1].measured_at + interval
        if due < oldest:
            due = oldest
        times = []
        while due <= now:
            times.append(due)
            due += interval
        return times

    def record(self, report: LoadReport) -> None:
        """Append a measurement."""
        self._reports.append(report)

    def get_report(self, now: float) -> LoadReport:
        """Return the newest measurement that is old enough."""
        if self._frozen is not None:
            return self._frozen
        newest = now - self._config.load_lag_seconds
        while len(self._reports) > 1:
            if self._reports[1].measured_at > newest:
                break
            self._reports.popleft()
        return self._reports[0]

    def freeze(self, report: LoadReport | None) -> None:
        """Report a fixed measurement; None ends this."""
        self._frozen = report
