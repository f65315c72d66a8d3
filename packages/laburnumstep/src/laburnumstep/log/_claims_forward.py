"""Hands claim records to the VM that owns their partition."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep.log import _claims_answers
    from laburnumstep.log import _claims_records


@attrs.frozen
class ForwardedRecords:
    """A batch for the owner of a partition."""

    partition: int
    """Partition of the records' keys."""
    records: list[_claims_records.ClaimsRecord]
    """Records in the order in which they are to be appended."""
    until: float
    """When the sender gives up, in epoch seconds."""


class ClaimForwarder(typing.Protocol):
    """Reaches the owners of partitions, which batch appends for others.

    Ownership saves appends and reads only: a VM whose owner fails appends
    the same records itself, and the log's order decides.
    """

    def owner(self, partition: int) -> str | None:
        """Return the sibling that owns a partition, None for this VM."""
        ...

    async def forward(
        self, owner: str, batch: ForwardedRecords
    ) -> list[_claims_answers.ClaimAnswer | None]:
        """Hand a batch to its owner.

        Returns:
            One answer for each record; None for a release or settlement.

        Raises:
            CodedError: The owner did not take the batch, or its answer was
                lost; each record may have been appended.
        """
        ...
