"""Classes of the configuration document, which describes one deployment.

The field names are keys of the stored document and enter its digest.
"""

from __future__ import annotations

import hashlib
import hmac
import typing

import attrs


@attrs.frozen
class Place:
    """A region with its data centres."""

    region: str
    """Name of the region."""
    data_centres: list[str]
    """Names of the data centres, unique in the deployment."""


@attrs.frozen
class EngineTarget:
    """A model engine."""

    name: str
    """Name, unique in the deployment."""
    data_centre: str
    """Data centre in which it runs."""
    address: str
    """IP address and port."""
    models: list[str]
    """Names of the models that it serves."""
    kv_tokens: int
    """Memory capacity for running generations, in tokens."""
    checks_fence: bool
    """Whether it rejects orders with an outdated fencing token."""
    version: str = ''
    """Declared version of its models."""
    leaving: bool = False
    """Whether operators are draining it."""
    copy_seconds: float = 0.0
    """Time to copy one token of a run to another engine of the same data
    centre, in seconds; other data centres take twice as long."""


@attrs.frozen
class ServiceTarget:
    """A server of a plain service."""

    name: str
    """Name, unique in the deployment."""
    data_centre: str
    """Data centre in which it runs."""
    address: str
    """IP address and port."""
    service: str
    """Name of the service that it serves."""
    leaving: bool = False
    """Whether operators are draining it."""


Target = EngineTarget | ServiceTarget


@attrs.frozen
class Operation:
    """One operation of a plain service."""

    idempotent: bool
    """Whether it may run more than once."""
    outcome_query: bool = False
    """Whether the service answers outcome queries by request key."""


@attrs.frozen
class Service:
    """A plain service."""

    operations: dict[str, Operation]
    """Declared operations, by name."""


@attrs.frozen
class Workspace:
    """A customer's share of a deployment."""

    name: str
    """Name, unique in the deployment."""
    key_digest: str
    """SHA-256 digest of the secret, in hexadecimal."""
    requests_per_second: float
    """Rate limit across all VMs."""
    concurrency: int
    """Limit of requests in progress across all VMs."""
    tokens_per_second: float
    """Limit of generated tokens across all VMs."""
    priority: int = 0
    """Default priority of requests; higher numbers are served first."""
    secret_expires_at: float | None = None
    """Time after which the secret is refused, in epoch seconds."""

    def accepts(self, secret: str, now: float) -> bool:
        """Return whether a secret is this workspace's and has not expired.

        Args:
            secret: The secret that a caller sent.
            now: The current time, in epoch seconds.
        """
        if self.secret_expires_at is not None:
            if now >= self.secret_expires_at:
                return False
        return hmac.compare_digest(digest_secret(secret), self.key_digest)


@attrs.frozen
class PolicyWeights:
    """Weights of the measures that placement trades off."""

    stall: float = 1.0
    """Weight of stall time."""
    preemption: float = 1.0
    """Weight of preemptions."""
    tail: float = 1.0
    """Weight of the tail latency between tokens."""


@attrs.frozen
class LinkBudget:
    """Bandwidth budgets of the links between regions."""

    bytes_per_second: dict[str, float] = attrs.field(factory=dict)
    """Budget of each direction, in bytes a second, by
    '<from region>><to region>'."""

    def find(self, source: str, destination: str) -> float | None:
        """Return a direction's bytes a second, or None if unlimited."""
        return self.bytes_per_second.get(f'{source}>{destination}')


@attrs.frozen
class Deployment:
    """A deployment as its operators declare it."""

    name: str
    """Name of the deployment."""
    places: dict[str, Place] = attrs.field(factory=dict)
    """Places by name."""
    targets: dict[str, Target] = attrs.field(factory=dict)
    """Targets by name."""
    services: dict[str, Service] = attrs.field(factory=dict)
    """Plain services by name."""
    workspaces: dict[str, Workspace] = attrs.field(factory=dict)
    """Workspaces by name."""
    weights: PolicyWeights = attrs.field(factory=PolicyWeights)
    """Weights of the measures that placement trades off."""
    links: LinkBudget = attrs.field(factory=LinkBudget)
    """Bandwidth budgets of the links between regions."""

    def find_region(self, data_centre: str) -> str | None:
        """Return the region of a data centre, or None if undeclared."""
        for place in self.places.values():
            if data_centre in place.data_centres:
                return place.region
        return None

    def find_operation(self, service: str, name: str) -> Operation | None:
        """Return a declared operation of a service, or None."""
        declared = self.services.get(service)
        return declared.operations.get(name) if declared else None


@attrs.frozen
class VersionedDeployment:
    """A configuration with its version and position in the log."""

    version: int
    """Version, from 1."""
    digest: str
    """Digest of the encoded deployment."""
    through: int
    """Log offset up to which records have been applied."""
    deployment: Deployment
    """The configuration."""


def digest_secret(secret: str) -> str:
    """Return the digest of a workspace's secret, in hexadecimal."""
    return hashlib.sha256(secret.encode()).hexdigest()


DocumentObject = dict[str, typing.Any]
"""A decoded JSON object."""
