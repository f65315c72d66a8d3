"""Records of the configuration stream, independent of their encoding."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep import core
    from laburnumstep.log import _changes

RESTORED_THROUGH = -1
"""Value of `through` in a snapshot with which a VM restores a version that
the log lost.
"""
NEW_HISTORY_THROUGH = -2
"""Value of `through` in a snapshot with which operators start a new history
after the configuration was lost on all VMs and in the log.
"""


@attrs.frozen
class Publication:
    """The next version, as an operator proposes it."""

    deployment: str
    """Name of the deployment that the changes apply to."""
    version: int
    """Number of the version if the publication is accepted."""
    made_from: int
    """Version that the changes are based on."""
    nonce: str
    """Random text by which a publisher recognises its record."""
    changes: list[_changes.Change]
    """The changes, in order."""


@attrs.frozen
class SnapshotHeader:
    """The part of a snapshot that shows whether a reader can use it."""

    version: int
    """Version of the configuration."""
    digest: str
    """Digest of the deployment."""
    through: int
    """Offset of the last record that the configuration includes, or one of
    the negative values above."""


@attrs.frozen
class Snapshot:
    """A complete configuration, for readers without the earlier records."""

    header: SnapshotHeader
    """Version, digest and offset in the log."""
    read_deployment: typing.Callable[[], core.Deployment]
    """Decodes the deployment; raises FindingsError if it is malformed.

    A reader that is up to date with the log does not need the deployment,
    and decoding the 2 MB of 10,000 workspaces would delay token streams.
    """


ConfigurationRecord = Publication | Snapshot
