"""Counters, gauges and histograms that are fetched as text."""

from __future__ import annotations

import re

import prometheus_client

METRICS_CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
"""Media type of the page."""
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
"""Upper bounds of the histograms' buckets. Objectives lie between 0.2 s for
calls and 2 s for first events; plans take up to 40 s."""
_OTHER = re.compile('[^a-zA-Z0-9_]')


class MetricsPage:
    """Keeps the metrics of a process and renders them."""

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
                _clean(name), name, registry=self._registry
            )
        counter.inc(amount)

    def record_time(self, name: str, seconds: float) -> None:
        """Record how long something took, in seconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = prometheus_client.Histogram(
                _clean(name) + '_seconds',
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
                _clean(name), name, registry=self._registry
            )
        gauge.set(value)

    def render(self) -> bytes:
        """Return all metrics as text."""
        return prometheus_client.generate_latest(self._registry)


def _clean(name: str) -> str:
    return 'laburnumstep_' + _OTHER.sub('_', name)
