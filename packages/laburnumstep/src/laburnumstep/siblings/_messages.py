"""Messages between siblings, independent of their encoding."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep.siblings import _entries


@attrs.frozen
class Heartbeat:
    """Checks whether a sibling answers."""

    sequence: int
    """Sequence number among the heartbeats to this sibling."""
    vm: str
    """Name of the VM that sends the heartbeat."""


@attrs.frozen
class HeartbeatAck:
    """Answers a heartbeat."""

    sequence: int
    """Sequence number of the answered heartbeat."""
    vm: str
    """Name of the VM that answers."""


@attrs.frozen
class Entries:
    """Transfers gossip entries."""

    entries: list[_entries.GossipEntry]
    """Transferred entries."""


@attrs.frozen
class RootDigest:
    """Begins an anti-entropy exchange."""

    digest: int
    """Digest of all entries in the sender's store."""


@attrs.frozen
class BucketDigests:
    """Answers a root digest that differs from the sender's."""

    digests: list[int]
    """Digest of each bucket of the sender's store, in order."""


@attrs.frozen
class BucketSummaries:
    """Answers bucket digests that differ from the sender's."""

    buckets: list[int]
    """Numbers of the buckets that differ."""
    stamps: dict[int, int]
    """Stamps of the sender's entries in these buckets, by hash of the key."""


@attrs.frozen
class WantedKeys:
    """Requests the entries of which the sibling has a newer version."""

    keys: list[int]
    """Hashes of the keys of the requested entries."""


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
    """Claim records that are forwarded to the owner of their partition."""

    partition: int
    """Number of the partition of the claim index."""
    body: dict[str, typing.Any]
    """JSON object with the records, defined by the claim index."""
    deadline: float
    """Deadline of the call, in epoch seconds."""
