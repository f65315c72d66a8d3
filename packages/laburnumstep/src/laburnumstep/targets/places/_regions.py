"""Decisions about the regions in which a request may run."""

from __future__ import annotations

import typing

from laburnumstep import core


def allows(regions: core.Regions, region: str | None) -> bool:
    """Return whether a region is among the allowed ones.

    Args:
        regions: The allowed regions.
        region: Name of the region, or None if it is not known. An unknown
            region is allowed only if every region is.
    """
    match regions:
        case core.AnyRegion():
            return True
        case core.OnlyRegions(names=names):
            return region in names
        case _:
            typing.assert_never(regions)


def intersect(first: core.Regions, second: core.Regions) -> core.Regions:
    """Return the regions that both sets of allowed regions have."""
    match first, second:
        case core.AnyRegion(), _:
            return second
        case _, core.AnyRegion():
            return first
        case core.OnlyRegions(names=names), core.OnlyRegions(names=others):
            return core.OnlyRegions(names & others)
        case _:
            raise TypeError(f'not regions: {first!r}, {second!r}')


def list_names(restrictions: typing.Iterable[core.Regions]) -> frozenset[str]:
    """Return the names of all regions that restrictions allow by name."""
    names: frozenset[str] = frozenset()
    for regions in restrictions:
        match regions:
            case core.AnyRegion():
                pass
            case core.OnlyRegions(names=allowed):
                names |= allowed
            case _:
                typing.assert_never(regions)
    return names
