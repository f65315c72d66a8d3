"""Decision whether the log needs another snapshot."""

from __future__ import annotations

import collections
import typing

import attrs

from laburnumstep import core
from laburnumstep.log import _publications

if typing.TYPE_CHECKING:
    from laburnumstep.log import _replay_pages

REFRESH_FRACTION = 1 / 3
"""Fraction of the retention time after which a snapshot is replaced.

Two more attempts are possible before a VM without state can no longer start.
"""
_MAX_REMEMBERED_RECORDS = 4096
"""Number of records and versions that are remembered. A day has up to 4,800
changes."""


@attrs.frozen
class FollowerView:
    """State of a follower, from which decisions are made."""

    replayed: core.VersionedDeployment | None
    """The configuration that results from the log, or None if unknown."""
    in_force: core.VersionedDeployment | None
    """The configuration in force on this VM."""
    position: int
    """Offset of the next record to read."""
    is_current: bool
    """Whether the log was read to its end and all results are known."""
    covered_since: float | None
    """Time of the first record that follows the configuration of the newest
    snapshot, in epoch seconds. Once the log deletes that record, the
    snapshot cannot be used any more.
    """


@attrs.frozen
class NoSnapshot:
    """The log needs no snapshot."""


@attrs.frozen
class AppendSnapshot:
    """The log needs a snapshot."""

    state: core.VersionedDeployment
    """The configuration to append."""
    reason: str
    """The reason, for the log line."""


SnapshotDecision = NoSnapshot | AppendSnapshot


def decide_snapshot(
    view: FollowerView, now: float, retention_seconds: float
) -> SnapshotDecision:
    """Return whether the log needs a snapshot, and of which configuration.

    Args:
        view: State of this VM's follower.
        now: The time, in epoch seconds.
        retention_seconds: How long the log keeps records, in seconds.
    """
    if not view.is_current or view.in_force is None:
        return NoSnapshot()
    known = view.replayed.version if view.replayed else 0
    if view.in_force.version > known:
        through = _publications.RESTORED_THROUGH
        lost = attrs.evolve(view.in_force, through=through)
        return AppendSnapshot(lost, f'the log only has version {known}')
    if view.replayed is None:
        return NoSnapshot()
    refresh_at = now
    if view.covered_since is not None:
        refresh_at = view.covered_since + retention_seconds * REFRESH_FRACTION
    if now < refresh_at:
        return NoSnapshot()
    return AppendSnapshot(view.replayed, 'the newest snapshot is too old')


class SnapshotCoverage:
    """Tracks how long the newest snapshot in the log can be used."""

    def __init__(self) -> None:
        self._times: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=_MAX_REMEMBERED_RECORDS
        )
        self._digests: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )
        self._covered_since: float | None = None

    @property
    def covered_since(self) -> float | None:
        """Value of the same attribute of `FollowerView`."""
        return self._covered_since

    def record_replayed(self, item: _replay_pages.ReplayedRecord) -> None:
        """Record a record that has been replayed."""
        self._times.append((item.offset, item.appended_at))
        if not item.version:
            return
        self._digests[item.version] = item.digest
        while len(self._digests) > _MAX_REMEMBERED_RECORDS:
            self._digests.popitem(last=False)
        if not isinstance(item.record, _publications.Snapshot):
            return
        header = item.record.header
        # The deployment is not decoded here. Its digest shows that it is
        # that of the replayed version.
        if self._digests.get(header.version) != header.digest:
            return
        for offset, appended_at in self._times:
            if offset == header.through + 1:
                known = self._covered_since or 0.0
                self._covered_since = max(known, appended_at)
                return
