"""The store of gossip entries and the rule by which entries merge."""

from __future__ import annotations

import enum
import heapq
import typing

from laburnumstep import core
from laburnumstep.siblings import _entries

if typing.TYPE_CHECKING:
    import collections.abc

BUCKETS = 256
"""Number of buckets of the digest. With 5,000 entries a bucket has 20, so that
a single difference costs 1 KB of digests and 320 B of summaries."""
MAX_SKEW_SECONDS = 60.0
"""Most by which a stamp may be ahead of this VM's clock, in seconds. An entry
with a later stamp would block all newer entries with its key."""
MAX_LIFETIME_SECONDS = 86400.0
"""Longest lifetime of an entry, in seconds."""
MAX_NAME_LENGTH = 256
"""Longest subject or origin, in characters."""
MAX_DATA_BYTES = 4096
"""Largest opaque value, in bytes."""
MAX_ENTRIES = {
    _entries.EntryKind.VM: 8192,
    _entries.EntryKind.TARGET: 16384,
    _entries.EntryKind.CONFIGURATION: 4096,
    _entries.EntryKind.CRASH: 4096,
    _entries.EntryKind.DEMAND: 16384,
    _entries.EntryKind.LENGTHS: 4096,
    _entries.EntryKind.LIMIT: 4096,
    _entries.EntryKind.PACE: 8192,
}
"""Most entries of each kind. The limits are separate, so that a flood of one
kind cannot displace the reports of leaving targets."""


class MergeResult(enum.Enum):
    """Result of merging an entry."""

    FRESH = 'fresh'
    """The entry is new or newer and has been stored."""
    KNOWN = 'known'
    """The store already has this entry or a newer one."""
    EXPIRED = 'expired'
    """The expiry time of the entry has passed."""
    MALFORMED = 'malformed'
    """The entry exceeds a limit or its value does not fit its kind."""


