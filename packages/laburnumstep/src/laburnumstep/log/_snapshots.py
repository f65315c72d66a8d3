"""Decides when the log needs another snapshot."""

from __future__ import annotations

import collections
import typing

import attrs

from laburnumstep import core
from laburnumstep.log import _publications

if typing.TYPE_CHECKING:
    from laburnumstep.log import _replay_pages

REFRESH_FRACTION = 1 / 3
"""Part of the retention after which a snapshot is replaced.

Two more tries fit in before a VM without state can no longer start.
"""
_REMEMBERED_RECORDS = 4096
"""Records whose time is kept; a day has 4,800 changes."""


@attrs.frozen
class FollowerView:
    """What a follower knows, as a basis for decisions."""

    replayed: core.VersionedDeployment | None
    """What the log alone gives, or None where it does not tell."""
    held: core.VersionedDeployment | None
    """The configuration in force on this VM."""
    position: int
    """Offset of the next record to read."""
    in_step: bool
    """Whether the log was read to its end and its outcome is known."""
    covered_since: float | None
    """Time of the first record that the newest snapshot leaves to be
    replayed, in epoch seconds. When that record is dropped, the snapshot
    is of no more use.
    """


@attrs.frozen
class NoSnapshot:
    """The log needs no snapshot."""


@attrs.frozen
class AppendSnapshot:
    """The log needs a snapshot."""

    state: core.VersionedDeployment
    """What to append."""
    reason: str
    """Why, for people."""


SnapshotDecision = NoSnapshot | AppendSnapshot


def decide_snapshot(
    view: FollowerView, now: float, retention_seconds: float
) -> SnapshotDecision:
    """Decide whether the log needs a snapshot, and which.

    Args:
        view: What this VM's follower knows.
        now: The time, in epoch seconds.
        retention_seconds: How long the log keeps records, in seconds.
    """
    if not view.in_step or view.held is None:
        return NoSnapshot()
    known = view.replayed.version if view.replayed else 0
    if view.held.version > known:
        through = _publications.RESTORED_THROUGH
        lost = attrs.evolve(view.held, through=through)
        return AppendSnapshot(lost, f'the log only gives version {known}')
    if view.replayed is None:
        return NoSnapshot()
    refresh_at = now
    if view.covered_since is not None:
        refresh_at = view.covered_since + retention_seconds * REFRESH_FRACTION
    if now < refresh_at:
        return NoSnapshot()
    return AppendSnapshot(view.replayed, 'the newest one is too old')


class SnapshotCoverage:
    """Tells how long the newest snapshot in the log is of use."""

    def __init__(self) -> None:
        self._times: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=_REMEMBERED_RECORDS
        )
        self._digests: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )
        self._covered_since: float | None = None

    @property
    def covered_since(self) -> float | None:
        """As in `FollowerView`."""
        return self._covered_since

    def observe(self, item: _replay_pages.ReplayedRecord) -> None:
        """Take one record into account."""
        self._times.append((item.offset, item.appended_at))
        if not item.version:
            return
        self._digests[item.version] = item.digest
        while len(self._digests) > _REMEMBERED_RECORDS:
            self._digests.popitem(last=False)
        if not isinstance(item.record, _publications.Snapshot):
            return
        header = item.record.header
        # The document is not read here; its digest tells that it is sound.
        if self._digests.get(header.version) != header.digest:
            return
        for offset, appended_at in self._times:
            if offset == header.through + 1:
                known = self._covered_since or 0.0
                self._covered_since = max(known, appended_at)
                return
