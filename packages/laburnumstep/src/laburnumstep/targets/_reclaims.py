"""Which requests are moved from a target that is taken back."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _lengths
    from laburnumstep.targets import _sends
    from laburnumstep.targets import _view


def list_unfinished(
    view: _view.FleetView,
    target_name: str,
    lengths: _lengths.LengthEstimator,
) -> list[_sends.Send]:
    """Return own sends that will probably not end before the reclaim.

    Those that have produced least come first: moving them loses least.
    The caller moves only those whose tokens were not delivered.

    Args:
        view: Targets and their load.
        target_name: Name of the target that is taken back.
        lengths: Expected lengths of answers.
    """
    state = view.find(target_name)
    if state is None or state.report is None:
        return []
    reclaim_at = state.report.reclaim_at
    if reclaim_at is None:
        return []
    left = max(0.0, reclaim_at - view.clock.now())
    pace = view.token_seconds
    unfinished = [
        send
        for send in state.sends.values()
        if pace is None
        or left
        < pace
        * lengths.expect_remaining(send.workspace, send.model, send.tokens)
    ]
    unfinished.sort(key=lambda send: send.tokens)
    return unfinished
