"""Publication of configurations by operators."""

from __future__ import annotations

import secrets

import attrs

from laburnumstep import core
from laburnumstep.log import _changes
from laburnumstep.log import _client
from laburnumstep.log import _configuration_codec
from laburnumstep.log import _follower
from laburnumstep.log import _publications
from laburnumstep.log import _replay
from laburnumstep.log import _replay_pages

_NONCE_BYTES = 8
_RETRY_SECONDS = 0.3
"""Delay before a retry after a failed request to the log, in seconds."""


@attrs.frozen
class Published:
    """The publication is in force."""

    version: int
    """Version of the publication."""


@attrs.frozen
class Conflict:
    """Another publication was accepted first."""

    made_from: int
    """Version that the publication is based on."""
    in_force: int
    """Version in force."""


@attrs.frozen
class NotNeeded:
    """The deployment is already in force."""

    version: int
    """Version in force."""


@attrs.frozen
class WrongDeployment:
    """The log belongs to another deployment."""

    in_force: str
    """Name of the deployment in force."""


@attrs.frozen
class Prepared:
    """A publication that is based on the version in force."""

    base: core.Deployment
    """The deployment in force."""
    publication: _publications.Publication
    """The record to append."""


PrepareResult = Prepared | Conflict | NotNeeded | WrongDeployment
PublishResult = Published | Conflict | NotNeeded | WrongDeployment


