"""How long one target may take of a request's time."""

from __future__ import annotations


def bound_attempt(now: float, deadline: float, targets_left: int) -> float:
    """Return when to give up on one target, in epoch seconds.

    With targets left, half of the remaining time is kept for them, so that
    a target that hangs does not use up the deadline.

    Args:
        now: In epoch seconds.
        deadline: When the answer is useless, in epoch seconds.
        targets_left: Targets that could be tried afterwards.
    """
    if not targets_left:
        return deadline
    return now + (deadline - now) / 2
