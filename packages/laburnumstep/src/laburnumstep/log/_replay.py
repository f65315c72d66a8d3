"""Acceptance of publications, as a replay of the log's records."""

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
    """A publication did not follow the version in force."""

    made_from: int
    """Version that it was made from."""
    in_force: int
    """Version that was in force at its position in the log."""
    nonce: str
    """Nonce of the publication."""


@attrs.frozen
class Loaded:
    """A snapshot gave the configuration."""

    version: int
    """Version of the snapshot."""
    restored: bool
    """Whether it restored a version that the log had lost."""


@attrs.frozen
class Unusable:
    """A snapshot is malformed or does not match its digest."""

    reason: str
    """What is wrong."""


@attrs.frozen
class Contradicted:
    """A snapshot holds what this replay cannot have come to."""

    version: int
    """Version of the snapshot."""


@attrs.frozen
class Unchanged:
    """A record had no effect yet."""


@attrs.frozen
class Malformed:
    """A record does not follow the protocol."""

    reason: str
    """What is wrong."""


Verdict = (
    Accepted
    | Refused
    | Loaded
    | Unusable
    | Contradicted
    | Unchanged
    | Malformed
)


class ConfigurationReplay:
    """Replays one stream of records to the configuration in force.

    The result depends on nothing but the records: every reader that has
    read up to the same offset holds the same version. A reader that cannot
    tell which publications were accepted before the retained records
    accepts none of them until a snapshot covers the missing part; else it
    could accept a publication that lost to one no longer retained.

    A snapshot whose `through` is `RESTORED_THROUGH` holds from its own
    offset on where it is newer. VMs append it after the log lost records.
    One whose `through` is `FOUNDED_THROUGH` also holds where no version is
    known. Operators give it a version above any earlier one, so that both
    kinds of readers come to the same.
    """

    def __init__(self) -> None:
        self._position = 0
        self._searched_from = 0
        self._state: core.VersionedDeployment | None = _make_empty()
        self._waiting: list[tuple[int, _publications.ConfigurationRecord]] = []

    @property
    def position(self) -> int:
        """Offset of the next record to read."""
        return self._position

    @property
    def complete(self) -> bool:
        """Whether the outcome of every record so far is known."""
        return self._state is not None

    @property
    def version(self) -> int:
        """Version in force; 0 where none is known."""
        return self._state.version if self._state else 0

    @property
    def digest(self) -> str:
        """Digest of the version in force; empty where none is known."""
        return self._state.digest if self._state else ''

    @property
    def state(self) -> core.VersionedDeployment | None:
        """The configuration in force, or None where none is known."""
        if self._state is None or self._state.version == 0:
            return None
        if self._state.through == self._position - 1:
            return self._state
        return attrs.evolve(self._state, through=self._position - 1)

    def copy(self) -> ConfigurationReplay:
        """Return a replay that continues independently from here."""
        copied = ConfigurationReplay()
        copied._position = self._position
        copied._searched_from = self._searched_from
        copied._state = self._state
        copied._waiting = list(self._waiting)
        return copied

    def skip_to(self, offset: int) -> None:
        """Continue behind records that are no longer retained."""
        self._position = offset
        self._searched_from = offset
        self._state = None
        self._waiting = []

    def rebase(self, state: core.VersionedDeployment) -> bool:
        """Continue from a configuration that another VM holds.

        Returns:
            Whether the configuration could be connected to the records.
        """
        if state.through < 0:
            return False
        if state.through + 1 >= self._position:
            self._position = state.through + 1
            self._waiting = []
        elif self.complete or state.through + 1 < self._searched_from:
            return False
        self._start_from(state)
        return True

    def observe(
        self,
        offset: int,
        record: _publications.ConfigurationRecord | Malformed,
    ) -> Verdict:
        """Take one record into account.

        Args:
            offset: Offset of the record; a record read twice has no effect.
            record: The record, or why it cannot be read.
        """
        if offset < self._position:
            return Unchanged()
        if offset > self._position:
            self.skip_to(offset)
        self._position = offset + 1
        if isinstance(record, Malformed):
            return record
        if self._state is not None:
            return self._apply(self._state, offset, record)
        return self._search(offset, record)

    def _search(
        self, offset: int, record: _publications.ConfigurationRecord
    ) -> Verdict:
        match record:
            case _publications.Snapshot(header=header) if (
                self._searched_from - 1 <= header.through < offset
                or header.through == _publications.FOUNDED_THROUGH
            ):
                state = _read_snapshot(record)
                if isinstance(state, Unusable):
                    return state
                founded = header.through == _publications.FOUNDED_THROUGH
                if founded:
                    state = attrs.evolve(state, through=offset)
                self._start_from(state)
                return Loaded(header.version, founded)
            case _:
                self._waiting.append((offset, record))
                return Unchanged()

    def _start_from(self, state: core.VersionedDeployment) -> None:
        self._state = state
        waiting, self._waiting = self._waiting, []
        for offset, record in waiting:
            if offset > state.through:
                self._apply(self._state, offset, record)

    def _apply(
        self,
        state: core.VersionedDeployment,
        offset: int,
        record: _publications.ConfigurationRecord,
    ) -> Verdict:
        match record:
            case _publications.Publication():
                return self._judge(state, offset, record)
            case _publications.Snapshot():
                return self._compare(state, offset, record)
            case _:
                typing.assert_never(record)

    def _compare(
        self,
        state: core.VersionedDeployment,
        offset: int,
        snapshot: _publications.Snapshot,
    ) -> Verdict:
        header = snapshot.header
        newer = header.version > state.version
        if header.through in (
            _publications.RESTORED_THROUGH,
            _publications.FOUNDED_THROUGH,
        ):
            if not newer:
                return Unchanged()
            restored = _read_snapshot(snapshot)
            if isinstance(restored, Unusable):
                return restored
            self._state = attrs.evolve(restored, through=offset)
            return Loaded(header.version, True)
        if not 0 <= header.through < offset:
            return Unusable('takes records into account that follow it')
        same = header.version == state.version
        if newer or (same and header.digest != state.digest):
            return Contradicted(header.version)
        return Unchanged()

    def _judge(
        self,
        state: core.VersionedDeployment,
        offset: int,
        publication: _publications.Publication,
    ) -> Verdict:
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


def _make_empty() -> core.VersionedDeployment:
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
