"""Counters, gauges and histograms in the Prometheus text format."""

from __future__ import annotations

import re

import prometheus_client

METRICS_CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
"""Content type of the page."""
BUCKETS_SECONDS = (
    0.005,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)
"""Upper bounds of the histogram buckets, in seconds. The latency objectives
lie between 0.2 s for calls and 2 s for the first event of a stream; long
generations take up to 40 s."""
_INVALID_CHARACTER = re.compile('[^a-zA-Z0-9_]')


class MetricsPage:
    """Collects the metrics of a process and renders them as a page."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._counters: dict[str, prometheus_client.Counter] = {}
        self._histograms: dict[str, prometheus_client.Histogram] = {}
        self._gauges: dict[str, prometheus_client.Gauge] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._counters[name] = prometheus_client.Counter(
                _format_name(name), name, registry=self._registry
            )
        counter.inc(amount)

    def record_time(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = prometheus_client.Histogram(
                _format_name(name) + '_seconds',
                name,
                registry=self._registry,
                buckets=BUCKETS_SECONDS,
            )
        histogram.observe(seconds)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = self._gauges[name] = prometheus_client.Gauge(
                _format_name(name), name, registry=self._registry
            )
        gauge.set(value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)


def _format_name(name: str) -> str:
    return 'laburnumstep_' + _INVALID_CHARACTER.sub('_', name)
