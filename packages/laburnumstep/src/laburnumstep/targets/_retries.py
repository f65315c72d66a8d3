"""Retry budget: a limit on retries relative to the load."""

from __future__ import annotations

import collections
import typing

import attrs

WINDOW_SECONDS = 60
"""Length of the sliding window, in seconds."""


@attrs.define
class _Slot:
    """Requests and retries of one second."""

    second: int
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Limits retries to a fraction of the requests in a sliding window.

    Args:
        ratio: Maximum number of retries for each request in the window.
        get_extra: Returns the number of retries in a window that are allowed
            in addition.
        window: Length of the sliding window, in whole seconds.
    """

    def __init__(
        self,
        ratio: float = 0.1,
        get_extra: typing.Callable[[], float] = lambda: 0.0,
        window: int = WINDOW_SECONDS,
    ) -> None:
        self._ratio = ratio
        self._get_extra = get_extra
        self._window = window
        self._slots: collections.deque[_Slot] = collections.deque()
        self._requests = 0
        self._retries = 0

    def record_request(self, now: float) -> None:
        """Count a request that is not a retry.

        Args:
            now: Current time, in epoch seconds.
        """
        self._get_slot(now).requests += 1
        self._requests += 1

    def try_spend(self, now: float) -> bool:
        """Count one retry if the budget allows it; return whether it does.

        If there is any request in the window, at least one retry is
        allowed. Otherwise a deployment with fewer than ten requests a
        minute could not retry at all.

        Args:
            now: Current time, in epoch seconds.
        """
        slot = self._get_slot(now)
        allowed = self._ratio * self._requests + self._get_extra()
        if self._requests and self._ratio > 0:
            allowed = max(1.0, allowed)
        if self._retries + 1 > allowed:
            return False
        slot.retries += 1
        self._retries += 1
        return True

    def record_retry(self, now: float) -> None:
        """Count a retry that is made regardless of the budget.

        Args:
            now: Current time, in epoch seconds.
        """
        self._get_slot(now).retries += 1
        self._retries += 1

    def _get_slot(self, now: float) -> _Slot:
        second = int(now)
        while self._slots and self._slots[0].second <= second - self._window:
            old = self._slots.popleft()
            self._requests -= old.requests
            self._retries -= old.retries
        if not self._slots or self._slots[-1].second < second:
            self._slots.append(_Slot(second))
        return self._slots[-1]
