"""Requests of callers, independent of their encoding."""

from __future__ import annotations

import enum
import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep.core import _keys


class Delivery(enum.Enum):
    """How generated tokens are delivered to the caller."""

    STREAM = 'stream'
    """Each token as soon as it is generated."""
    WHOLE = 'whole'
    """All tokens when the generation is complete."""


@attrs.frozen
class Generation:
    """A request for generated text of unknown length."""

    key: _keys.RequestKey
    """Idempotency key of the request."""
    workspace: str
    """Name of the workspace to which it is charged."""
    model: str
    """Name of the model."""
    prompt: str
    """Input text that the model continues."""
    max_tokens: int
    """Largest number of tokens to generate."""
    priority: int
    """Priority; higher numbers are served first."""
    deadline: float
    """Time until which the caller waits, in epoch seconds."""
    delivery: Delivery
    """How the tokens are delivered."""


@attrs.frozen
class ServiceCall:
    """A request for one operation of a plain service."""

    key: _keys.RequestKey
    """Idempotency key of the request."""
    workspace: str
    """Name of the workspace to which it is charged."""
    service: str
    """Name of the service."""
    operation: str
    """Name of the operation."""
    payload: dict[str, typing.Any]
    """Arguments in the format of the service."""
    deadline: float
    """Time until which the caller waits, in epoch seconds."""


@attrs.frozen
class CallResult:
    """Response of a plain service."""

    status: int
    """HTTP status of the service."""
    result: typing.Any
    """Decoded body of the response."""
