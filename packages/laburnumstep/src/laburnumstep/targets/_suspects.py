"""Crash suspects: requests that may crash every target that runs them."""

from __future__ import annotations

import attrs

from laburnumstep import core

SUSPECT_SECONDS = 1800.0
"""How long a crash counts against a request, in seconds."""
MAX_FINGERPRINTS = 10_000
"""Maximum number of fingerprints; the oldest are dropped first."""


@attrs.frozen
class Crash:
    """A crash of a target while it ran a request."""

    fingerprint: str
    """Fingerprint of the request."""
    target: str
    """Name of the target."""
    expires_at: float
    """When the crash no longer counts, in epoch seconds."""


class CrashSuspects:
    """Counts the distinct targets that each request has crashed.

    Args:
        limit: Number of crashed targets at which a request is refused.
        clock: Clock for the expiry of crashes.
    """

    def __init__(
        self, limit: int = 2, clock: core.Clock | None = None
    ) -> None:
        self._limit = limit
        self._clock = clock if clock is not None else core.SystemClock()
        self._crashes: dict[str, dict[str, float]] = {}

    def record_crash(self, fingerprint: str, target: str) -> Crash:
        """Count a crash observed by this VM, and return it for gossip."""
        until = self._clock.now() + SUSPECT_SECONDS
        crash = Crash(fingerprint, target, until)
        self.merge(crash)
        return crash

    def merge(self, crash: Crash) -> None:
        """Count a crash observed by a sibling; each target counts once."""
        if crash.expires_at <= self._clock.now():
            return
        targets = self._crashes.pop(crash.fingerprint, {})
        known_until = targets.get(crash.target, 0.0)
        targets[crash.target] = max(known_until, crash.expires_at)
        while len(self._crashes) >= MAX_FINGERPRINTS:
            del self._crashes[next(iter(self._crashes))]
        self._crashes[crash.fingerprint] = targets

    def record_target_crash(
        self, target: str, fingerprints: list[str]
    ) -> list[Crash]:
        """Count a crash of a target for the requests that may have caused it.

        If some of the requests are crash suspects already, the crash counts
        for these only. Placement sends suspects to different targets, so a
        healthy request is not counted for two crashes.

        Args:
            target: Name of the target.
            fingerprints: Fingerprints of the requests that ran on it.

        Returns:
            The counted crashes, for gossip.
        """
        suspects = [name for name in fingerprints if self.is_suspect(name)]
        blamed = dict.fromkeys(suspects or fingerprints)
        return [self.record_crash(name, target) for name in blamed]

    def record_completion(self, fingerprint: str) -> None:
        """Clear a request that has completed on a target."""
        self._crashes.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request has crashed a target."""
        return bool(self.list_targets(fingerprint))

    def list_targets(self, fingerprint: str) -> list[str]:
        """Return the targets that a request has crashed."""
        targets = self._crashes.get(fingerprint)
        if targets is None:
            return []
        now = self._clock.now()
        counted = {name: t for name, t in targets.items() if t > now}
        if counted:
            self._crashes[fingerprint] = counted
        else:
            del self._crashes[fingerprint]
        return list(counted)

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request has crashed too many targets.

        Each refusal renews the expiry of the crashes, so a request that is
        sent repeatedly stays refused.
        """
        if len(self.list_targets(fingerprint)) < self._limit:
            return False
        until = self._clock.now() + SUSPECT_SECONDS
        for target in self._crashes[fingerprint]:
            self._crashes[fingerprint][target] = until
        return True
