"""Forwards claims to the sibling VM that owns their partition."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep import log
from laburnumstep import siblings

if typing.TYPE_CHECKING:
    import collections.abc


class SiblingClaims:
    """Forwards claims to partition owners, as a `log.ClaimForwarder`.

    Partition ownership only saves appends and reads. Correctness depends on
    the order of records in the log, not on who appends them.

    Args:
        vm_name: Name of this VM.
        find_membership: Returns the membership of this VM.
    """

    def __init__(
        self,
        vm_name: str,
        find_membership: collections.abc.Callable[[], siblings.Membership],
    ) -> None:
        self._vm_name = vm_name
        self._find_membership = find_membership

    def find_owner(self, partition: int) -> str | None:
        """Return the sibling that owns a partition, or None for this VM."""
        owner = self._find_membership().choose_owner(_make_subject(partition))
        return None if owner == self._vm_name else owner

    async def forward(
        self, owner: str, batch: log.ForwardedRecords
    ) -> list[log.ClaimAnswer | None]:
        """Forward a batch to the owner of its partition.

        Args:
            owner: Name of the owner.
            batch: Records for one partition.

        Returns:
            One answer for each record; None for a release or settlement.

        Raises:
            CodedError: The owner refused the batch or its answer was lost;
                each record may have been appended.
        """
        request = siblings.ClaimForward(
            batch.partition, log.encode_claims(batch), batch.until
        )
        body = await self._find_membership().forward_claim(
            _make_subject(batch.partition), request
        )
        return log.decode_claim_answers(body)


async def serve_claims(
    claims: log.ClaimStore, request: siblings.ClaimForward
) -> core.DocumentObject:
    """Append records forwarded by a sibling.

    Args:
        claims: Claims of this VM, which appends the records.
        request: The sibling's request.

    Returns:
        Encoded answers, one for each record.

    Raises:
        CodedError: The records are malformed or cannot be appended.
    """
    batch = log.decode_claims(
        request.partition, request.body, request.deadline
    )
    return log.encode_claim_answers(await claims.handle_forwarded(batch))


def _make_subject(partition: int) -> str:
    return f'claims-{partition:02}'
