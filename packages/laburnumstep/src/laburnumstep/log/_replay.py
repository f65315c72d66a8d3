"""Replay of the records of the configuration stream."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep.log import _changes
from laburnumstep.log import _publications


@attrs.frozen
class Accepted:
    """A publication became the version in force."""

    version: int
    """The new version."""
    nonce: str
    """Nonce of the publication."""


@attrs.frozen
class Refused:
    """A publication was not based on the version in force."""

    made_from: int
    """Version that the publication is based on."""
    in_force: int
    """Version that was in force at the offset of the publication."""
    nonce: str
    """Nonce of the publication."""


@attrs.frozen
class Loaded:
    """The configuration was loaded from a snapshot."""

    version: int
    """Version of the snapshot."""
    restored: bool
    """Whether the snapshot replaces a version that the log had lost."""


@attrs.frozen
class Unusable:
    """A snapshot is malformed or does not match its digest."""

    reason: str
    """What is wrong."""


@attrs.frozen
class Contradicted:
    """A snapshot contradicts the records that were replayed."""

    version: int
    """Version of the snapshot."""


@attrs.frozen
class Unchanged:
    """A record had no effect, or has none yet."""


@attrs.frozen
class Malformed:
    """A record does not follow the protocol."""

    reason: str
    """What is wrong."""


ReplayResult = (
    Accepted
    | Refused
    | Loaded
    | Unusable
    | Contradicted
    | Unchanged
    | Malformed
)


class ConfigurationReplay:
    """Computes the configuration in force from the records of one stream.

    The result depends only on the records, so all readers that have read up
    to the same offset have the same version. If earlier records are no
    longer retained, it is unknown which publications were accepted. Records
    are then deferred until a snapshot covers the missing part; otherwise a
    publication could be accepted although an earlier one had won.

    A snapshot whose `through` is `RESTORED_THROUGH` replaces an older
    version from its own offset on. VMs append it after the log lost
    records. One whose `through` is `NEW_HISTORY_THROUGH` is also loaded when
    no version is known. Operators give it a version above all earlier ones,
    so that readers with and without a version load it.
    """

    def __init__(self) -> None:
        self._position = 0
        self._history_start = 0
        self._state: core.VersionedDeployment | None = _build_empty_state()
        self._deferred: list[
            tuple[int, _publications.ConfigurationRecord]
        ] = []

    @property
    def position(self) -> int:
        """Offset of the next record to read."""
        return self._position

    @property
    def complete(self) -> bool:
        """Whether the results of all records so far are known."""
        return self._state is not None

    @property
    def version(self) -> int:
        """Version in force, or 0 if none is known."""
        return self._state.version if self._state else 0

    @property
    def digest(self) -> str:
        """Digest of the version in force; empty if none is known."""
        return self._state.digest if self._state else ''

    @property
    def state(self) -> core.VersionedDeployment | None:
        """The configuration in force, or None if none is known."""
        if self._state is None or self._state.version == 0:
            return None
        if self._state.through == self._position - 1:
            return self._state
        return attrs.evolve(self._state, through=self._position - 1)

    def copy(self) -> ConfigurationReplay:
        """Return an independent replay in the same state."""
        copied = ConfigurationReplay()
        copied._position = self._position
        copied._history_start = self._history_start
        copied._state = self._state
        copied._deferred = list(self._deferred)
        return copied

    def skip_to(self, offset: int) -> None:
        """Skip records that are no longer retained, and forget the state."""
        self._position = offset
        self._history_start = offset
        self._state = None
        self._deferred = []

    def rebase(self, state: core.VersionedDeployment) -> bool:
        """Continue from a configuration that a sibling has in force.

        Returns:
            Whether the replayed records connect to that configuration.
        """
        if state.through < 0:
            return False
        if state.through + 1 >= self._position:
            self._position = state.through + 1
            self._deferred = []
        elif self.complete or state.through + 1 < self._history_start:
            return False
        self._start_from(state)
        return True

    def apply_record(
        self,
        offset: int,
        record: _publications.ConfigurationRecord | Malformed,
    ) -> ReplayResult:
        """Apply one record; one that was applied before has no effect.

        Args:
            offset: Offset of the record.
            record: The record, or why it could not be decoded.
        """
        if offset < self._position:
            return Unchanged()
        if offset > self._position:
            self.skip_to(offset)
        self._position = offset + 1
        if isinstance(record, Malformed):
            return record
        if self._state is not None:
            return self._apply_to_state(self._state, offset, record)
        return self._find_start(offset, record)

    def _find_start(
        self, offset: int, record: _publications.ConfigurationRecord
    ) -> ReplayResult:
        match record:
            case _publications.Snapshot(header=header) if (
                self._history_start - 1 <= header.through < offset
                or header.through == _publications.NEW_HISTORY_THROUGH
            ):
                state = _read_snapshot(record)
                if isinstance(state, Unusable):
                    return state
                new_history = (
                    header.through == _publications.NEW_HISTORY_THROUGH
                )
                if new_history:
                    state = attrs.evolve(state, through=offset)
                self._start_from(state)
                return Loaded(header.version, new_history)
            case _:
                self._deferred.append((offset, record))
                return Unchanged()

    def _start_from(self, state: core.VersionedDeployment) -> None:
        self._state = state
        deferred, self._deferred = self._deferred, []
        for offset, record in deferred:
            if offset > state.through:
                self._apply_to_state(self._state, offset, record)

    def _apply_to_state(
        self,
        state: core.VersionedDeployment,
        offset: int,
        record: _publications.ConfigurationRecord,
    ) -> ReplayResult:
        match record:
            case _publications.Publication():
                return self._apply_publication(state, offset, record)
            case _publications.Snapshot():
                return self._apply_snapshot(state, offset, record)
            case _:
                typing.assert_never(record)

    def _apply_snapshot(
        self,
        state: core.VersionedDeployment,
        offset: int,
        snapshot: _publications.Snapshot,
    ) -> ReplayResult:
        header = snapshot.header
        newer = header.version > state.version
        if header.through in (
            _publications.RESTORED_THROUGH,
            _publications.NEW_HISTORY_THROUGH,
        ):
            if not newer:
                return Unchanged()
            restored = _read_snapshot(snapshot)
            if isinstance(restored, Unusable):
                return restored
            self._state = attrs.evolve(restored, through=offset)
            return Loaded(header.version, True)
        if not 0 <= header.through < offset:
            return Unusable('`through` is not the offset of an earlier record')
        same = header.version == state.version
        if newer or (same and header.digest != state.digest):
            return Contradicted(header.version)
        return Unchanged()

    def _apply_publication(
        self,
        state: core.VersionedDeployment,
        offset: int,
        publication: _publications.Publication,
    ) -> ReplayResult:
        known = state.version == 0
        known = known or publication.deployment == state.deployment.name
        follows = publication.made_from == state.version
        follows = follows and publication.version == state.version + 1
        if not known or not follows:
            return Refused(
                publication.made_from, state.version, publication.nonce
            )
        deployment = _changes.apply_changes(
            attrs.evolve(state.deployment, name=publication.deployment),
            publication.changes,
        )
        items = {_changes.find_item(item) for item in publication.changes}
        digest = core.update_digest(
            state.digest,
            state.deployment,
            deployment,
            items | {('name', '')},
        )
        self._state = core.VersionedDeployment(
            publication.version, digest, offset, deployment
        )
        return Accepted(publication.version, publication.nonce)


def _build_empty_state() -> core.VersionedDeployment:
    deployment = core.Deployment('')
    digest = core.digest_deployment(deployment)
    return core.VersionedDeployment(0, digest, -1, deployment)


def _read_snapshot(
    snapshot: _publications.Snapshot,
) -> core.VersionedDeployment | Unusable:
    header = snapshot.header
    try:
        deployment = snapshot.read_deployment()
    except core.FindingsError as error:
        return Unusable(str(error))
    if core.digest_deployment(deployment) != header.digest:
        return Unusable('the deployment does not match its digest')
    return core.VersionedDeployment(
        header.version, header.digest, header.through, deployment
    )
