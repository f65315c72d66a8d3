"""Gossip entries held by this VM, and the rule that merges them."""

from __future__ import annotations

import enum
import heapq
import typing

from laburnumstep import core
from laburnumstep.siblings import _entries

if typing.TYPE_CHECKING:
    import collections.abc

BUCKETS = 256
"""Buckets of the digest. With 5,000 entries a bucket holds 20, so that a
single difference costs 1 KB of digests and 320 B of summaries."""
MAX_SKEW_SECONDS = 60.0
"""Furthest a stamp may lie ahead of this VM's clock, in seconds. A stamp
beyond it would block every later entry with the same key."""
MAX_LIFETIME_SECONDS = 86400.0
"""Longest time to expiry, in seconds."""
MAX_NAME_LENGTH = 256
"""Longest subject or origin, in characters."""
MAX_DATA_BYTES = 4096
"""Largest encoded value, in bytes."""
MAX_ENTRIES = {
    _entries.EntryKind.VM: 8192,
    _entries.EntryKind.TARGET: 16384,
    _entries.EntryKind.CONFIGURATION: 4096,
    _entries.EntryKind.CRASH: 4096,
    _entries.EntryKind.DEMAND: 16384,
    _entries.EntryKind.LENGTHS: 4096,
}
"""Bound for each kind, so that a flood of one kind cannot displace leave
notices."""


class MergeResult(enum.Enum):
    """What became of an entry."""

    FRESH = 'fresh'
    """It is new or newer and is held now."""
    KNOWN = 'known'
    """The same or a newer one is held already."""
    EXPIRED = 'expired'
    """Its deadline has passed."""
    MALFORMED = 'malformed'
    """It breaks a bound or its value is of another kind."""


