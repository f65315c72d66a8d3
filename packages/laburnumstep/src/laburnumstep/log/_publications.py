"""Records of the configuration stream, free of their encoding."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep import core
    from laburnumstep.log import _changes

RESTORED_THROUGH = -1
"""`through` of a snapshot by which a VM restores a version that the log
lost.
"""
FOUNDED_THROUGH = -2
"""`through` of a snapshot by which operators found a history anew when no
VM and no retained record tells the configuration.
"""


@attrs.frozen
class Publication:
    """An operator's proposal for the next version."""

    deployment: str
    """Name of the deployment that it is meant for."""
    version: int
    """Version that it becomes if it is accepted."""
    made_from: int
    """Version that the changes were made from."""
    nonce: str
    """Random text by which the publisher recognises its record."""
    changes: list[_changes.Change]
    """The changes, in order."""


@attrs.frozen
class SnapshotHeader:
    """What a reader needs to tell whether a snapshot is of use."""

    version: int
    """Version that it holds."""
    digest: str
    """Digest of its deployment."""
    through: int
    """Log offset up to which records are taken into account."""


@attrs.frozen
class Snapshot:
    """A whole configuration, for readers without earlier records."""

    header: SnapshotHeader
    """Version, digest and position in the log."""
    read_deployment: typing.Callable[[], core.Deployment]
    """Returns the deployment; raises FindingsError if it is malformed.

    A reader in step with the log has no use for the document, and reading
    the 2 MB of 10,000 workspaces would delay token streams.
    """


ConfigurationRecord = Publication | Snapshot
