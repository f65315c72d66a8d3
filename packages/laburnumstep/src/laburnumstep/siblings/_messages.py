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


@attrs.frozen
class EngineLoad:
    """Load report of an engine that one VM read for the others."""

    target: str
    """Name of the engine."""
    measured_at: float
    """When the engine measured it, in epoch seconds of the local clock."""
    running: int
    """Number of running requests."""
    waiting: int
    """Number of waiting requests."""
    kv_used: int
    """Used memory, in tokens."""
    kv_total: int
    """Size of the memory, in tokens."""
    reclaim_at: float | None
    """When the engine is reclaimed, in epoch seconds of the local clock;
    None if it stays."""


@attrs.frozen
class EngineSend:
    """Request that a VM has sent to an engine, too new for its reports."""

    target: str
    """Name of the engine."""
    vm: str
    """Name of the VM that sent the request."""
    sent_at: float
    """When it was sent, in epoch seconds of the local clock."""
    prompt_tokens: int
    """Length of the prompt, in tokens."""
    parts: tuple[tuple[int, int], ...] = ()
    """Digest and length in tokens of each part of the prompt that other
    prompts share, in order."""
    gap_seconds: float | None = None
    """Objective of the time between events, in seconds, if any."""
    expected_tokens: int = 0
    """Expected length of the answer, in tokens; 0 without an objective."""


@attrs.frozen
class EngineLoads:
    """Transfers load reports of engines and sends to them."""

    loads: list[EngineLoad]
    """The reports."""
    sends: list[EngineSend]
    """The sends."""
    distribute: bool
    """Whether the receiver distributes them in its data centre."""


@attrs.frozen
class PermitAsk:
    """Asks the owner of a limited target for permits to send to it."""

    sequence: int
    """Identifies the question in its answer."""
    vm: str
    """Name of the VM that asks."""
    target: str
    """Name of the target."""
    rate: float | None
    """Requests a second that the target takes, as the VM knows it; None if it
    has no limit."""
    named_at: float
    """When an answer of the target said so, in epoch seconds of the local
    clock."""
    count: int
    """Number of permits that the VM could use."""


@attrs.frozen
class PermitReply:
    """Answers a question for permits."""

    sequence: int
    """That of the question."""
    count: int
    """Number of permits; none are available if it is 0."""
    until: float
    """When the permits expire or the VM may ask again, in epoch seconds of the
    local clock."""


SiblingMessage = (
    Heartbeat
    | HeartbeatAck
    | Entries
    | RootDigest
    | BucketDigests
    | BucketSummaries
    | WantedKeys
    | EngineLoads
    | PermitAsk
    | PermitReply
)


DatagramMessage = EngineLoads | PermitAsk | PermitReply
"""Messages that are sent without a connection."""


@attrs.frozen
class ClaimForward:
    """Claim records that are forwarded to the owner of their partition."""

    partition: int
    """Number of the partition of the claim index."""
    body: dict[str, typing.Any]
    """JSON object with the records, defined by the claim index."""
    deadline: float
    """Deadline of the call, in epoch seconds."""


@attrs.frozen
class TopicRead:
    """Read of a topic that a sibling follows."""

    topic: str
    """Name of the topic."""
    newest: bool
    """Whether the newest record of each key is read in place of the records
    from `start` on."""
    epoch: int
    """Epoch of the log to which `start` belongs."""
    start: int
    """Offset of the first record. With `newest`, the lowest offset that the
    sibling has to have reached; -1 for any epoch and offset."""
    wait_until: float
    """How long the sibling may wait for a record, in epoch seconds."""
    deadline: float
    """Deadline of the call, in epoch seconds."""


@attrs.frozen
class TopicRecord:
    """One record of a topic."""

    key: str
    """Key of the record."""
    value: bytes | None
    """Value, or None if the key was deleted."""
    offset: int
    """Offset of the record in the topic."""


@attrs.frozen
class TopicPage:
    """Records of a topic."""

    records: list[TopicRecord]
    """Records in the order of their offsets."""
    epoch: int
    """Epoch of the log to which the offsets belong."""
    next_offset: int
    """Offset at which the next read starts."""
    complete_at: float
    """When the sibling last knew every record, in epoch seconds of the local
    clock."""


@attrs.frozen
class TopicHistoryLost:
    """The sibling no longer has the first requested record."""

    epoch_changed: bool = False
    """Whether the offset belongs to an earlier epoch than the sibling's."""


@attrs.frozen
class TopicUnavailable:
    """The sibling does not follow the topic or cannot read it."""


TopicAnswer = TopicPage | TopicHistoryLost | TopicUnavailable
