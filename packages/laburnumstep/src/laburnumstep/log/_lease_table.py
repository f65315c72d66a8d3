"""Leases by resource, as the records of the log define them."""

from __future__ import annotations

import attrs

LEASE_SECONDS = 30.0
"""How long a lease lasts after its last record, in seconds. Renewals take
place after a third of that time, which is two appends a second for the
leases of 19 data centres."""


@attrs.frozen
class AcquireRecord:
    """A request of a process to acquire or renew a lease."""

    resource: str
    """Name of the resource that the lease protects."""
    vm: str
    """Name of the VM, for information only."""
    holder: str
    """Identifies the process; a restarted VM is a different holder."""
    serial: int
    """Number of the append, by which its holder recognises it."""
    fence: int
    """Fencing token of the lease to renew, or -1 to acquire a new one."""
    until: float
    """End of the lease that the holder expects, for information only."""


@attrs.frozen
class Lease:
    """A lease and its holder."""

    holder: str
    """Identifies the process that holds the lease."""
    vm: str
    """Name of the VM on which that process runs."""
    fence: int
    """Fencing token: position of the record that began the lease, as a number
    that rises with the epoch and the offset."""
    until: float
    """End of the lease by the log's clock, in epoch seconds."""
    serial: int
    """Number of the append that began or renewed it."""


class LeaseTable:
    """Leases by resource, built from records in log order.

    A lease lasts `LEASE_SECONDS` from its last append by the log's clock. A
    VM whose clock is wrong can therefore neither shorten the lease of
    another VM nor lengthen its own.
    """

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}

    def find(self, resource: str) -> Lease | None:
        """Return the last lease of a resource, which may have ended."""
        return self._leases.get(resource)

    def apply(
        self, record: AcquireRecord, position: int, appended_at: float
    ) -> None:
        """Apply the next record of the stream.

        Args:
            record: The record.
            position: Position of the record, as a number that rises with the
                epoch and the offset.
            appended_at: Time of the append by the log's clock, in epoch
                seconds.
        """
        current = self._leases.get(record.resource)
        fence = position
        if current is not None and appended_at < current.until:
            if current.holder != record.holder:
                return
            fence = current.fence
        self._leases[record.resource] = Lease(
            record.holder,
            record.vm,
            fence,
            appended_at + LEASE_SECONDS,
            record.serial,
        )
