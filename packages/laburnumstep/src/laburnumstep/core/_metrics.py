"""Counters, gauges and timings, sent to statsd and to a metrics page."""

from __future__ import annotations

import typing

import statsd

if typing.TYPE_CHECKING:
    from laburnumstep.core import _metrics_page


class Metrics:
    """Records metrics to a statsd server and a metrics page, if set.

    Args:
        address: IP address and port of the statsd server, or None.
        prefix: Prefix of the names sent to statsd.
        page: Page that exposes the metrics as well, or None.
    """

    def __init__(
        self,
        address: str | None,
        prefix: str,
        page: _metrics_page.MetricsPage | None = None,
    ) -> None:
        self._page = page
        self._client: statsd.StatsClient | None = None
        if address is not None:
            host, _, port = address.rpartition(':')
            self._client = statsd.StatsClient(host, int(port), prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, amount)
        if self._page is not None:
            self._page.count(name, amount)

    def record_time(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000)
        if self._page is not None:
            self._page.record_time(name, seconds)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)
        if self._page is not None:
            self._page.set_gauge(name, value)
