"""Budget of retries as a share of the load."""

from __future__ import annotations

import collections

import attrs

WINDOW_SECONDS = 60
"""Time over which requests and retries are compared, in seconds."""


@attrs.define
class _Slot:
    second: int
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Allows retries up to a share of the requests of a sliding window.

    Args:
        share: Retries for each request, at most.
        extra: Retries in a window that need no requests.
        window: Time over which requests and retries are compared, in
            whole seconds.
    """

    def __init__(
        self,
        share: float = 0.1,
        extra: float = 0.0,
        window: int = WINDOW_SECONDS,
    ) -> None:
        self._share = share
        self._extra = extra
        self._window = window
        self._slots: collections.deque[_Slot] = collections.deque()
        self._requests = 0
        self._retries = 0

    def record_request(self, now: float) -> None:
        """Count a request that is not a retry; `now` in epoch seconds."""
        self._find_slot(now).requests += 1
        self._requests += 1

    def try_spend(self, now: float) -> bool:
        """Take one retry from the budget if there is one.

        A single retry a minute is allowed below ten requests a minute, so
        that a quiet deployment can retry at all.
        """
        slot = self._find_slot(now)
        allowed = self._share * self._requests
        if self._requests and self._share > 0:
            allowed = max(1.0, allowed)
        if self._retries + 1 > allowed + self._extra:
            return False
        slot.retries += 1
        self._retries += 1
        return True

    def record_retry(self, now: float) -> None:
        """Count a repeated send that is made whatever the budget says."""
        self._find_slot(now).retries += 1
        self._retries += 1

    def _find_slot(self, now: float) -> _Slot:
        second = int(now)
        while self._slots and self._slots[0].second <= second - self._window:
            old = self._slots.popleft()
            self._requests -= old.requests
            self._retries -= old.retries
        if not self._slots or self._slots[-1].second < second:
            self._slots.append(_Slot(second))
        return self._slots[-1]
