"""The check of where a request may be sent."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep.targets.places import _evacuations
from laburnumstep.targets.places import _regions


@attrs.frozen
class Permitted:
    """The request may be sent to the target."""


@attrs.frozen
class Forbidden:
    """The request must not be sent to the target."""

    reason: str
    """Why not, for logs and callers."""


Verdict = Permitted | Forbidden
_PERMITTED = Permitted()


class PlaceRules:
    """Decides to which targets a request may be sent."""

    def __init__(self) -> None:
        self._regions: dict[str, str] = {}
        self.evacuations = _evacuations.Evacuations()
        """Data centres to whose targets nothing may be sent."""

    def apply_places(self, places: dict[str, core.Place]) -> None:
        """Apply the places of a new configuration."""
        self._regions = {
            data_centre: place.region
            for place in places.values()
            for data_centre in place.data_centres
        }

    def find_region(self, data_centre: str) -> str | None:
        """Return the region of a data centre, or None if undeclared."""
        return self._regions.get(data_centre)

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether a data centre is being evacuated."""
        return data_centre in self.evacuations.names

    def check(self, regions: core.Regions, target: core.Target) -> Verdict:
        """Check whether a request may be sent to a target.

        Args:
            regions: Regions in which the request may run.
            target: The target.
        """
        region = self.find_region(target.data_centre)
        if not _regions.allows(regions, region):
            return Forbidden(
                f'the region {region or "unknown"} is not allowed'
            )
        if self.is_evacuated(target.data_centre):
            return Forbidden(f'{target.data_centre} is being evacuated')
        return _PERMITTED

    def permits(self, regions: core.Regions, target: core.Target) -> bool:
        """Return whether a request may be sent to a target."""
        return isinstance(self.check(regions, target), Permitted)

    def describe(self, regions: core.Regions) -> str:
        """Return what restricts a request, as the end of a sentence."""
        text = ''
        match regions:
            case core.AnyRegion():
                pass
            case core.OnlyRegions(names=names):
                text = f'; allowed regions: {", ".join(sorted(names))}'
            case _:
                typing.assert_never(regions)
        if self.evacuations.names:
            text += f'; evacuated: {", ".join(sorted(self.evacuations.names))}'
        return text
