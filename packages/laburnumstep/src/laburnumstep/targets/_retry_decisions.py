"""Whether a request that failed on a target is tried on another."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _retries


@attrs.frozen
class FailedAttempt:
    """A request whose target failed."""

    target: str
    """Name of the target that failed."""
    excluded: frozenset[str]
    """Targets on which it failed before."""
    deadline: float
    """Time after which the answer is useless, in epoch seconds."""
    outcome: core.Outcome
    """Whether the target began the request."""
    repeatable: bool
    """Whether it may run twice: a generation or an idempotent call."""
    delivered: int
    """Tokens that the caller has received."""
    refused: bool
    """Whether it has crashed too many targets."""


@attrs.frozen
class Retry:
    """The request is tried on another target."""

    excluded: frozenset[str]
    """Targets that must not be chosen."""


@attrs.frozen
class GiveUp:
    """The caller gets an error."""

    code: core.ErrorCode
    """Stable code of the error."""
    outcome: core.Outcome
    """Whether the request ran."""
    resend: bool
    """Whether sending it again can help."""


RetryDecision = Retry | GiveUp


def decide_retry(
    attempt: FailedAttempt, budget: _retries.RetryBudget, now: float
) -> RetryDecision:
    """Decide on a request whose target failed.

    The budget is asked last, so that only a retry that follows spends it.

    Args:
        attempt: What failed.
        budget: Retries that the load allows.
        now: In epoch seconds.
    """
    code = _find_obstacle(attempt, now)
    if code is None and not budget.try_spend(now):
        code = core.ErrorCode.TARGET_FAILED
    if code is None:
        return Retry(attempt.excluded | {attempt.target})
    # A repeatable request may be sent again; otherwise only one that no
    # target has begun.
    safe = attempt.repeatable or attempt.outcome is core.Outcome.NOT_RUN
    refused = code is core.ErrorCode.REQUEST_CRASHES_TARGETS
    return GiveUp(code, attempt.outcome, safe and not refused)


def _find_obstacle(
    attempt: FailedAttempt, now: float
) -> core.ErrorCode | None:
    if attempt.refused:
        return core.ErrorCode.REQUEST_CRASHES_TARGETS
    if attempt.delivered:
        # Another run is another generation; its tokens must not follow
        # those of the first.
        return core.ErrorCode.GENERATION_LOST
    if not attempt.repeatable and attempt.outcome is not core.Outcome.NOT_RUN:
        return core.ErrorCode.OUTCOME_UNKNOWN
    if attempt.deadline <= now:
        return core.ErrorCode.DEADLINE_EXCEEDED
    return None
