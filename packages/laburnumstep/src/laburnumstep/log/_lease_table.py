"""Decides in log order who holds a lease."""

from __future__ import annotations

import attrs

LEASE_SECONDS = 30.0
"""How long a lease lasts after its last record, in seconds. With a renewal
every third of it, 19 data centres cost two appends a second."""


@attrs.frozen
class AcquireRecord:
    """A process wants a lease, or renews the one that it holds."""

    resource: str
    """What the lease is for."""
    vm: str
    """Name of the VM, for people."""
    holder: str
    """Identifies the process; a restarted VM is another holder."""
    serial: int
    """Number of the append, so that its holder recognises it."""
    fence: int
    """Fencing number of the lease that is renewed, -1 for a new one."""
    until: float
    """When the holder expects the lease to end, for people."""


@attrs.frozen
class Lease:
    """A lease as the log has it."""

    holder: str
    """The process that holds it."""
    vm: str
    """Its VM."""
    fence: int
    """Fencing number: offset of the record that began the lease."""
    until: float
    """End of the lease in the log's time, in epoch seconds."""
    serial: int
    """Number of the append that began or renewed it."""


class LeaseTable:
    """Leases by resource, from the records in log order.

    A lease lasts LEASE_SECONDS from the log's own time of the append, so
    that no VM's clock can shorten another's lease or lengthen its own.
    """

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}

    def find(self, resource: str) -> Lease | None:
        """Return the last lease of a resource; it may have ended."""
        return self._leases.get(resource)

    def apply(
        self, record: AcquireRecord, offset: int, appended_at: float
    ) -> None:
        """Take the next record into account.

        Args:
            record: The record.
            offset: Its place in the log.
            appended_at: The log's time of the append, in epoch seconds.
        """
        current = self._leases.get(record.resource)
        fence = offset
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
