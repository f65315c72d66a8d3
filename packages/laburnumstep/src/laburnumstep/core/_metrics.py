"""Counters and gauges, sent over statsd."""

from __future__ import annotations

import statsd


class Metrics:
    """Sends metrics, or drops them where no address is set.

    Args:
        address: IP number and port of the statsd server, or None.
        prefix: Put in front of each name.
    """

    def __init__(self, address: str | None, prefix: str) -> None:
        self._client: statsd.StatsClient | None = None
        if address is not None:
            host, _, port = address.rpartition(':')
            self._client = statsd.StatsClient(host, int(port), prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, amount)

    def record_time(self, name: str, seconds: float) -> None:
        """Record how long something took, in seconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)
