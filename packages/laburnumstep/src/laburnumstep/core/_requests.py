"""Requests as callers make them, free of any encoding."""

from __future__ import annotations

import enum
import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep.core import _keys


class Delivery(enum.Enum):
    """How the tokens of an answer are handed over."""

    STREAM = 'stream'
    """Each token as soon as it is known."""
    WHOLE = 'whole'
    """All tokens when the generation is complete."""


@attrs.frozen
class Generation:
    """A request for generated text of unknown length."""

    key: _keys.RequestKey
    """Idempotency key."""
    workspace: str
    """Name of the workspace that pays for it."""
    model: str
    """Name of the model."""
    prompt: str
    """Text to continue."""
    max_tokens: int
    """Upper bound of the answer, in tokens."""
    priority: int
    """Higher goes first."""
    deadline: float
    """Time after which the answer is useless, in epoch seconds."""
    delivery: Delivery
    """How the tokens are handed over."""


@attrs.frozen
class ServiceCall:
    """A request for one operation of a plain service."""

    key: _keys.RequestKey
    """Idempotency key."""
    workspace: str
    """Name of the workspace that pays for it."""
    service: str
    """Name of the service."""
    operation: str
    """Name of the operation."""
    payload: dict[str, typing.Any]
    """Arguments, as the service defines them."""
    deadline: float
    """Time after which the answer is useless, in epoch seconds."""


@attrs.frozen
class CallResult:
    """What a plain service answered."""

    status: int
    """HTTP status of the service."""
    result: typing.Any
    """Body of the answer."""
