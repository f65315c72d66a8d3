"""Interface of the siblings for what other packages publish to all VMs."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from laburnumstep.siblings import _entries
    from laburnumstep.siblings import _gossip


class EntrySiblings(typing.Protocol):
    """The siblings with which opaque values are exchanged."""

    def publish(
        self,
        kind: _entries.EntryKind,
        subject: str,
        data: bytes,
        expires_at: float,
    ) -> None:
        """Publish an opaque value to all VMs."""
        ...

    def subscribe(
        self, kind: _entries.EntryKind, listener: _gossip.Listener
    ) -> None:
        """Call a listener with each fresh entry of a kind."""
        ...
