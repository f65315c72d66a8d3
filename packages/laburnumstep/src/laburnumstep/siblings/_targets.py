"""Derivation of the status of a target from the reports about it."""

from __future__ import annotations

import enum
import typing

import attrs

from laburnumstep.siblings import _entries

if typing.TYPE_CHECKING:
    from laburnumstep.siblings import _store

MAX_LEAVING_SECONDS = 86400.0
"""Longest lifetime of a leaving report, in seconds. A target that stays out of
use for longer has to be drained in the configuration."""
FAILED_DATA_CENTRE_QUORUM = 2
"""Number of data centres whose VMs must report a failure before VMs in other
data centres treat the target as failed; a single data centre may have lost
its link to the target."""


class Availability(enum.Enum):
    """Availability of a target for new work."""

    AVAILABLE = 'available'
    """The target gets new work."""
    LEAVING = 'leaving'
    """The target gets no new work and finishes its streams."""
    FAILED = 'failed'
    """The target did not answer a short time ago."""


@attrs.frozen
class TargetReport:
    """Report of one VM about a target."""

    state: _entries.TargetState
    """Reported state."""
    source: str
    """Source of the state at the reporting VM, such as `vmlist`, `operator` or
    `observed`."""
    vm: str
    """Name of the reporting VM."""
    until: float
    """When the report expires, in epoch seconds."""


@attrs.frozen
class TargetStatus:
    """Status of a target and the reports behind it."""

    name: str
    """Name of the target."""
    availability: Availability
    """Availability of the target for new work."""
    reports: list[TargetReport]
    """Reports that have not expired, also failure reports below the quorum."""


def list_reports(store: _store.GossipStore, name: str) -> list[TargetReport]:
    """Return the reports about a target that have not expired."""
    reports = [
        TargetReport(
            entry.value.state,
            entry.value.source,
            entry.origin,
            entry.expires_at,
        )
        for entry in store.list_entries(_entries.EntryKind.TARGET, name)
        if isinstance(entry.value, _entries.TargetValue)
    ]
    return sorted(reports, key=lambda report: report.vm)


def derive_status(
    name: str,
    reports: list[TargetReport],
    own_data_centre: str,
    data_centres: typing.Mapping[str, str],
) -> TargetStatus:
    """Derive the status of a target from the reports about it.

    One leaving report of any VM suffices. A failure counts if a VM in this
    data centre reports it, or if VMs in at least
    `FAILED_DATA_CENTRE_QUORUM` other data centres do.

    Args:
        name: Name of the target.
        reports: Reports about the target that have not expired.
        own_data_centre: Data centre of this VM.
        data_centres: Data centre of each known VM, by name of the VM.
    """
    availability = Availability.AVAILABLE
    failed_in = set()
    for report in reports:
        match report.state:
            case _entries.TargetState.LEAVING:
                return TargetStatus(name, Availability.LEAVING, reports)
            case _entries.TargetState.FAILED:
                failed_in.add(data_centres.get(report.vm, ''))
            case _:
                typing.assert_never(report.state)
    if (
        own_data_centre in failed_in
        or len(failed_in) >= FAILED_DATA_CENTRE_QUORUM
    ):
        availability = Availability.FAILED
    return TargetStatus(name, availability, reports)
