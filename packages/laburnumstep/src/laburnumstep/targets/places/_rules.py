"""The check of where a request may be sent."""

from __future__ import annotations

import attrs

from laburnumstep import core
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
        return _PERMITTED

    def permits(self, regions: core.Regions, target: core.Target) -> bool:
        """Return whether a request may be sent to a target."""
        return isinstance(self.check(regions, target), Permitted)
