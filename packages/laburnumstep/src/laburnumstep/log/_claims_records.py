"""Records of the claim streams, independent of their encoding."""

from __future__ import annotations

import attrs

from laburnumstep import core


@attrs.frozen
class ClaimRecord:
    """A VM claims a key for one request."""

    key: core.RequestKey
    """The claimed key."""
    workspace: str
    """Workspace of the request."""
    vm: str
    """Name of the VM that may send the operation."""
    nonce: str
    """Identifies the claim; a repeated append carries the same nonce."""
    request: str
    """Digest of the request, or an empty text if none is given."""


@attrs.frozen
class ReleaseRecord:
    """A VM gives up a claim whose operation it did not and will not send."""

    key: core.RequestKey
    """The claimed key."""
    nonce: str
    """Nonce of the claim."""


@attrs.frozen
class SettleRecord:
    """The operation of a claim ran and was answered."""

    key: core.RequestKey
    """The claimed key."""
    nonce: str
    """Nonce of the claim that holds the key."""
    status: int
    """HTTP status of the answer."""
    result: core.CallResult | None
    """The answer, or None if it is too large to be recorded."""


ClaimsRecord = ClaimRecord | ReleaseRecord | SettleRecord
