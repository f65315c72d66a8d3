"""Forwarding of claim records to the VM that owns their partition."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep.log import _claims_answers
    from laburnumstep.log import _claims_records


@attrs.frozen
class ForwardedRecords:
    """A batch of records for the owner of a partition."""

    partition: int
    """Partition of the records' keys."""
    records: list[_claims_records.ClaimsRecord]
    """Records in the order in which they are to be appended."""
    until: float
    """When the sender gives up, in epoch seconds."""


class ClaimForwarder(typing.Protocol):
    """Forwards records to partition owners, which batch appends of all VMs.

    Ownership only reduces the number of appends and reads. If the owner
    fails, a VM appends the same records itself; correctness depends on the
    order of the log alone.
    """

    def find_owner(self, partition: int) -> str | None:
        """Return the sibling that owns a partition, or None for this VM."""
        ...

    async def forward(
        self, owner: str, batch: ForwardedRecords
    ) -> list[_claims_answers.ClaimAnswer | None]:
        """Send a batch to the owner of its partition.

        Returns:
            One answer for each record; None for a release or settlement.

        Raises:
            CodedError: The owner refused the batch or its answer was lost.
                Any of the records may have been appended.
        """
        ...
