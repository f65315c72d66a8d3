"""Carries claims to the sibling VM that batches their partition."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep import log
from laburnumstep import siblings

if typing.TYPE_CHECKING:
    import collections.abc


class SiblingClaims:
    """Hands claims to siblings and serves theirs.

    It implements `log.ClaimForwarder`. Ownership saves appends and reads
    only; correctness rests on the order of the log.

    Args:
        vm_name: Name of this VM.
        find_membership: Returns the membership of this VM.
    """

    def __init__(
        self,
        vm_name: str,
        find_membership: collections.abc.Callable[[], siblings.Membership],
    ) -> None:
        self._vm = vm_name
        self._find_membership = find_membership

    def owner(self, partition: int) -> str | None:
        """Return the sibling that owns a partition, None for this VM."""
        owner = self._find_membership().choose_owner(_subject(partition))
        return None if owner == self._vm else owner

    async def forward(
        self, owner: str, batch: log.ForwardedRecords
    ) -> list[log.ClaimAnswer | None]:
        """Hand a batch to its owner.

        Raises:
            CodedError: The owner did not take the batch, or its answer was
                lost.
        """
        request = siblings.ClaimForward(
            batch.partition, log.encode_claims(batch), batch.until
        )
        body = await self._find_membership().forward_claim(
            _subject(batch.partition), request
        )
        return log.decode_claim_answers(body)


async def serve_claims(
    claims: log.ClaimBook, request: siblings.ClaimForward
) -> core.DocumentObject:
    """Append the records of a sibling and return the answers.

    Raises:
        CodedError: The records are malformed or cannot be appended.
    """
    batch = log.decode_claims(
        request.partition, request.body, request.deadline
    )
    return log.encode_claim_answers(await claims.serve(batch))


def _subject(partition: int) -> str:
    return f'claims-{partition:02}'
