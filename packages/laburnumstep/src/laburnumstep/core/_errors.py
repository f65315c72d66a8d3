"""Errors with stable codes, as they are reported to callers."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """Whether a request ran on a target."""

    NOT_RUN = 'not_run'
    """No target has started the request."""
    RAN = 'ran'
    """A target has started the request."""
    UNKNOWN = 'unknown'
    """A target may have started the request."""


class ErrorCode(enum.Enum):
    """Stable codes of errors."""

    BAD_REQUEST = 'bad_request'
    """The request does not follow the interface."""
    UNAUTHORIZED = 'unauthorized'
    """The credentials are missing, wrong or expired."""
    UNKNOWN_ROUTE = 'unknown_route'
    """No route serves the host and path."""
    NO_CONFIGURATION = 'no_configuration'
    """The VM has not received the configuration in force yet."""
    OVERLOADED = 'overloaded'
    """No target has capacity before the deadline."""
    LIMIT_EXCEEDED = 'limit_exceeded'
    """The workspace is over one of its limits."""
    NO_TARGET = 'no_target'
    """No live target serves the model or service."""
    LOG_UNAVAILABLE = 'log_unavailable'
    """A claim cannot be recorded because the log does not respond."""
    KEY_EXPIRED = 'key_expired'
    """The request key was issued too long ago to be claimed."""
    KEY_NOT_VALID_YET = 'key_not_valid_yet'
    """The request key was issued too far in the future."""
    KEY_IN_USE = 'key_in_use'
    """Another request has claimed the same key."""
    OUTCOME_UNKNOWN = 'outcome_unknown'
    """The operation was sent, but its response was lost."""
    GENERATION_LOST = 'generation_lost'
    """The engine lost the generation after tokens were delivered."""
    GENERATION_UNKNOWN = 'generation_unknown'
    """The engine has no such generation."""
    GENERATION_CANCELLED = 'generation_cancelled'
    """The generation was cancelled."""
    REQUEST_CRASHES_TARGETS = 'request_crashes_targets'
    """The request is suspected of crashing each target that runs it."""
    HANDLE_INVALID = 'handle_invalid'
    """The resume handle is forged, expired or another workspace's."""
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    """The caller's deadline passed."""
    TARGET_FAILED = 'target_failed'
    """The target failed while it ran the request."""
    VM_STOPPING = 'vm_stopping'
    """The VM is stopping."""
    INTERNAL = 'internal'
    """An internal error of laburnumstep."""
    LOG_APPEND_RATE = 'log_append_rate'
    """The log refused an append because of its rate limit."""
    CONFIGURATION_CONFLICT = 'configuration_conflict'
    """Another publication was accepted first."""


class CodedError(Exception):
    """An error with a stable code.

    Args:
        code: The stable code.
        message: Human-readable description.
        outcome: Whether the request ran on a target.
        resend: Whether the request can succeed if the caller resends it.
        resend_at: Earliest time for a resend, in epoch seconds.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        outcome: Outcome = Outcome.NOT_RUN,
        resend: bool = False,
        resend_at: float | None = None,
    ) -> None:
        super().__init__(f'{code.value}: {message}')
        self.code = code
        self.message = message
        self.outcome = outcome
        self.resend = resend
        self.resend_at = resend_at

    def with_outcome(self, outcome: Outcome) -> CodedError:
        """Return a copy of the error with another outcome."""
        return CodedError(
            self.code, self.message, outcome, self.resend, self.resend_at
        )
