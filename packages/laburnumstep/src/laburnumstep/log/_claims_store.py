"""Claims of request keys, recorded in the log."""

from __future__ import annotations

import random
import secrets
import typing

import anyio

from laburnumstep import core
from laburnumstep.log import _claims_answers
from laburnumstep.log import _claims_codec
from laburnumstep.log import _claims_partition
from laburnumstep.log import _claims_records
from laburnumstep.log import _claims_throttle
from laburnumstep.log import _claims_work

if typing.TYPE_CHECKING:
    from laburnumstep.log import _claims_forward
    from laburnumstep.log import _client

PARTITIONS = 64
"""Number of claim streams over which keys are distributed."""
FIRST_REQUEST_SECONDS = 2.0
"""Age up to which a key is assumed to belong to a first request when the
log is unavailable, in seconds. An operation with an older key may have run
through another VM, so its refusal must not report that it did not run."""
_NONCE_BYTES = 8


class ClaimStore:
    """Records claims of keys, so that each operation runs at most once.

    Args:
        client: Client of the log.
        vm_name: Name of this VM.
        clock: Clock for deadlines and the age of keys.
        forwarder: Forwards records to the owners of partitions; None if
            this VM appends all records itself.
        random_source: Source of the jitter of refused appends.
    """

    def __init__(
        self,
        client: _client.LogClient,
        vm_name: str,
        clock: core.Clock,
        forwarder: _claims_forward.ClaimForwarder | None = None,
        random_source: random.Random | None = None,
    ) -> None:
        self._client = client
        self._vm = vm_name
        self._clock = clock
        self._forwarder = forwarder
        self._random_source = random_source or random.Random()
        self._partitions: dict[int, _claims_partition.ClaimPartition] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Run the partitions that are in use until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for partition in self._partitions.values():
                tasks.start_soon(partition.run)
            await anyio.sleep_forever()

    async def claim(
        self,
        key: core.RequestKey,
        workspace: str,
        until: float,
        request: str = '',
    ) -> _claims_answers.ClaimAnswer:
        """Claim a key for a request.

        Args:
            key: The request's key.
            workspace: Workspace of the request.
            until: Deadline of the request, in epoch seconds.
            request: Digest of the request. A key is valid for one request
                only.

        Raises:
            CodedError: The claim cannot be recorded, for instance because
                the log is unavailable. The operation must not be sent.
        """
        partition = self._get_partition(key.partition(PARTITIONS))
        known = partition.index.find(key, workspace)
        if isinstance(known, _claims_answers.Settled):
            return known
        if self._clock.now() > key.expires_at + core.KEY_SKEW_SECONDS:
            return known or _claims_answers.Expired()
        nonce = secrets.token_hex(_NONCE_BYTES)
        record = _claims_records.ClaimRecord(
            key, workspace, self._vm, nonce, request
        )
        pending = _claims_work.PendingRecord(record, until, own=True)
        await partition.claim(pending)
        if pending.answer is not None:
            return pending.answer
        assert pending.error is not None
        raise core.CodedError(
            pending.error.code,
            pending.error.message,
            self._choose_outcome(key, known is not None),
            pending.error.resend,
            pending.error.resend_at,
        )

    def release(self, claim: _claims_answers.Granted) -> None:
        """Free a key whose operation was not and will not be sent."""
        record = _claims_records.ReleaseRecord(claim.key, claim.nonce)
        self._submit(record)

    def settle(
        self,
        claim: _claims_answers.Granted | _claims_answers.Held,
        result: core.CallResult,
    ) -> None:
        """Record the answer of a key's operation.

        Args:
            claim: The claim that holds the key, made by this or another VM.
            result: The answer. If it is too large, only its status is
                recorded.
        """
        recorded = result if _claims_codec.fits_record(result) else None
        self._submit(
            _claims_records.SettleRecord(
                claim.key, claim.nonce, result.status, recorded
            )
        )

    async def find_outcome(
        self, key: core.RequestKey, workspace: str
    ) -> _claims_answers.KeyOutcome:
        """Look up a key, after reading its stream to the end.

        Raises:
            CodedError: The log does not answer.
        """
        partition = self._get_partition(key.partition(PARTITIONS))
        known = partition.index.find(key, workspace)
        if isinstance(known, _claims_answers.Settled):
            return known
        await partition.catch_up()
        found = partition.index.find(key, workspace)
        if found is not None:
            return found
        if self._clock.now() > key.expires_at - core.KEY_SKEW_SECONDS:
            return _claims_answers.Expired()
        return _claims_answers.Unclaimed()

    async def handle_forwarded(
        self, batch: _claims_forward.ForwardedRecords
    ) -> list[_claims_answers.ClaimAnswer | None]:
        """Append records forwarded by a sibling, and answer its claims.

        Returns:
            One answer for each record; None for a release or settlement.

        Raises:
            CodedError: A claim cannot be recorded by this VM.
        """
        partition = self._get_partition(batch.partition)
        pending_records = []
        for record in batch.records:
            until = batch.until
            if not _claims_work.is_claim(record):
                until = record.key.expires_at
            pending = _claims_work.PendingRecord(record, until, own=False)
            partition.submit(pending)
            pending_records.append(pending)
        for pending in pending_records:
            await pending.done.wait()
        for pending in pending_records:
            if pending.error is not None:
                raise pending.error
        return [pending.answer for pending in pending_records]

    def count_keys(self) -> int:
        """Return the number of keys in the indexes of all partitions."""
        return sum(len(p.index) for p in self._partitions.values())

    async def flush(self, until: float) -> None:
        """Append all pending records, before the VM stops.

        Args:
            until: When to give up, in epoch seconds.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                core.cancel_at, self._clock, until, tasks.cancel_scope
            )
            for partition in list(self._partitions.values()):
                await partition.flush()
            tasks.cancel_scope.cancel()

    def _choose_outcome(
        self, key: core.RequestKey, is_known: bool
    ) -> core.Outcome:
        """Return the outcome of a request whose claim was not recorded.

        This request was not sent, but without the log it is unknown whether
        an earlier request with the same key was.
        """
        age = self._clock.now() - key.issued_at
        if is_known or abs(age) > FIRST_REQUEST_SECONDS:
            return core.Outcome.UNKNOWN
        return core.Outcome.NOT_RUN

    def _submit(
        self,
        record: _claims_records.ReleaseRecord | _claims_records.SettleRecord,
    ) -> None:
        partition = self._get_partition(record.key.partition(PARTITIONS))
        partition.submit(
            _claims_work.PendingRecord(record, record.key.expires_at, own=True)
        )

    def _get_partition(self, number: int) -> _claims_partition.ClaimPartition:
        partition = self._partitions.get(number)
        if partition is None:
            partition = _claims_partition.ClaimPartition(
                number,
                self._client,
                self._clock,
                _claims_throttle.AppendThrottle(self._random_source),
                self._forwarder,
            )
            self._partitions[number] = partition
            if self._tasks is not None:
                self._tasks.start_soon(partition.run)
        return partition
