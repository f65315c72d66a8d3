"""Decisions on retries of requests whose target failed."""

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
    """Targets on which the request failed before."""
    deadline: float
    """Deadline of the request, in epoch seconds."""
    outcome: core.Outcome
    """Whether the target has begun the request."""
    repeatable: bool
    """Whether it may run twice: a generation or an idempotent call."""
    delivered: int
    """Number of tokens that the caller has received."""
    refused: bool
    """Whether the request is refused because it crashed too many targets."""


@attrs.frozen
class Retry:
    """The request is retried on another target."""

    excluded: frozenset[str]
    """Targets that must not be chosen."""


@attrs.frozen
class GiveUp:
    """The request is not retried; the caller receives an error."""

    code: core.ErrorCode
    """Code of the error."""
    outcome: core.Outcome
    """Whether the request ran."""
    resend: bool
    """Whether the caller may send the request again."""


RetryDecision = Retry | GiveUp


def decide_retry(
    attempt: FailedAttempt, budget: _retries.RetryBudget, now: float
) -> RetryDecision:
    """Decide whether to retry a request whose target failed.

    The budget is checked last, so that it is spent only by retries that
    are made.

    Args:
        attempt: The failed attempt.
        budget: Budget of retries.
        now: Current time, in epoch seconds.
    """
    code = _find_error_code(attempt, now)
    if code is None and not budget.try_spend(now):
        code = core.ErrorCode.TARGET_FAILED
    if code is None:
        return Retry(attempt.excluded | {attempt.target})
    # The caller may send a repeatable request again, and any other request
    # only if no target has begun it.
    resend = attempt.repeatable or attempt.outcome is core.Outcome.NOT_RUN
    refused = code is core.ErrorCode.REQUEST_CRASHES_TARGETS
    return GiveUp(code, attempt.outcome, resend and not refused)


def _find_error_code(
    attempt: FailedAttempt, now: float
) -> core.ErrorCode | None:
    if attempt.refused:
        return core.ErrorCode.REQUEST_CRASHES_TARGETS
    if attempt.delivered:
        # A retry would be another generation, whose tokens must not follow
        # those of the first one.
        return core.ErrorCode.GENERATION_LOST
    if not attempt.repeatable and attempt.outcome is not core.Outcome.NOT_RUN:
        return core.ErrorCode.OUTCOME_UNKNOWN
    if attempt.deadline <= now:
        return core.ErrorCode.DEADLINE_EXCEEDED
    return None
