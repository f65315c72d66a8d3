"""Requests that are suspected of crashing each target that runs them."""

from __future__ import annotations

import hashlib
import json

import attrs

from laburnumstep import core

SUSPECT_SECONDS = 1800.0
"""How long a crash counts against a request, in seconds."""
MAX_FINGERPRINTS = 10_000
"""Fingerprints that are kept; the oldest are dropped first."""


@attrs.frozen
class Crash:
    """One target that crashed while it ran a request."""

    fingerprint: str
    """Fingerprint of the request."""
    target: str
    """Name of the target."""
    expires_at: float
    """When the crash no longer counts, in epoch seconds."""


class CrashSuspects:
    """Counts the distinct targets that each request has crashed.

    Args:
        limit: Targets at which a request is refused.
        clock: Tells when crashes no longer count.
    """

    def __init__(
        self, limit: int = 2, clock: core.Clock | None = None
    ) -> None:
        self._limit = limit
        self._clock = clock if clock is not None else core.SystemClock()
        self._crashes: dict[str, dict[str, float]] = {}

    def record_crash(self, fingerprint: str, target: str) -> Crash:
        """Count a crash that this VM saw, and return it for gossip."""
        until = self._clock.now() + SUSPECT_SECONDS
        crash = Crash(fingerprint, target, until)
        self.merge(crash)
        return crash

    def merge(self, crash: Crash) -> None:
        """Count a crash that a sibling saw; repeated ones count once."""
        if crash.expires_at <= self._clock.now():
            return
        targets = self._crashes.pop(crash.fingerprint, {})
        known = targets.get(crash.target, 0.0)
        targets[crash.target] = max(known, crash.expires_at)
        while len(self._crashes) >= MAX_FINGERPRINTS:
            del self._crashes[next(iter(self._crashes))]
        self._crashes[crash.fingerprint] = targets

    def record_target_crash(
        self, target: str, fingerprints: list[str]
    ) -> list[Crash]:
        """Count a crash against the requests that may have caused it.

        Where one of them crashed another target before, it explains the
        crash, and the others are not counted. Placement keeps suspects
        apart, so healthy requests do not collect two crashes.

        Args:
            target: Name of the target.
            fingerprints: Requests that ran on it.
        """
        suspects = [name for name in fingerprints if self.is_suspect(name)]
        blamed = dict.fromkeys(suspects or fingerprints)
        return [self.record_crash(name, target) for name in blamed]

    def record_completion(self, fingerprint: str) -> None:
        """Clear a request that has run to its end on a target."""
        self._crashes.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a request has crashed a target."""
        return bool(self.list_targets(fingerprint))

    def list_targets(self, fingerprint: str) -> list[str]:
        """Return the targets that a request has crashed."""
        targets = self._crashes.get(fingerprint)
        if targets is None:
            return []
        now = self._clock.now()
        live = {name: t for name, t in targets.items() if t > now}
        if live:
            self._crashes[fingerprint] = live
        else:
            del self._crashes[fingerprint]
        return list(live)

    def is_refused(self, fingerprint: str) -> bool:
        """Tell whether a request has crashed too many targets.

        A request that is sent again and again stays refused: each refusal
        renews the time for which its crashes count.
        """
        if len(self.list_targets(fingerprint)) < self._limit:
            return False
        until = self._clock.now() + SUSPECT_SECONDS
        for target in self._crashes[fingerprint]:
            self._crashes[fingerprint][target] = until
        return True


def fingerprint_generation(generation: core.Generation) -> str:
    """Return the fingerprint of a generation within its workspace."""
    return _digest(generation.workspace, generation.model, generation.prompt)


def fingerprint_call(call: core.ServiceCall) -> str:
    """Return the fingerprint of a service call within its workspace."""
    payload = json.dumps(call.payload, sort_keys=True)
    return _digest(call.workspace, call.service, call.operation, payload)


def _digest(*parts: str) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        data = part.encode()
        # The length in front keeps ('ab', 'c') apart from ('a', 'bc').
        digest.update(len(data).to_bytes(8, 'big') + data)
    return digest.hexdigest()
