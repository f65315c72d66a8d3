"""Samples of engines that are compared for a request."""

from __future__ import annotations

import random
import typing

from laburnumstep import targets

if typing.TYPE_CHECKING:
    from laburnumstep import core

LOCAL_CANDIDATES = 2
"""Number of engines in the local region compared for a request."""
REMOTE_CANDIDATES = 1
"""Number of engines in remote regions compared for a request."""
LOCAL_SUBSTITUTES = 6
"""Number of engines in the local region that may replace candidates without
capacity."""
REMOTE_SUBSTITUTES = 3
"""Number of engines in remote regions that may replace candidates without
capacity."""
MAX_REPORT_AGE_SECONDS = 0.9
"""Maximum age of a load report used for placement, in seconds. It must exceed
0.5 s, since engines report values measured half a second earlier."""
MAX_REFRESH_SECONDS = 0.1
"""Maximum wait for new reports before a request is placed, in seconds. Engines
of remote regions answer within 30 ms."""

RefreshReports = typing.Callable[
    [list[str], float, float], typing.Awaitable[None]
]
"""Reads new load reports of the named engines.

The first time is the oldest acceptable measurement, the second the deadline
of the reads, both in epoch seconds.
"""


class CandidateSampler:
    """Samples engines and provides recent load reports of them.

    Args:
        view: Targets and their load.
        clock: Clock that the age of reports is measured with.
        refresh: Reads new load reports in place of old ones.
        rng: Source of random numbers.
    """

    def __init__(
        self,
        view: targets.FleetView,
        clock: core.Clock,
        refresh: RefreshReports,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._clock = clock
        self._refresh = refresh
        self._rng = rng

    async def sample(
        self,
        request: targets.PlacementRequest,
        preference: targets.Preference | None = None,
    ) -> tuple[str, ...]:
        """Sample a few engines and return those with recent load reports.

        A VM of a large deployment places a request only every few seconds.
        Reading the reports of a few engines on demand costs less than
        polling all engines, and the reports are newer.

        Args:
            request: The request. An engine that probably has its prompt
                cached is sampled besides the others.
            preference: Engines that are sampled first, if any.
        """
        names = targets.sample_engines(
            self._view,
            request.model,
            request.excluded,
            LOCAL_CANDIDATES,
            REMOTE_CANDIDATES,
            self._rng,
            request.regions,
            preference,
        )
        holder = targets.choose_cache_holder(self._view, request, self._rng)
        if holder is not None and holder not in names:
            names += (holder,)
        now = self._clock.now()
        await self._refresh(
            list(names),
            now - MAX_REPORT_AGE_SECONDS,
            now + MAX_REFRESH_SECONDS,
        )
        # An engine that does not report in time is overloaded or down, so it
        # is left out unless none reports.
        return self._select_recent(names, now) or names

    def sample_substitutes(
        self, model: str, excluded: frozenset[str], regions: core.Regions
    ) -> tuple[str, ...]:
        """Sample engines whose reports are recent without being read now."""
        names = targets.sample_engines(
            self._view,
            model,
            excluded,
            LOCAL_SUBSTITUTES,
            REMOTE_SUBSTITUTES,
            self._rng,
            regions,
        )
        return self._select_recent(names, self._clock.now())

    def _select_recent(
        self, names: tuple[str, ...], now: float
    ) -> tuple[str, ...]:
        """Return the engines with a recent report."""
        oldest = now - MAX_REPORT_AGE_SECONDS
        return tuple(
            name
            for name in names
            if (known := self._view.find(name)) is not None
            and known.measured_at >= oldest
        )