class GossipStore:
    """Holds the newest entry for each key until it expires.

    Demand concerns one VM, so it is no part of the digests by which
    siblings compare their stores.

    Args:
        clock: Tells which entries have expired.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._entries: dict[int, _entries.GossipEntry] = {}
        self._subjects: dict[
            _entries.EntryKind, dict[str, dict[int, _entries.GossipEntry]]
        ] = {kind: {} for kind in _entries.EntryKind}
        self._buckets: list[dict[int, int]] = [{} for _ in range(BUCKETS)]
        self._digests = [0] * BUCKETS
        self._counts = dict.fromkeys(_entries.EntryKind, 0)
        self._deadlines: dict[
            _entries.EntryKind, list[tuple[float, int, int]]
        ] = {kind: [] for kind in _entries.EntryKind}

    def __len__(self) -> int:
        self._drop_expired()
        return len(self._entries)

    def merge(self, entry: _entries.GossipEntry) -> MergeResult:
        """Hold an entry if it is valid and newer than what is held."""
        self._drop_expired()
        now = self._clock.now()
        if not is_well_formed(entry, now):
            return MergeResult.MALFORMED
        if entry.expires_at <= now:
            return MergeResult.EXPIRED
        identity = hash_key(entry.key)
        held = self._entries.get(identity)
        if held is not None and held.stamp >= entry.stamp:
            return MergeResult.KNOWN
        if held is not None:
            self._remove(identity)
        elif self._counts[entry.kind] >= MAX_ENTRIES[entry.kind]:
            self._remove_first_to_expire(entry.kind)
        self._add(identity, entry)
        return MergeResult.FRESH

    def find(self, key: _entries.EntryKey) -> _entries.GossipEntry | None:
        """Return the entry with a key, or None."""
        self._drop_expired()
        return self._entries.get(hash_key(key))

    def find_hash(self, identity: int) -> _entries.GossipEntry | None:
        """Return the entry whose key has a hash, or None."""
        self._drop_expired()
        return self._entries.get(identity)

    def about(
        self, kind: _entries.EntryKind, subject: str
    ) -> list[_entries.GossipEntry]:
        """Return the entries of every origin about one subject."""
        self._drop_expired()
        return list(self._subjects[kind].get(subject, {}).values())

    def count_subjects(self, kind: _entries.EntryKind) -> int:
        """Return how many subjects of a kind there are."""
        return len(self._subjects[kind])

    def subjects(self, kind: _entries.EntryKind) -> list[str]:
        """Return the subjects of a kind."""
        self._drop_expired()
        return list(self._subjects[kind])

    def root_digest(self) -> int:
        """Return a digest that is equal for equal sets of entries."""
        self._drop_expired()
        return core.stable_hash(','.join(map(str, self._digests)))

    def bucket_digests(self) -> list[int]:
        """Return the digest of each bucket, 32 bits each."""
        self._drop_expired()
        return list(self._digests)

    def summarise(self, bucket: int) -> dict[int, int]:
        """Return stamps by hash of the key, for one bucket."""
        self._drop_expired()
        return dict(self._buckets[bucket])

    def __iter__(self) -> collections.abc.Iterator[_entries.GossipEntry]:
        self._drop_expired()
        return iter(list(self._entries.values()))

    def _add(self, identity: int, entry: _entries.GossipEntry) -> None:
        self._entries[identity] = entry
        subjects = self._subjects[entry.kind]
        subjects.setdefault(entry.subject, {})[identity] = entry
        if entry.kind is not _entries.EntryKind.DEMAND:
            bucket = identity % BUCKETS
            self._buckets[bucket][identity] = entry.stamp
            self._digests[bucket] ^= _mix(identity, entry.stamp)
        self._counts[entry.kind] += 1
        deadlines = self._deadlines[entry.kind]
        deadline = (entry.expires_at, identity, entry.stamp)
        heapq.heappush(deadlines, deadline)
        # Replaced entries leave their deadlines behind until these pass.
        if len(deadlines) > 2 * self._counts[entry.kind] + 64:
            deadlines[:] = [d for d in deadlines if self._is_held(d)]
            heapq.heapify(deadlines)

    def _remove(self, identity: int) -> None:
        entry = self._entries.pop(identity)
        subjects = self._subjects[entry.kind]
        del subjects[entry.subject][identity]
        if not subjects[entry.subject]:
            del subjects[entry.subject]
        if entry.kind is not _entries.EntryKind.DEMAND:
            bucket = identity % BUCKETS
            del self._buckets[bucket][identity]
            self._digests[bucket] ^= _mix(identity, entry.stamp)
        self._counts[entry.kind] -= 1

    def _drop_expired(self) -> None:
        now = self._clock.now()
        for deadlines in self._deadlines.values():
            while deadlines and deadlines[0][0] <= now:
                deadline = heapq.heappop(deadlines)
                if self._is_held(deadline):
                    self._remove(deadline[1])

    def _remove_first_to_expire(self, kind: _entries.EntryKind) -> None:
        while True:
            deadline = heapq.heappop(self._deadlines[kind])
            if self._is_held(deadline):
                self._remove(deadline[1])
                return

    def _is_held(self, deadline: tuple[float, int, int]) -> bool:
        held = self._entries.get(deadline[1])
        return held is not None and held.stamp == deadline[2]


def hash_key(key: _entries.EntryKey) -> int:
    """Return the 64-bit hash by which siblings name a key."""
    return core.stable_hash(f'{key.kind.value}|{key.subject}|{key.origin}')


def is_well_formed(entry: _entries.GossipEntry, now: float) -> bool:
    """Tell whether an entry keeps to the bounds at a time."""
    if not (0 < len(entry.subject) <= MAX_NAME_LENGTH):
        return False
    if not (0 < len(entry.origin) <= MAX_NAME_LENGTH):
        return False
    highest = (now + MAX_SKEW_SECONDS) * 1e6
    if not (0 < entry.stamp <= highest):
        return False
    # Written so that a NaN is refused as well.
    latest = now + MAX_LIFETIME_SECONDS + MAX_SKEW_SECONDS
    if not (0 < entry.expires_at <= latest):
        return False
    match (entry.kind, entry.value):
        case (_entries.EntryKind.VM, _entries.VMValue() as value):
            own = entry.subject == entry.origin
            told = value.state is _entries.VMState.UNREACHABLE
            return own != told and value.observed <= highest
        case (_entries.EntryKind.TARGET, _entries.TargetValue()):
            return True
        case (
            _entries.EntryKind.CONFIGURATION,
            _entries.ConfigurationValue(version=version),
        ):
            return version > 0
        case (
            _entries.EntryKind.CRASH
            | _entries.EntryKind.DEMAND
            | _entries.EntryKind.LENGTHS,
            _entries.DataValue(data=data),
        ):
            return len(data) <= MAX_DATA_BYTES
        case _:
            return False


def _mix(identity: int, stamp: int) -> int:
    """Return 32 bits that depend on a key's hash and its stamp."""
    mixed = (identity ^ stamp * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    mixed = (mixed ^ mixed >> 31) * 0xBF58476D1CE4E5B9
    return (mixed ^ mixed >> 27) >> 16 & 0xFFFFFFFF
