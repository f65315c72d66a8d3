"""Applies what targets say about themselves to placement."""

from __future__ import annotations

import typing

from laburnumstep import core

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _leaving
    from laburnumstep.targets import _self_reports
    from laburnumstep.targets import _view
    from laburnumstep.targets import limits

_LOGGER = core.get_logger('targets')


class TargetNotices:
    """Applies the self-reports in the answers to this VM.

    Args:
        clock: Clock of the answers.
        view: Places no requests on targets that have asked for none.
        leaving: Remembers the targets that are leaving.
        cold: Remembers the targets that are cold.
        metrics: Counts back-offs.
    """

    def __init__(
        self,
        clock: core.Clock,
        view: _view.FleetView,
        leaving: _leaving.LeavingTargets,
        cold: limits.ColdTargets,
        metrics: core.Metrics,
    ) -> None:
        self._clock = clock
        self._view = view
        self._leaving = leaving
        self._cold = cold
        self._metrics = metrics

    def record(
        self, target: str, report: _self_reports.SelfReport, sent_at: float
    ) -> None:
        """Apply what an answer says about its target.

        Args:
            target: Name of the target.
            report: What the answer says.
            sent_at: When its request was sent, in epoch seconds.
        """
        if not self._leaving.is_current(target, sent_at):
            return
        if report.leaving:
            self._leaving.record_answer(target, sent_at)
        if report.cold_seconds is not None:
            self._cold.record_answer(target, report.cold_seconds, sent_at)
        if report.back_off_seconds:
            self._back_off(target, report.back_off_seconds)

    def find_back_off(self, target: str) -> float | None:
        """Return until when a target has asked for no requests.

        Args:
            target: Name of the target.

        Returns:
            The time in epoch seconds, or None if it takes requests.
        """
        state = self._view.find(target)
        if state is None or state.back_off_until <= self._clock.now():
            return None
        return state.back_off_until

    def record_restart(self, target: str) -> None:
        """Forget what a target has said before it started again."""
        self._leaving.record_restart(target)
        self._view.set_back_off(target, 0.0)
        self._view.set_held(target, 0.0)

    def _back_off(self, target: str, seconds: float) -> None:
        until = self._clock.now() + seconds
        # Answers on several connections may overtake each other.
        if until <= (self.find_back_off(target) or 0.0):
            return
        self._metrics.count('targets.back_offs')
        _LOGGER.info(
            'target asks for a back-off; target=%s seconds=%.3f',
            target,
            seconds,
        )
        self._view.set_back_off(target, until)
