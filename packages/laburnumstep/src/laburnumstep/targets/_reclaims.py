"""Selection of the requests to move from a target before its reclaim."""

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
    """Return this VM's sends that will probably not end before the reclaim.

    Sends with the fewest tokens come first, because moving them loses the
    least work. The caller must only move those without delivered tokens.

    Args:
        view: Targets and their load.
        target_name: Name of the target that will be reclaimed.
        lengths: Observed lengths of answers.
    """
    state = view.find(target_name)
    if state is None or state.report is None:
        return []
    reclaim_at = state.report.reclaim_at
    if reclaim_at is None:
        return []
    left = max(0.0, reclaim_at - view.clock.now())
    token_seconds = view.token_seconds
    unfinished = [
        send
        for send in state.sends.values()
        if token_seconds is None
        or left
        < token_seconds
        * lengths.expect_remaining(send.workspace, send.model, send.tokens)
    ]
    unfinished.sort(key=lambda send: send.tokens)
    return unfinished
