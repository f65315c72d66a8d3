"""Decides what to answer in an anti-entropy exchange."""

from __future__ import annotations

import typing

from laburnumstep.siblings import _messages
from laburnumstep.siblings import _store

MAX_MESSAGE_ENTRIES = 128
"""Most entries in one message. With entries of about 80 B a message stays
near 10 KB; the next exchange carries what is left."""
MAX_MESSAGE_BUCKETS = 64
"""Most buckets summarised in one message, for the same reason."""


def answer_root(
    store: _store.GossipStore, message: _messages.RootDigest
) -> list[_messages.SiblingMessage]:
    """Answer with the bucket digests where the roots differ."""
    if message.digest == store.root_digest():
        return []
    return [_messages.BucketDigests(store.bucket_digests())]


def answer_buckets(
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


def answer_summaries(
    store: _store.GossipStore, message: _messages.BucketSummaries
) -> list[_messages.SiblingMessage]:
    """Hand over what the sibling lacks and ask for what it has newer."""
    own: dict[int, int] = {}
    for bucket in message.buckets:
        if 0 <= bucket < _store.BUCKETS:
            own.update(store.summarise(bucket))
    newer = [k for k, s in own.items() if s > message.stamps.get(k, 0)]
    older = [k for k, s in message.stamps.items() if s > own.get(k, 0)]
    answers: list[_messages.SiblingMessage] = []
    if newer:
        answers.append(hand_over(store, newer))
    if older:
        answers.append(_messages.WantedKeys(older[:MAX_MESSAGE_ENTRIES]))
    return answers


def hand_over(
    store: _store.GossipStore, keys: typing.Iterable[int]
) -> _messages.Entries:
    """Return the entries whose keys have one of the hashes."""
    found = (store.find_hash(key) for key in keys)
    entries = [entry for entry in found if entry is not None]
    return _messages.Entries(entries[:MAX_MESSAGE_ENTRIES])


def start(store: _store.GossipStore) -> _messages.RootDigest:
    """Return the message that begins an exchange."""
    return _messages.RootDigest(store.root_digest())


def answer(
    store: _store.GossipStore, message: _messages.SiblingMessage
) -> list[_messages.SiblingMessage]:
    """Take in a message of an exchange and return the answers."""
    match message:
        case _messages.RootDigest():
            return answer_root(store, message)
        case _messages.BucketDigests():
            return answer_buckets(store, message)
        case _messages.BucketSummaries():
            return answer_summaries(store, message)
        case _messages.WantedKeys(keys):
            return [hand_over(store, keys)]
        case _messages.Entries(entries):
            for entry in entries:
                store.merge(entry)
            return []
        case _messages.Heartbeat() | _messages.HeartbeatAck():
            return []
        case _:
            typing.assert_never(message)
