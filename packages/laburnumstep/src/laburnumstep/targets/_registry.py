"""Targets that register themselves, and entries of theirs that lapse."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core

LAPSE_SECONDS = 2.0
"""How long a target is still used whose entry lapsed while the registry
was unreliable. Entries of live targets are back within this time."""
UNSETTLED_SECONDS = 6.0
"""How long after a failure of the registry a missing entry may have
lapsed only because its target could not renew it."""

_LOGGER = core.get_logger('targets')

Apply = typing.Callable[[core.Deployment], None]
NoteLeaving = typing.Callable[[str], None]


@attrs.define(eq=False)
class _Entry:
    target: core.Target
    born: int
    lapses_at: float | None = None


class TargetRegistry:
    """Keeps the targets that are registered and applies their changes.

    Args:
        clock: Ends the time for which lapsed entries are kept.
        template: Deployment to which the targets are added.
        apply: Called with the deployment whenever targets changed.
        note_leaving: Called with the name of each target that leaves.
    """

    def __init__(
        self,
        clock: core.Clock,
        template: core.Deployment,
        apply: Apply,
        note_leaving: NoteLeaving,
    ) -> None:
        self._clock = clock
        self._template = template
        self._apply = apply
        self._note_leaving = note_leaving
        self._entries: dict[str, _Entry] = {}
        self._settled_at = 0.0
        self._known = False

    @property
    def known(self) -> bool:
        """Whether the registry has been read."""
        return self._known

    @property
    def targets(self) -> dict[str, core.Target]:
        """Registered targets by name."""
        return {name: item.target for name, item in self._entries.items()}

    def find(self, name: str) -> core.Target | None:
        """Return a registered target, or None."""
        entry = self._entries.get(name)
        return entry.target if entry is not None else None

    def note_failure(self) -> None:
        """Take note that the registry could not be read."""
        self._settled_at = self._clock.now() + UNSETTLED_SECONDS

    def replace(self, targets: dict[str, tuple[core.Target, int]]) -> None:
        """Take in all entries at once.

        Args:
            targets: Target and time of its start, by name.
        """
        self._known = True
        changed = False
        for name in list(self._entries):
            if name not in targets:
                changed |= self._remove(name)
        for name, (target, born) in targets.items():
            changed |= self._put(name, target, born)
        self._finish(changed)

    def update(
        self, targets: dict[str, tuple[core.Target, int] | None]
    ) -> None:
        """Take in changed entries; None removes one."""
        changed = False
        for name, entry in targets.items():
            if entry is None:
                changed |= self._remove(name)
            else:
                changed |= self._put(name, *entry)
        self._finish(changed)

    async def run(self) -> None:
        """Drop entries that lapsed and did not come back."""
        while True:
            await self._clock.sleep_until(
                self._clock.now() + LAPSE_SECONDS / 4
            )
            self._finish(False)

    def _put(self, name: str, target: core.Target, born: int) -> bool:
        entry = self._entries.get(name)
        if entry is not None and entry.born > born:
            return False
        if entry is not None and entry.born == born:
            if entry.target == target and entry.lapses_at is None:
                return False
        self._entries[name] = _Entry(target, born)
        started = entry is None or entry.born != born
        was_leaving = entry is not None and entry.target.leaving
        if started or was_leaving != target.leaving:
            _LOGGER.info(
                'target registered; target=%s data_centre=%s leaving=%s',
                name,
                target.data_centre,
                target.leaving,
            )
        return True

    def _remove(self, name: str) -> bool:
        entry = self._entries.get(name)
        if entry is None or entry.lapses_at is not None:
            return False
        now = self._clock.now()
        entry.lapses_at = now + LAPSE_SECONDS
        lapsed = now < self._settled_at and not entry.target.leaving
        _LOGGER.info(
            'entry removed; target=%s kept=%s', name, 'yes' if lapsed else 'no'
        )
        if not lapsed:
            entry.target = attrs.evolve(entry.target, leaving=True)
        return not lapsed

    def _finish(self, changed: bool) -> None:
        now = self._clock.now()
        for name, entry in list(self._entries.items()):
            if entry.lapses_at is not None and entry.lapses_at <= now:
                del self._entries[name]
                self._note_leaving(name)
                changed = True
        if not changed:
            return
        self._apply(attrs.evolve(self._template, targets=self.targets))
        for name, entry in self._entries.items():
            if entry.target.leaving:
                self._note_leaving(name)
