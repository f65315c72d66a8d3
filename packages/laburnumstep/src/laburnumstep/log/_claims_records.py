"""Records of the claim streams, free of any encoding."""

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
    """Identifies the claim; a repeated append has the same one."""
    request: str
    """Digest of the request, or empty."""


@attrs.frozen
class ReleaseRecord:
    """A claim is given up; its VM has not sent and will not send."""

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
    """The answer, or None where it is too large to be recorded."""


ClaimsRecord = ClaimRecord | ReleaseRecord | SettleRecord
