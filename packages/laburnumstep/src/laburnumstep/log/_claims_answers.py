"""Answers to claims and to lookups of request keys."""

from __future__ import annotations

import attrs

from laburnumstep import core


@attrs.frozen
class Granted:
    """The claim holds the key; only its VM may send the operation."""

    key: core.RequestKey
    """The claimed key."""
    nonce: str
    """Identifies the claim."""


@attrs.frozen
class Held:
    """Another claim holds the key; its operation has no known outcome."""

    key: core.RequestKey
    """The claimed key."""
    nonce: str
    """Identifies the claim that holds the key."""
    vm: str
    """Name of the VM that made that claim."""


@attrs.frozen
class Settled:
    """The operation of the key ran and its answer is recorded."""

    status: int
    """HTTP status of the answer."""
    result: core.CallResult | None
    """The answer, or None if it was too large to be recorded."""


@attrs.frozen
class Taken:
    """The key is held by another workspace or for another request."""


@attrs.frozen
class Expired:
    """The key has expired; an earlier claim of it may have been deleted."""


@attrs.frozen
class NotValidYet:
    """The key was issued at a time that is still ahead of the log's clock."""

    valid_at: float
    """Earliest time at which the key can be claimed, in epoch seconds."""


ClaimAnswer = Granted | Held | Settled | Taken | Expired | NotValidYet


@attrs.frozen
class Unclaimed:
    """No claim of the key is in the log.

    A request with the key may be in transit, so its operation may still
    run.
    """


KeyOutcome = Held | Settled | Expired | Unclaimed
