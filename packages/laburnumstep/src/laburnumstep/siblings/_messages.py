"""Messages between siblings, free of their encoding."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep.siblings import _entries


@attrs.frozen
class Heartbeat:
    """Asks whether the sibling answers."""

    sequence: int
    """Number of the heartbeat on its connection."""
    vm: str
    """Name of the VM that sends it."""


@attrs.frozen
class HeartbeatAck:
    """Answers a heartbeat."""

    sequence: int
    """Number of the heartbeat answered."""
    vm: str
    """Name of the VM that answers."""


@attrs.frozen
class Entries:
    """Hands over entries."""

    entries: list[_entries.GossipEntry]
    """The entries."""


@attrs.frozen
class RootDigest:
    """Begins an anti-entropy exchange."""

    digest: int
    """Digest of all entries of the sender."""


@attrs.frozen
class BucketDigests:
    """Answers a root digest that differs."""

    digests: list[int]
    """Digest of each bucket of the sender."""


@attrs.frozen
class BucketSummaries:
    """Answers bucket digests that differ."""

    buckets: list[int]
    """Buckets that differ."""
    stamps: dict[int, int]
    """Stamps of the sender's entries in them, by hash of the key."""


@attrs.frozen
class WantedKeys:
    """Asks for entries that the sibling has newer."""

    keys: list[int]
    """Hashes of the keys."""


SiblingMessage = (
    Heartbeat
    | HeartbeatAck
    | Entries
    | RootDigest
    | BucketDigests
    | BucketSummaries
    | WantedKeys
)


@attrs.frozen
class ClaimForward:
    """Claim records for the owner of a partition."""

    partition: int
    """Partition of the claim index."""
    body: dict[str, typing.Any]
    """JSON object, defined by the claim index."""
    deadline: float
    """When the caller gives up, in epoch seconds."""
