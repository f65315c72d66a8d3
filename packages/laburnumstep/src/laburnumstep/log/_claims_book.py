"""Claims of request keys, through the log."""

from __future__ import annotations

import random
import secrets
import typing

import anyio

from laburnumstep import core
from laburnumstep.log import _claims_answers
from laburnumstep.log import _claims_codec
from laburnumstep.log import _claims_pace
from laburnumstep.log import _claims_partition
from laburnumstep.log import _claims_records
from laburnumstep.log import _claims_work

if typing.TYPE_CHECKING:
    from laburnumstep.log import _claims_forward
    from laburnumstep.log import _client

PARTITIONS = 64
"""Claim streams over which the keys are spread."""
FRESH_SECONDS = 2.0
"""How long after its issue a key counts as sent for the first time when the
log cannot be asked, in seconds. An older key may have run through another
VM, so its refusal must not say that the request was not run."""
_NONCE_BYTES = 8


class ClaimBook:
    """Claims keys so that each operation is sent at most once.

    Args:
        client: The log.
        vm_name: Name of this VM.
        clock: Compared with deadlines.
        forwarder: Reaches the owners of partitions; None appends here.
        random_source: Spreads the appends of VMs that were refused together.
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
        self._random = random_source or random.Random()
        self._partitions: dict[int, _claims_partition.ClaimPartition] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Serve the partitions that are in use until cancelled."""
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
            request: Digest of the request; one key serves one request.

        Raises:
            CodedError: The claim cannot be recorded, for instance because
                the log is down. The operation must not be sent.
        """
        partition = self._find_partition(key.partition(PARTITIONS))
        known = partition.index.find(key, workspace)
        if isinstance(known, _claims_answers.Settled):
            return known
        if self._clock.now() > key.expires_at + core.KEY_SKEW_SECONDS:
            return known or _claims_answers.Expired()
        nonce = secrets.token_hex(_NONCE_BYTES)
        record = _claims_records.ClaimRecord(
            key, workspace, self._vm, nonce, request
        )
        work = _claims_work.Work(record, until, own=True)
        await partition.claim(work)
        if work.answer is not None:
            return work.answer
        assert work.error is not None
        raise core.CodedError(
            work.error.code,
            work.error.message,
            self._judge_refusal(key, known is not None),
            work.error.resend,
            work.error.resend_at,
        )

    def release(self, claim: _claims_answers.Granted) -> None:
        """Free a key whose operation was not sent and will not be."""
        record = _claims_records.ReleaseRecord(claim.key, claim.nonce)
        self._note(record)

    def settle(
        self,
        claim: _claims_answers.Granted | _claims_answers.Held,
        result: core.CallResult,
    ) -> None:
        """Record the answer of a key's operation.

        Args:
            claim: The claim that holds the key, of this or another VM.
            result: The answer; a large one is recorded by its status only.
        """
        kept = result if _claims_codec.fits_record(result) else None
        self._note(
            _claims_records.SettleRecord(
                claim.key, claim.nonce, result.status, kept
            )
        )

    async def outcome(
        self, key: core.RequestKey, workspace: str
    ) -> _claims_answers.KeyOutcome:
        """Look a key up in the log.

        Raises:
            CodedError: The log does not answer.
        """
        partition = self._find_partition(key.partition(PARTITIONS))
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

    async def serve(
        self, batch: _claims_forward.ForwardedRecords
    ) -> list[_claims_answers.ClaimAnswer | None]:
        """Append records that a sibling forwarded.

        Returns:
            One answer for each record; None for a release or settlement.

        Raises:
            CodedError: A claim cannot be recorded here.
        """
        partition = self._find_partition(batch.partition)
        works = []
        for record in batch.records:
            until = batch.until
            if not _claims_work.is_claim(record):
                until = record.key.expires_at
            work = _claims_work.Work(record, until, own=False)
            partition.submit(work)
            works.append(work)
        for work in works:
            await work.done.wait()
        for work in works:
            if work.error is not None:
                raise work.error
        return [work.answer for work in works]

    def count_keys(self) -> int:
        """Return how many keys the indexes hold."""
        return sum(len(p.index) for p in self._partitions.values())

    async def flush(self, until: float) -> None:
        """Append what waits, as before the VM stops.

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

    def _judge_refusal(
        self, key: core.RequestKey, is_known: bool
    ) -> core.Outcome:
        """Return the outcome of a request whose claim is not recorded.

        The request itself was not sent. With the log down nobody can tell
        whether an earlier request with the same key was.
        """
        age = self._clock.now() - key.issued_at
        if is_known or abs(age) > FRESH_SECONDS:
            return core.Outcome.UNKNOWN
        return core.Outcome.NOT_RUN

    def _note(
        self,
        record: _claims_records.ReleaseRecord | _claims_records.SettleRecord,
    ) -> None:
        partition = self._find_partition(record.key.partition(PARTITIONS))
        partition.submit(
            _claims_work.Work(record, record.key.expires_at, own=True)
        )

    def _find_partition(self, number: int) -> _claims_partition.ClaimPartition:
        partition = self._partitions.get(number)
        if partition is None:
            partition = _claims_partition.ClaimPartition(
                number,
                self._client,
                self._clock,
                _claims_pace.AppendPace(self._random),
                self._forwarder,
            )
            self._partitions[number] = partition
            if self._tasks is not None:
                self._tasks.start_soon(partition.run)
        return partition
