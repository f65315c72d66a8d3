"""Messages and answers of an anti-entropy exchange.

The two siblings compare a digest of their whole stores, then the digests of
buckets, then the stamps of the entries in the buckets that differ.
"""

from __future__ import annotations

import typing

from laburnumstep.siblings import _messages
from laburnumstep.siblings import _store

MAX_MESSAGE_ENTRIES = 128
"""Most entries in one message. With entries of about 80 B a message stays
near 10 KB; later exchanges carry the remaining entries."""
MAX_MESSAGE_BUCKETS = 64
"""Most buckets summarised in one message; bounds its size as well."""


def handle_root_digest(
    store: _store.GossipStore, message: _messages.RootDigest
) -> list[_messages.SiblingMessage]:
    """Answer with the bucket digests if the root digests differ."""
    if message.digest == store.root_digest():
        return []
    return [_messages.BucketDigests(store.bucket_digests())]


def handle_bucket_digests(
    store: _store.GossipStore, message: _messages.BucketDigests
) -> list[_messages.SiblingMessage]:
    """Answer with the summaries of the buckets that differ."""
    own = store.bucket_digests()
    if len(message.digests) != len(own):
        return []
    differing = [
        bucket
        for bucket, digest in enumerate(own)
        if digest != message.digests[bucket]
    ][:MAX_MESSAGE_BUCKETS]
    if not differing:
        return []
    stamps: dict[int, int] = {}
    for bucket in differing:
        stamps.update(store.summarise(bucket))
    return [_messages.BucketSummaries(differing, stamps)]


def handle_bucket_summaries(
    store: _store.GossipStore, message: _messages.BucketSummaries
) -> list[_messages.SiblingMessage]:
    """Answer with the newer entries and request the older ones.

    Entries that only one of the two stores has count as newer there.
    """
    own: dict[int, int] = {}
    for bucket in message.buckets:
        if 0 <= bucket < _store.BUCKETS:
            own.update(store.summarise(bucket))
    newer = [k for k, s in own.items() if s > message.stamps.get(k, 0)]
    older = [k for k, s in message.stamps.items() if s > own.get(k, 0)]
    answers: list[_messages.SiblingMessage] = []
    if newer:
        answers.append(build_entries(store, newer))
    if older:
        answers.append(_messages.WantedKeys(older[:MAX_MESSAGE_ENTRIES]))
    return answers


def build_entries(
    store: _store.GossipStore, keys: typing.Iterable[int]
) -> _messages.Entries:
    """Return a message with the entries of the given key hashes."""
    found = (store.find_by_hash(key) for key in keys)
    entries = [entry for entry in found if entry is not None]
    return _messages.Entries(entries[:MAX_MESSAGE_ENTRIES])


def begin_exchange(store: _store.GossipStore) -> _messages.RootDigest:
    """Return the message that begins an exchange.

    Args:
        store: Entries of this VM.
    """
    return _messages.RootDigest(store.root_digest())


def handle_message(
    store: _store.GossipStore, message: _messages.SiblingMessage
) -> list[_messages.SiblingMessage]:
    """Handle a message of an exchange and return the answers."""
    match message:
        case _messages.RootDigest():
            return handle_root_digest(store, message)
        case _messages.BucketDigests():
            return handle_bucket_digests(store, message)
        case _messages.BucketSummaries():
            return handle_bucket_summaries(store, message)
        case _messages.WantedKeys(keys):
            return [build_entries(store, keys)]
        case _messages.Entries(entries):
            for entry in entries:
                store.merge(entry)
            return []
        case (
            _messages.Heartbeat()
            | _messages.HeartbeatAck()
            | _messages.EngineLoads()
            | _messages.PermitAsk()
            | _messages.PermitReply()
        ):
            return []
        case _:
            typing.assert_never(message)
