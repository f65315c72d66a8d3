"""Regions in which a request may run."""

from __future__ import annotations

import attrs


@attrs.frozen
class AnyRegion:
    """Every region."""


@attrs.frozen
class OnlyRegions:
    """Certain regions and no others."""

    names: frozenset[str]
    """Names of the regions. If empty, no region may serve the request."""


Regions = AnyRegion | OnlyRegions
