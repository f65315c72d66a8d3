"""Routes: which service answers a caller's request, and on what terms."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    import random


@attrs.frozen
class CallKind:
    """A request with one answer."""

    idempotent: bool
    """Whether it may run more than once."""


@attrs.frozen
class StreamKind:
    """A request that is answered by a stream of events."""

    resumable: bool
    """Whether another run may go on after the last event delivered."""


RouteKind = CallKind | StreamKind


@attrs.frozen
class WeightedService:
    """A service with its part of a route's requests."""

    service: str
    """Name of the service."""
    weight: float
    """Part of the requests, relative to the other weights."""


@attrs.frozen
class Route:
    """Where the requests of a host and path prefix go."""

    name: str
    """Name, unique in the table."""
    host: str
    """Host name, in lower case."""
    path_prefix: str
    """Beginning of the paths; begins and ends with a slash."""
    kind: RouteKind
    """What may be repeated."""
    services: tuple[WeightedService, ...]
    """Services that answer, at least one."""
    answer_seconds: float
    """Longest time that a caller is kept waiting."""
    attempts: int
    """Most targets to which one request is sent."""
    priority: int
    """Higher goes first."""
    public: bool = False
    """Whether requests need no key."""

    def choose_service(self, rng: random.Random) -> str:
        """Return the service for one request, drawn by weight."""
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
    """Priority that goes before the route's, if any; higher goes first."""


@attrs.frozen
class RouteTable:
    """The routes and keys of one version of the configuration."""

    version: int
    """Version; a higher one replaces a lower one."""
    routes: tuple[Route, ...]
    """All routes."""
    keys: dict[str, KeyHolder] | None
    """Holders by key, or None where requests need no key."""
    max_body_bytes: int
    """Largest request body that is accepted, in bytes."""
    _by_host: dict[str, list[Route]] = attrs.field(
        init=False, factory=dict, repr=False, eq=False
    )

    def __attrs_post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_holder(self, key: str | None) -> KeyHolder | None:
        """Return the holder of a key, or None for an unknown key."""
        if key is None or self.keys is None:
            return None
        return self.keys.get(key)
