"""Publication and reception of gossip entries."""

from __future__ import annotations

import collections
import typing

from laburnumstep import core
from laburnumstep.siblings import _entries
from laburnumstep.siblings import _messages
from laburnumstep.siblings import _reconcile
from laburnumstep.siblings import _stamps
from laburnumstep.siblings import _store

if typing.TYPE_CHECKING:
    import collections.abc

MAX_PENDING_ENTRIES = 4096
"""Most fresh entries that wait to be pushed. When more arrive, the oldest
are dropped from the queue and spread by anti-entropy exchanges only."""
PUSHED_KINDS = frozenset(
    {
        _entries.EntryKind.VM,
        _entries.EntryKind.TARGET,
        _entries.EntryKind.CONFIGURATION,
        _entries.EntryKind.CRASH,
        _entries.EntryKind.LIMIT,
        _entries.EntryKind.PACE,
    }
)
"""Kinds that are pushed at once. Length sketches are large and not urgent;
demand concerns one aggregator and is sent to that VM only."""
_LOG = core.get_logger('siblings')

Listener = typing.Callable[[_entries.GossipEntry], None]


class Gossip:
    """Creates, merges and queues entries; it sends no messages itself.

    Args:
        name: Name of this VM, the origin of its entries.
        clock: Clock of the stamps and expiry times.
        metrics: Counts malformed entries.
    """

    def __init__(
        self, name: str, clock: core.Clock, metrics: core.Metrics
    ) -> None:
        self._name = name
        self._clock = clock
        self._metrics = metrics
        self._store = _store.GossipStore(clock)
        self._stamps = _stamps.StampCounter(clock)
        self._pending: collections.deque[_entries.GossipEntry] = (
            collections.deque(maxlen=MAX_PENDING_ENTRIES)
        )
        self._recent: list[_entries.GossipEntry] = []
        self._listeners: dict[_entries.EntryKind, list[Listener]] = {}

    @property
    def store(self) -> _store.GossipStore:
        """Store of the current entries."""
        return self._store

    @property
    def last_stamp(self) -> int:
        """Highest known stamp of an entry of this VM."""
        return self._stamps.last

    def raise_above(self, stamp: int) -> None:
        """Make the next stamps of this VM exceed a received one."""
        self._stamps.raise_above(stamp)

    def subscribe(self, kind: _entries.EntryKind, listener: Listener) -> None:
        """Call a listener with each fresh entry of a kind."""
        self._listeners.setdefault(kind, []).append(listener)

    def make_entry(
        self,
        kind: _entries.EntryKind,
        subject: str,
        value: _entries.EntryValue,
        expires_at: float,
    ) -> _entries.GossipEntry:
        """Create an entry of this VM without storing it.

        Its lifetime is limited to `MAX_LIFETIME_SECONDS`.
        """
        latest = self._clock.now() + _store.MAX_LIFETIME_SECONDS
        return _entries.GossipEntry(
            kind,
            subject,
            self._name,
            self._stamps.next(),
            value,
            min(expires_at, latest),
        )

    def publish(
        self,
        kind: _entries.EntryKind,
        subject: str,
        value: _entries.EntryValue,
        expires_at: float,
    ) -> _store.MergeResult:
        """Create an entry of this VM, store it and queue it for a push."""
        return self._merge(self.make_entry(kind, subject, value, expires_at))

    def receive_entries(self, entries: list[_entries.GossipEntry]) -> None:
        """Merge entries of a sibling and queue the fresh ones for a push."""
        for entry in entries[: _reconcile.MAX_MESSAGE_ENTRIES]:
            if entry.origin == self._name:
                self._record_own_stamp(entry)
            result = self._merge(entry)
            if result is _store.MergeResult.MALFORMED:
                self.record_malformed(1)
                _LOG.warning(
                    'refused a malformed %s entry of %.64s',
                    entry.kind.value,
                    entry.origin,
                )
        excess = len(entries) - _reconcile.MAX_MESSAGE_ENTRIES
        if excess > 0:
            self.record_malformed(excess)

    def record_malformed(self, count: int) -> None:
        """Count malformed entries."""
        self._metrics.count('siblings.malformed', count)

    def merge_entries(self, entries: list[_entries.GossipEntry]) -> None:
        """Merge entries that this VM created for its own use."""
        for entry in entries:
            self._merge(entry)

    @property
    def has_pending(self) -> bool:
        """Whether entries wait to be pushed."""
        return bool(self._pending)

    def pop_pending(self) -> list[_entries.GossipEntry]:
        """Remove and return the next entries to push.

        At most as many as one message may carry.
        """
        count = min(len(self._pending), _reconcile.MAX_MESSAGE_ENTRIES)
        entries = [self._pending.popleft() for _ in range(count)]
        self._recent += entries
        del self._recent[: -_reconcile.MAX_MESSAGE_ENTRIES]
        return entries

    def pop_recent(self) -> list[_entries.GossipEntry]:
        """Remove and return the entries pushed since the last call."""
        entries, self._recent = self._recent, []
        return entries

    def handle(
        self, message: _messages.SiblingMessage
    ) -> list[_messages.SiblingMessage]:
        """Handle a message of a sibling and return the answers."""
        match message:
            case _messages.Entries(entries):
                self.receive_entries(entries)
                return []
            case _messages.Heartbeat(sequence):
                return [_messages.HeartbeatAck(sequence, self._name)]
            case _:
                return _reconcile.handle_message(self._store, message)

    def _merge(self, entry: _entries.GossipEntry) -> _store.MergeResult:
        result = self._store.merge(entry)
        if result is _store.MergeResult.FRESH:
            if entry.kind in PUSHED_KINDS:
                self._pending.append(entry)
            for listener in self._listeners.get(entry.kind, []):
                listener(entry)
        return result

    def _record_own_stamp(self, entry: _entries.GossipEntry) -> None:
        if _store.is_well_formed(entry, self._clock.now()):
            self._stamps.raise_above(entry.stamp)
