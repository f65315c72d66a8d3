"""Load reports that lag behind."""

from __future__ import annotations

import collections
import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep_standins.engine import _config

_KEPT_REPORTS = 1000


@attrs.frozen
class LoadReport:
    """Measurement of an engine's load."""

    measured_at: float
    """When it was measured, in epoch seconds."""
    running: int
    """Generations that hold memory."""
    waiting: int
    """Generations that wait."""
    kv_used: int
    """Memory in use, in tokens."""
    kv_total: int
    """Memory, in tokens."""
    preemptions: int
    """Preemptions since the start."""
    models: list[dict[str, str]]
    """Loaded models, each with name, version and role."""
    reclaim_at: float | None
    """When the engine ends, in epoch seconds, or None."""


class LoadHistory:
    """Measurements of which the newest are not yet reported.

    Args:
        config: Interval and lag.
    """

    def __init__(self, config: _config.EngineConfig) -> None:
        self._config = config
        self._reports: collections.deque[LoadReport] = collections.deque(
            maxlen=_KEPT_REPORTS
        )
        self._frozen: LoadReport | None = None

    def list_due(self, now: float) -> list[float]:
        """Return the times of the measurements that are due.

        Nobody may have looked at an idle engine for long; the times that
        no report can show any more are left out.
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
        """Keep a measurement."""
        self._reports.append(report)

    def report(self, now: float) -> LoadReport:
        """Return the newest measurement that may be reported."""
        if self._frozen is not None:
            return self._frozen
        newest = now - self._config.load_lag_seconds
        while len(self._reports) > 1:
            if self._reports[1].measured_at > newest:
                break
            self._reports.popleft()
        return self._reports[0]

    def freeze(self, report: LoadReport | None) -> None:
        """Report one measurement until this is called with None."""
        self._frozen = report