class GossipStore:
    """Stores the newest entry for each key until it expires.

    Demand entries concern one VM only and are excluded from the digests by
    which siblings compare their stores.

    Args:
        clock: Clock of the expiry times.
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
        """Store an entry if it is valid and newer than the stored one.

        If the limit of its kind is reached, the entry of that kind that
        expires first is removed.
        """
        self._drop_expired()
        now = self._clock.now()
        if not is_well_formed(entry, now):
            return MergeResult.MALFORMED
        if entry.expires_at <= now:
            return MergeResult.EXPIRED
        key_hash = hash_key(entry.key)
        existing = self._entries.get(key_hash)
        if existing is not None and existing.stamp >= entry.stamp:
            return MergeResult.KNOWN
        if existing is not None:
            self._remove(key_hash)
        elif self._counts[entry.kind] >= MAX_ENTRIES[entry.kind]:
            self._remove_first_to_expire(entry.kind)
        self._add(key_hash, entry)
        return MergeResult.FRESH

    def find(self, key: _entries.EntryKey) -> _entries.GossipEntry | None:
        """Return the entry with a key, or None."""
        self._drop_expired()
        return self._entries.get(hash_key(key))

    def find_by_hash(self, key_hash: int) -> _entries.GossipEntry | None:
        """Return the entry with a key hash, or None."""
        self._drop_expired()
        return self._entries.get(key_hash)

    def list_entries(
        self, kind: _entries.EntryKind, subject: str
    ) -> list[_entries.GossipEntry]:
        """Return the entries of every origin about one subject."""
        self._drop_expired()
        return list(self._subjects[kind].get(subject, {}).values())

    def count_subjects(self, kind: _entries.EntryKind) -> int:
        """Return the number of subjects of a kind."""
        return len(self._subjects[kind])

    def list_subjects(self, kind: _entries.EntryKind) -> list[str]:
        """Return the subjects of a kind."""
        self._drop_expired()
        return list(self._subjects[kind])

    def root_digest(self) -> int:
        """Return a digest that is equal for equal sets of entries.

        Demand entries are left out.
        """
        self._drop_expired()
        return core.stable_hash(','.join(map(str, self._digests)))

    def bucket_digests(self) -> list[int]:
        """Return the digest of each bucket, 32 bits each."""
        self._drop_expired()
        return list(self._digests)

    def summarise(self, bucket: int) -> dict[int, int]:
        """Return the stamps in a bucket, by hash of the key."""
        self._drop_expired()
        return dict(self._buckets[bucket])

    def __iter__(self) -> collections.abc.Iterator[_entries.GossipEntry]:
        self._drop_expired()
        return iter(list(self._entries.values()))

    def _add(self, key_hash: int, entry: _entries.GossipEntry) -> None:
        self._entries[key_hash] = entry
        subjects = self._subjects[entry.kind]
        subjects.setdefault(entry.subject, {})[key_hash] = entry
        if entry.kind is not _entries.EntryKind.DEMAND:
            bucket = key_hash % BUCKETS
            self._buckets[bucket][key_hash] = entry.stamp
            self._digests[bucket] ^= _digest_entry(key_hash, entry.stamp)
        self._counts[entry.kind] += 1
        deadlines = self._deadlines[entry.kind]
        deadline = (entry.expires_at, key_hash, entry.stamp)
        heapq.heappush(deadlines, deadline)
        # The deadline of a replaced entry stays in the heap until it passes.
        # The heap is rebuilt when too many of these have accumulated.
        if len(deadlines) > 2 * self._counts[entry.kind] + 64:
            deadlines[:] = [d for d in deadlines if self._is_current(d)]
            heapq.heapify(deadlines)

    def _remove(self, key_hash: int) -> None:
        entry = self._entries.pop(key_hash)
        subjects = self._subjects[entry.kind]
        del subjects[entry.subject][key_hash]
        if not subjects[entry.subject]:
            del subjects[entry.subject]
        if entry.kind is not _entries.EntryKind.DEMAND:
            bucket = key_hash % BUCKETS
            del self._buckets[bucket][key_hash]
            self._digests[bucket] ^= _digest_entry(key_hash, entry.stamp)
        self._counts[entry.kind] -= 1

    def _drop_expired(self) -> None:
        now = self._clock.now()
        for deadlines in self._deadlines.values():
            while deadlines and deadlines[0][0] <= now:
                deadline = heapq.heappop(deadlines)
                if self._is_current(deadline):
                    self._remove(deadline[1])

    def _remove_first_to_expire(self, kind: _entries.EntryKind) -> None:
        while True:
            deadline = heapq.heappop(self._deadlines[kind])
            if self._is_current(deadline):
                self._remove(deadline[1])
                return

    def _is_current(self, deadline: tuple[float, int, int]) -> bool:
        existing = self._entries.get(deadline[1])
        return existing is not None and existing.stamp == deadline[2]


def hash_key(key: _entries.EntryKey) -> int:
    """Return the 64-bit hash that identifies a key between siblings."""
    return core.stable_hash(f'{key.kind.value}|{key.subject}|{key.origin}')


def is_well_formed(entry: _entries.GossipEntry, now: float) -> bool:
    """Return whether an entry is within all limits and fits its kind.

    Args:
        entry: The entry.
        now: Current time, in epoch seconds.
    """
    if not (0 < len(entry.subject) <= MAX_NAME_LENGTH):
        return False
    if not (0 < len(entry.origin) <= MAX_NAME_LENGTH):
        return False
    highest = (now + MAX_SKEW_SECONDS) * 1e6
    if not (0 < entry.stamp <= highest):
        return False
    # This form of the comparison also refuses NaN.
    latest = now + MAX_LIFETIME_SECONDS + MAX_SKEW_SECONDS
    if not (0 < entry.expires_at <= latest):
        return False
    match (entry.kind, entry.value):
        case (_entries.EntryKind.VM, _entries.VMValue() as value):
            is_own = entry.subject == entry.origin
            is_report = value.state is _entries.VMState.UNREACHABLE
            return is_own != is_report and value.observed <= highest
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
            | _entries.EntryKind.LENGTHS
            | _entries.EntryKind.LIMIT
            | _entries.EntryKind.PACE,
            _entries.DataValue(data=data),
        ):
            return len(data) <= MAX_DATA_BYTES
        case _:
            return False


def _digest_entry(key_hash: int, stamp: int) -> int:
    """Return the 32-bit digest of an entry from its key hash and stamp."""
    mixed = (key_hash ^ stamp * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    mixed = (mixed ^ mixed >> 31) * 0xBF58476D1CE4E5B9
    return (mixed ^ mixed >> 27) >> 16 & 0xFFFFFFFF
