"""Limits of single attempts and of their answers."""

from __future__ import annotations

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Limit on the JSON answers of one target that are read at the same time, in
bytes. A target in trouble may send without end."""


def bound_attempt(now: float, deadline: float, targets_left: int) -> float:
    """Return the deadline of an attempt on one target, in epoch seconds.

    If other targets can be tried afterwards, the attempt gets half of the
    remaining time, so that a target that hangs does not use up the
    deadline of the request.

    Args:
        now: Current time, in epoch seconds.
        deadline: Deadline of the request, in epoch seconds.
        targets_left: Number of targets that can be tried afterwards.
    """
    if not targets_left:
        return deadline
    return now + (deadline - now) / 2
