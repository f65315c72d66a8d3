"""Registry of targets that register themselves with expiring entries."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core

EXPIRY_GRACE_SECONDS = 2.0
"""How long a missing entry is retained, in seconds. If the registry was
unreliable, the target is used meanwhile. Live targets renew their entries
within this time."""
UNRELIABLE_SECONDS = 6.0
"""How long the registry counts as unreliable after a failure, in seconds.
During this time an entry can expire only because its target could not renew
it."""

_LOGGER = core.get_logger('targets')

DeploymentListener = typing.Callable[[core.Deployment], None]
LeavingListener = typing.Callable[[str], None]
RestartListener = typing.Callable[[str], None]


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
        self._reliable_at = 0.0
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

    def record_failure(self) -> None:
        """Record that the registry could not be read."""
        self._reliable_at = self._clock.now() + UNRELIABLE_SECONDS

    def replace(self, targets: dict[str, tuple[core.Target, int]]) -> None:
        """Replace all entries.

        Args:
            targets: Target and time of its start, by name.
        """
        self._loaded = True
        changed = False
        for name in list(self._entries):
            if name not in targets:
                changed |= self._remove_entry(name)
        for name, (target, started_at) in targets.items():
            changed |= self._put_entry(name, target, started_at)
        self._publish_changes(changed)

    def update(
        self, targets: dict[str, tuple[core.Target, int] | None]
    ) -> None:
        """Apply changed entries.

        Args:
            targets: Target and time of its start, by name; None for an
                entry that was removed.
        """
        changed = False
        for name, entry in targets.items():
            if entry is None:
                changed |= self._remove_entry(name)
            else:
                changed |= self._put_entry(name, *entry)
        self._publish_changes(changed)

    async def run(self) -> None:
        """Drop missing entries periodically until cancelled."""
        while True:
            await self._clock.sleep_until(
                self._clock.now() + EXPIRY_GRACE_SECONDS / 4
            )
            self._publish_changes(False)

    def _put_entry(
        self, name: str, target: core.Target, started_at: int
    ) -> bool:
        """Add or replace an entry; return whether the targets changed."""
        entry = self._entries.get(name)
        if entry is not None and entry.started_at > started_at:
            return False
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
        entry.expires_at = now + EXPIRY_GRACE_SECONDS
        kept = not self.reliable and not entry.target.leaving
        _LOGGER.info(
            'entry removed; target=%s kept=%s', name, 'yes' if kept else 'no'
        )
        if not kept:
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
