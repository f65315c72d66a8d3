"""Targets whose answers say that they are leaving."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _registry

MAX_REMEMBERED = 10_000
"""Most targets that are remembered as leaving, or as started again."""

_LOGGER = core.get_logger('targets')

Listener = typing.Callable[[str, bool], None]


@attrs.define
class _Leaving:
    """A target that has said that it is leaving."""

    started_at: int | None
    """Start of the target when it said so, if known."""
    renewals: int | None
    """Renewals of its newest entry that says so too; None without one."""


class LeavingTargets:
    """Remembers which targets have said in answers that they are leaving.

    A target counts as leaving until it starts again, or until an entry says
    that it is ready after one that said it was leaving. An entry that was
    ready all the time may have been written before the answer.

    Args:
        clock: Clock of the answers.
        find_registration: Returns the newest entry of a target, if any.
        on_change: Called with a target and whether it is leaving.
    """

    def __init__(
        self,
        clock: core.Clock,
        find_registration: typing.Callable[
            [str], _registry.Registration | None
        ],
        on_change: Listener,
    ) -> None:
        self._clock = clock
        self._find_registration = find_registration
        self._on_change = on_change
        self._leaving: dict[str, _Leaving] = {}
        self._restarted_at: dict[str, float] = {}

    def record_answer(self, target: str, sent_at: float) -> None:
        """Record that an answer says that its target is leaving.

        Args:
            target: Name of the target.
            sent_at: When its request was sent, in epoch seconds.
        """
        if target in self._leaving or not self.is_current(target, sent_at):
            return
        entry = self._find_registration(target)
        leaving = _Leaving(None, None)
        if entry is not None:
            renewals = entry.renewals if entry.target.leaving else None
            leaving = _Leaving(entry.started_at, renewals)
        core.put_bounded(self._leaving, target, leaving, MAX_REMEMBERED)
        _LOGGER.info('target says that it is leaving; target=%s', target)
        self._on_change(target, True)

    def is_current(self, target: str, sent_at: float) -> bool:
        """Return whether an answer can come from the running process.

        Args:
            target: Name of the target.
            sent_at: When its request was sent, in epoch seconds.
        """
        return sent_at >= self._restarted_at.get(target, 0.0)

    def apply_entry(self, name: str, entry: _registry.Registration) -> None:
        """Apply an entry of a target; each one in the order of writing.

        Args:
            name: Name of the target.
            entry: The entry.
        """
        known = self._leaving.get(name)
        if known is None:
            return
        if known.started_at is None:
            known.started_at = entry.started_at
        if entry.started_at != known.started_at:
            return
        if entry.target.leaving:
            known.renewals = entry.renewals
        elif known.renewals is not None and entry.renewals > known.renewals:
            self._end(name, 'its entry is ready again')

    def record_restart(self, name: str) -> None:
        """Record that a target has started again under its name."""
        core.put_bounded(
            self._restarted_at, name, self._clock.now(), MAX_REMEMBERED
        )
        if name in self._leaving:
            self._end(name, 'it has started again')

    def _end(self, name: str, reason: str) -> None:
        del self._leaving[name]
        _LOGGER.info(
            'target is no longer leaving; target=%s reason="%s"', name, reason
        )
        self._on_change(name, False)