class ConfigurationPublisher:
    """Appends publications and reads back whether they were accepted.

    Args:
        client: Client of the log.
        clock: Clock for deadlines and retries.
        stream: Name of the stream.
    """

    def __init__(
        self,
        client: _client.LogClient,
        clock: core.Clock,
        stream: str = _follower.CONFIGURATION_STREAM,
    ) -> None:
        self._client = client
        self._clock = clock
        self._stream = stream
        self._replay = _replay.ConfigurationReplay()
        self._epoch: int | None = None
        self._results: dict[str, _replay.Accepted | _replay.Refused] = {}

    async def read_in_force(
        self, deadline: float
    ) -> core.VersionedDeployment | None:
        """Read the log to its end.

        Args:
            deadline: When to give up, in epoch seconds.

        Returns:
            The configuration in force, or None if nothing is published.

        Raises:
            LogUnavailable: The log did not answer before the deadline.
            CodedError: The retained records do not show which version is
                in force; the code is `no_configuration`.
        """
        while await self._read_page(deadline):
            pass
        if not self._replay.complete:
            raise core.CodedError(
                core.ErrorCode.NO_CONFIGURATION,
                'the retained records of the log do not show which version'
                ' is in force; wait for the next snapshot of a VM',
            )
        return self._replay.state

    async def prepare(
        self,
        deployment: core.Deployment,
        made_from: int,
        deadline: float,
    ) -> PrepareResult:
        """Prepare the publication of a deployment without appending it.

        Args:
            deployment: The deployment to put in force.
            made_from: Version that it is based on; 0 for the first one.
            deadline: When to give up, in epoch seconds.

        Raises:
            LogUnavailable: As `read_in_force`.
            CodedError: As `read_in_force`.
        """
        state = await self.read_in_force(deadline)
        base = state.deployment if state else core.Deployment('')
        in_force = state.version if state else 0
        if state and base.name != deployment.name:
            return WrongDeployment(base.name)
        if in_force != made_from:
            return Conflict(made_from, in_force)
        changes = _changes.diff_deployments(base, deployment)
        if state and not changes:
            return NotNeeded(in_force)
        publication = _publications.Publication(
            deployment.name,
            made_from + 1,
            made_from,
            secrets.token_hex(_NONCE_BYTES),
            changes,
        )
        return Prepared(base, publication)

    async def publish(
        self,
        deployment: core.Deployment,
        made_from: int,
        deadline: float,
    ) -> PublishResult:
        """Publish a deployment as the version after `made_from`.

        Args:
            deployment: The deployment to put in force.
            made_from: Version that it is based on; 0 for the first one.
            deadline: When to give up, in epoch seconds.

        Raises:
            LogUnavailable: The log did not answer before the deadline. If
                `may_be_appended` is set, the publication may be in force.
            CodedError: As `read_in_force`.
        """
        prepared = await self.prepare(deployment, made_from, deadline)
        match prepared:
            case Prepared(publication=publication):
                return await self._append(publication, deadline)
            case _:
                return prepared

    async def start_new_history(
        self, deployment: core.Deployment, made_from: int, deadline: float
    ) -> Published | Conflict:
        """Start a new history when the log shows no version in force.

        Args:
            deployment: The deployment to put in force.
            made_from: The highest version that was ever in force. A VM with
                a later version would refuse the new history.
            deadline: When to give up, in epoch seconds.

        Raises:
            LogUnavailable: As `publish`.
        """
        try:
            state = await self.read_in_force(deadline)
        except core.CodedError as error:
            if error.code is not core.ErrorCode.NO_CONFIGURATION:
                raise
        else:
            return Conflict(made_from, state.version if state else 0)
        version = made_from + 1
        founded = core.VersionedDeployment(
            version,
            core.digest_deployment(deployment),
            _publications.NEW_HISTORY_THROUGH,
            deployment,
        )
        record = _configuration_codec.encode_snapshot(founded)
        await self._client.append(self._stream, [record], deadline)
        in_force = await self.read_in_force(deadline)
        if in_force and in_force.digest == founded.digest:
            return Published(in_force.version)
        return Conflict(made_from, in_force.version if in_force else 0)

    async def _append(
        self, publication: _publications.Publication, deadline: float
    ) -> PublishResult:
        record = _configuration_codec.encode_publication(publication)
        may_be_appended = False
        while True:
            end = 0
            try:
                appended = await self._client.append(
                    self._stream, [record], deadline
                )
                may_be_appended = True
                end = appended.first_offset + 1
            except _client.AppendRateExceeded as error:
                await self._wait_until(error.retry_at, deadline, error)
            except _client.LogUnavailable as error:
                may_be_appended = may_be_appended or error.may_be_appended
                await self._wait_to_retry(deadline, error, may_be_appended)
            await self._read_back(end, deadline, may_be_appended)
            match self._results.get(publication.nonce):
                case _replay.Accepted(version=version):
                    return Published(version)
                case _replay.Refused(made_from=made_from, in_force=in_force):
                    return Conflict(made_from, in_force)
                case None:
                    # The record is not in the log. It can be appended again:
                    # if the first append takes effect late, the replay
                    # refuses the second record.
                    continue

    async def _read_back(
        self, end: int, deadline: float, may_be_appended: bool
    ) -> None:
        while True:
            try:
                await self.read_in_force(deadline)
            except _client.LogUnavailable as error:
                failure = error
            else:
                if self._replay.position >= end:
                    return
                failure = _client.LogUnavailable(
                    'reads of the log lag behind appends', True
                )
            await self._wait_to_retry(deadline, failure, may_be_appended)

    async def _wait_to_retry(
        self,
        deadline: float,
        error: _client.LogUnavailable,
        may_be_appended: bool,
    ) -> None:
        error.may_be_appended = may_be_appended
        retry_at = self._clock.now() + _RETRY_SECONDS
        await self._wait_until(retry_at, deadline, error)

    async def _wait_until(
        self, retry_at: float, deadline: float, error: core.CodedError
    ) -> None:
        if retry_at >= deadline:
            raise error
        await self._clock.sleep_until(retry_at)

    async def _read_page(self, deadline: float) -> bool:
        page = await self._client.read(
            self._stream,
            self._replay.position,
            _follower.PAGE_RECORDS,
            0,
            deadline,
        )
        known, self._epoch = self._epoch, page.epoch
        restored = known is not None and page.epoch != known
        if restored or page.end < self._replay.position:
            # The log has lost records, so it is replayed from its start.
            self._replay = _replay.ConfigurationReplay()
            return True
        before = self._replay.position
        for item in _replay_pages.replay_page(self._replay, page):
            result = item.result
            if isinstance(result, (_replay.Accepted, _replay.Refused)):
                # A repeated record is refused; only the first result counts.
                self._results.setdefault(result.nonce, result)
        return before < self._replay.position < page.end
