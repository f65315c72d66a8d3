"""Decides the status of a target, from everything that is known."""

from __future__ import annotations

import enum
import typing

import attrs

from laburnumstep.siblings import _entries

if typing.TYPE_CHECKING:
    from laburnumstep.siblings import _store

MAX_LEAVE_SECONDS = 86400.0
"""Longest time a leave notice stands, in seconds. A target that is out of
use for longer is drained in the configuration."""
FAILED_DATA_CENTRES = 2
"""Data centres whose VMs must see a target fail before VMs of a third one
avoid it; one data centre alone may have lost its link to the target."""


class Availability(enum.Enum):
    """Whether a target gets new work."""

    AVAILABLE = 'available'
    """Nothing speaks against it."""
    LEAVING = 'leaving'
    """It gets no new work; its streams finish."""
    FAILED = 'failed'
    """It did not answer a short time ago."""


@attrs.frozen
class TargetReport:
    """What one source says about a target."""

    state: _entries.TargetState
    """State told."""
    source: str
    """Who told the reporting VM, such as `vmlist` or `operator`."""
    vm: str
    """The reporting VM."""
    until: float
    """When the report ends, in epoch seconds."""


@attrs.frozen
class TargetStatus:
    """Status of a target and who said so."""

    name: str
    """Name of the target."""
    availability: Availability
    """Whether it gets new work."""
    reports: list[TargetReport]
    """All reports that have not ended, also those that do not suffice."""


def read_reports(store: _store.GossipStore, name: str) -> list[TargetReport]:
    """Return the reports about a target that have not ended."""
    reports = [
        TargetReport(
            entry.value.state,
            entry.value.source,
            entry.origin,
            entry.expires_at,
        )
        for entry in store.about(_entries.EntryKind.TARGET, name)
        if isinstance(entry.value, _entries.TargetValue)
    ]
    return sorted(reports, key=lambda report: report.vm)


def describe_target(
    name: str,
    reports: list[TargetReport],
    own_data_centre: str,
    data_centres: typing.Mapping[str, str],
) -> TargetStatus:
    """Combine the reports about a target.

    A leave notice of any source stands until its end. A failure stands
    where a VM of this data centre, or of several others, saw it.

    Args:
        name: Name of the target.
        reports: What is said about it.
        own_data_centre: This VM's data centre.
        data_centres: Data centres of the reporting VMs, by name.
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
    if own_data_centre in failed_in or len(failed_in) >= FAILED_DATA_CENTRES:
        availability = Availability.FAILED
    return TargetStatus(name, availability, reports)
