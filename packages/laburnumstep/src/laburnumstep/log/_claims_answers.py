"""Answers to a claim of a request key."""

from __future__ import annotations

import attrs

from laburnumstep import core


@attrs.frozen
class Granted:
    """The claim holds the key; only its owner may send the operation."""

    key: core.RequestKey
    """The claimed key."""
    nonce: str
    """Identifies the claim."""


@attrs.frozen
class Held:
    """Another claim holds the key and its operation has no known end."""

    key: core.RequestKey
    """The claimed key."""
    nonce: str
    """Identifies the claim that holds the key."""
    vm: str
    """Name of the VM that made it."""


@attrs.frozen
class Settled:
    """The operation of the key has run and its answer is known."""

    status: int
    """HTTP status of the answer."""
    result: core.CallResult | None
    """The answer, or None where it was too large to be recorded."""


@attrs.frozen
class Taken:
    """The key belongs to another workspace or to another request."""


@attrs.frozen
class Expired:
    """The key was issued too long ago; an earlier claim may be forgotten."""


@attrs.frozen
class NotValidYet:
    """The key's time of issue lies in the log's future."""

    valid_at: float
    """When it can be claimed, in epoch seconds."""


ClaimAnswer = Granted | Held | Settled | Taken | Expired | NotValidYet


@attrs.frozen
class Unclaimed:
    """No claim of the key is in the log yet.

    A request with the key may be on its way, so this does not mean that
    the request is not going to run.
    """


KeyOutcome = Held | Settled | Expired | Unclaimed
