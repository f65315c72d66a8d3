"""Registry of targets that register themselves with expiring entries."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core

EXPIRY_GRACE_SECONDS = 2.0
"""How long a missing entry is retained, in seconds. Shortly after a failure of
the registry the target is used meanwhile, as it may be alive."""
DEFERRED_SECONDS = 5.0
"""After which time the old entry of a target that had left is applied, in
seconds. The entry of one that is gone lapses earlier, after three missed
renewals."""
RENEWAL_SECONDS = 3.0
"""Time after the last failure within which live targets have renewed an entry
that lapsed, in seconds: 2 s for the targets and 1 s until the registry is
read again."""
MAX_REMEMBERED = 10_000
"""Most targets whose last entry is remembered."""
UNRELIABLE_SECONDS = 6.0
"""How long the registry counts as unreliable after a failure, in seconds.
During this time entries may be older than what targets have written."""

_LOGGER = core.get_logger('targets')

DeploymentListener = typing.Callable[[core.Deployment], None]
LeavingListener = typing.Callable[[str], None]
RestartListener = typing.Callable[[str], None]


@attrs.frozen
class Registration:
    """What a target says of itself in its entry."""

    target: core.Target
    """The target."""
    started_at: int
    """Start of the target, in epoch milliseconds."""
    renewals: int = 0
    """Number of times that it has written its entry since its start."""


@attrs.define(eq=False)
class _RegistryEntry:
    """A target, the time of its start, and when to drop its missing entry."""

    target: core.Target
    started_at: int
    expires_at: float | None = None


class TargetRegistry:
    """Tracks the registered targets and publishes their changes.

    Args:
        clock: Clock for the expiry of missing entries.
        template: Deployment to which the registered targets are added.
        on_change: Called with the new deployment when targets have changed.
        on_leaving: Called with the name of each target that is leaving.
        on_restart: Called with the name of each target that has started again
            under its name.
    """

    def __init__(
        self,
        clock: core.Clock,
        template: core.Deployment,
        on_change: DeploymentListener,
        on_leaving: LeavingListener,
        on_restart: RestartListener = lambda name: None,
    ) -> None:
        self._clock = clock
        self._template = template
        self._on_change = on_change
        self._on_leaving = on_leaving
        self._on_restart = on_restart
        self._entries: dict[str, _RegistryEntry] = {}
        # The last entry of each target, kept also after its removal.
        self._last: dict[str, Registration] = {}
        self._deferred: dict[str, tuple[Registration, float]] = {}
        self._reliable_at = 0.0
        self._renewed_at = 0.0
        self._loaded = False

    @property
    def loaded(self) -> bool:
        """Whether the registry has been read."""
        return self._loaded

    @property
    def reliable(self) -> bool:
        """Whether the registry has been read without a recent failure."""
        return self._clock.now() >= self._reliable_at

    @property
    def targets(self) -> dict[str, core.Target]:
        """Registered targets by name."""
        return {name: item.target for name, item in self._entries.items()}

    def find(self, name: str) -> core.Target | None:
        """Return a registered target, or None."""
        entry = self._entries.get(name)
        return entry.target if entry is not None else None

    def find_registration(self, name: str) -> Registration | None:
        """Return the newest entry of a target, also after its removal."""
        return self._last.get(name)

    def record_failure(self) -> None:
        """Record that the registry could not be read."""
        now = self._clock.now()
        self._reliable_at = now + UNRELIABLE_SECONDS
        self._renewed_at = now + RENEWAL_SECONDS

    def replace(self, registrations: dict[str, Registration]) -> None:
        """Replace all entries, except by what they have said before.

        The entries may come from an old copy. One that differs from a later
        one of its target is ignored: a target that has said that it leaves
        must not get work because of what it said earlier.

        Args:
            registrations: Entries by name of the target.
        """
        self._loaded = True
        changed = False
        for name in list(self._entries):
            if name not in registrations:
                changed |= self._remove_entry(name)
        self._deferred.clear()
        for name, registration in registrations.items():
            if self._is_outdated(name, registration):
                self._await_renewal(name, registration)
            else:
                changed |= self._put_entry(name, registration)
        self._publish_changes(changed)

    def update(self, registrations: dict[str, Registration | None]) -> None:
        """Apply changed entries, in the order in which they were written.

        Args:
            registrations: Entries by name of the target; None for one that
                was removed.
        """
        changed = False
        for name, registration in registrations.items():
            self._deferred.pop(name, None)
            if registration is None:
                changed |= self._remove_entry(name)
            else:
                changed |= self._put_entry(name, registration)
        self._publish_changes(changed)

    async def run(self) -> None:
        """Drop missing entries periodically until cancelled."""
        while True:
            await self._clock.sleep_until(
                self._clock.now() + EXPIRY_GRACE_SECONDS / 4
            )
            self._publish_changes(self._apply_deferred())

    def _apply_deferred(self) -> bool:
        """Apply old entries that have not lapsed; return whether any did."""
        now = self._clock.now()
        due = {
            name: registration
            for name, (registration, until) in self._deferred.items()
            if until <= now
        }
        for name, registration in due.items():
            del self._deferred[name]
            self._put_entry(name, registration)
        return bool(due)

    def _is_outdated(self, name: str, registration: Registration) -> bool:
        """Return whether a target has written something else later."""
        last = self._last.get(name)
        if last is None:
            return False
        entry = self._entries.get(name)
        if entry is not None and entry.target == registration.target:
            return False
        return (registration.started_at, registration.renewals) < (
            last.started_at,
            last.renewals,
        )

    def _await_renewal(self, name: str, registration: Registration) -> None:
        """Wait for a newer entry in place of an old one.

        The entry of a known target is kept meanwhile. That of a target which
        had left is applied later, unless it lapses first: its renewals need
        not be told apart from it.
        """
        now = self._clock.now()
        entry = self._entries.get(name)
        if entry is None:
            self._deferred[name] = (registration, now + DEFERRED_SECONDS)
        elif entry.expires_at is None:
            entry.expires_at = now + EXPIRY_GRACE_SECONDS
        _LOGGER.info(
            'old entry ignored; target=%s kept=%s',
            name,
            'no' if entry is None else 'yes',
        )

    def _put_entry(self, name: str, registration: Registration) -> bool:
        """Add or replace an entry; return whether the targets changed."""
        target, started_at = registration.target, registration.started_at
        entry = self._entries.get(name)
        if entry is not None and entry.started_at > started_at:
            return False
        core.put_bounded(self._last, name, registration, MAX_REMEMBERED)
        if entry is not None and entry.started_at == started_at:
            if entry.target == target and entry.expires_at is None:
                return False
        self._entries[name] = _RegistryEntry(target, started_at)
        restarted = entry is not None and entry.started_at != started_at
        if restarted:
            self._on_restart(name)
        started = entry is None or restarted
        was_leaving = entry is not None and entry.target.leaving
        if started or was_leaving != target.leaving:
            _LOGGER.info(
                'target registered; target=%s data_centre=%s leaving=%s',
                name,
                target.data_centre,
                target.leaving,
            )
        return True

    def _remove_entry(self, name: str) -> bool:
        """Mark an entry as missing; return whether the targets changed."""
        entry = self._entries.get(name)
        if entry is None or entry.expires_at is not None:
            return False
        now = self._clock.now()
        kept = now < self._renewed_at and not entry.target.leaving
        _LOGGER.info(
            'entry removed; target=%s kept=%s', name, 'yes' if kept else 'no'
        )
        entry.expires_at = now + EXPIRY_GRACE_SECONDS
        if kept:
            entry.expires_at = min(entry.expires_at, self._renewed_at)
        else:
            entry.target = attrs.evolve(entry.target, leaving=True)
        return not kept

    def _publish_changes(self, changed: bool) -> None:
        """Drop expired entries and call the listeners after a change."""
        now = self._clock.now()
        for name, entry in list(self._entries.items()):
            if entry.expires_at is not None and entry.expires_at <= now:
                del self._entries[name]
                self._on_leaving(name)
                changed = True
        if not changed:
            return
        self._on_change(attrs.evolve(self._template, targets=self.targets))
        for name, entry in self._entries.items():
            if entry.target.leaving:
                self._on_leaving(name)
