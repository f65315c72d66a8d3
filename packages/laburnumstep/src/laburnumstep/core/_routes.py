"""Routes from the host and path of a request to the services for it."""

from __future__ import annotations

import typing

import attrs

from laburnumstep.core import _regions

if typing.TYPE_CHECKING:
    import random


@attrs.frozen
class CallKind:
    """A request with a single response."""

    idempotent: bool
    """Whether it may run more than once."""


@attrs.frozen
class StreamKind:
    """A request whose response is a stream of events."""

    resumable: bool
    """Whether another run can continue after the last delivered event."""


RouteKind = CallKind | StreamKind


@attrs.frozen
class WeightedService:
    """A service and its fraction of a route's requests."""

    service: str
    """Name of the service."""
    weight: float
    """Fraction of the requests, relative to the other weights."""


@attrs.frozen
class Route:
    """Rule that assigns requests of a host and path prefix to services."""

    name: str
    """Name, unique in the table."""
    host: str
    """Host name, in lower case."""
    path_prefix: str
    """Prefix of the paths; starts and ends with a slash."""
    kind: RouteKind
    """Kind of the requests, which decides whether they may be retried."""
    services: tuple[WeightedService, ...]
    """Services that handle the requests, at least one."""
    timeout_seconds: float
    """Longest time that a caller waits for the response, in seconds."""
    attempts: int
    """Largest number of targets to which one request is sent."""
    priority: int
    """Priority; higher numbers are served first."""
    public: bool = False
    """Whether requests are accepted without a key."""
    regions: _regions.Regions = _regions.AnyRegion()
    """Regions in which the requests may run."""
    first_answer_seconds: float | None = None
    """Longest time to the first event of a stream that is in time, in
    seconds; None if not given."""
    gap_seconds: float | None = None
    """Longest time between two events of a stream that is in time, in
    seconds; None if not given."""

    def choose_service(self, rng: random.Random) -> str:
        """Return the service for one request, drawn at random by weight."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [max(0.0, item.weight) for item in self.services]
        if not any(weights):
            return self.services[0].service
        return rng.choices(self.services, weights)[0].service


@attrs.frozen
class KeyHolder:
    """The workspace to which a key belongs."""

    workspace: str
    """Name of the workspace."""
    priority: int | None = None
    """Priority that overrides the route's, or None."""
    regions: _regions.Regions = _regions.AnyRegion()
    """Regions in which requests of the workspace may run."""


@attrs.frozen
class RouteTable:
    """The routes and keys of one version of the configuration."""

    version: int
    """Version; a higher one replaces a lower one."""
    routes: tuple[Route, ...]
    """All routes."""
    keys: dict[str, KeyHolder] | None
    """Holders by key, or None if requests need no key."""
    max_body_bytes: int
    """Largest request body that is accepted, in bytes."""
    head_timeout_seconds: float = 10.0
    """Time for the head of a request from its first byte, in seconds."""
    idle_timeout_seconds: float = 30.0
    """Longest pause of a caller within a request, in seconds."""
    _by_host: dict[str, list[Route]] = attrs.field(
        init=False, factory=dict, repr=False, eq=False
    )

    def __attrs_post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    @property
    def regions(self) -> list[_regions.Regions]:
        """Allowed regions of all routes and of all holders of keys."""
        regions = [route.regions for route in self.routes]
        regions += [item.regions for item in (self.keys or {}).values()]
        return regions

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_holder(self, key: str | None) -> KeyHolder | None:
        """Return the holder of a key, or None for an unknown key."""
        if key is None or self.keys is None:
            return None
        return self.keys.get(key)
