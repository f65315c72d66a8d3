"""Entries that this VM makes, holds and passes on."""

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

MAX_PENDING = 4096
"""Fresh entries that wait to be pushed; anti-entropy carries the others."""
PUSHED_KINDS = frozenset(
    {
        _entries.EntryKind.VM,
        _entries.EntryKind.TARGET,
        _entries.EntryKind.CONFIGURATION,
        _entries.EntryKind.CRASH,
    }
)
"""Kinds that are pushed at once. Length sketches are large and not urgent;
demand concerns one aggregator and is sent to that VM alone."""
_LOG = core.get_logger('siblings')

Listener = typing.Callable[[_entries.GossipEntry], None]


class Gossip:
    """Makes, merges and queues entries; sends nothing itself.

    Args:
        name: Name of this VM, the origin of its entries.
        clock: Gives stamps and ends entries.
        metrics: Counts what becomes of received entries.
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
            collections.deque(maxlen=MAX_PENDING)
        )
        self._recent: list[_entries.GossipEntry] = []
        self._listeners: dict[_entries.EntryKind, list[Listener]] = {}

    @property
    def store(self) -> _store.GossipStore:
        """The entries held."""
        return self._store

    @property
    def last_stamp(self) -> int:
        """Highest stamp of this VM's entries that is known."""
        return self._stamps.last

    def raise_above(self, stamp: int) -> None:
        """Make the next stamps of this VM exceed one seen elsewhere."""
        self._stamps.raise_above(stamp)

    def subscribe(self, kind: _entries.EntryKind, listener: Listener) -> None:
        """Call a listener with each fresh entry of a kind."""
        self._listeners.setdefault(kind, []).append(listener)

    def make(
        self,
        kind: _entries.EntryKind,
        subject: str,
        value: _entries.EntryValue,
        expires_at: float,
    ) -> _entries.GossipEntry:
        """Make an entry of this VM without holding it."""
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
        """Make an entry of this VM, hold it and queue it for a push."""
        return self._take(self.make(kind, subject, value, expires_at))

    def receive_entries(self, entries: list[_entries.GossipEntry]) -> None:
        """Merge entries of a sibling and queue the fresh ones."""
        for entry in entries[: _reconcile.MAX_MESSAGE_ENTRIES]:
            if entry.origin == self._name:
                self._note_own(entry)
            result = self._take(entry)
            if result is _store.MergeResult.MALFORMED:
                self.report_malformed(1)
                _LOG.warning(
                    'malformed %s entry of %.64s refused',
                    entry.kind.value,
                    entry.origin,
                )
        excess = len(entries) - _reconcile.MAX_MESSAGE_ENTRIES
        if excess > 0:
            self.report_malformed(excess)

    def report_malformed(self, count: int) -> None:
        """Count entries that were refused."""
        self._metrics.count('siblings.malformed', count)

    def hold(self, entries: list[_entries.GossipEntry]) -> None:
        """Merge entries that this VM made for itself."""
        for entry in entries:
            self._take(entry)

    @property
    def has_pending(self) -> bool:
        """Whether entries wait to be pushed."""
        return bool(self._pending)

    def take_pending(self) -> list[_entries.GossipEntry]:
        """Return the entries to push next, at most one message of them."""
        count = min(len(self._pending), _reconcile.MAX_MESSAGE_ENTRIES)
        entries = [self._pending.popleft() for _ in range(count)]
        self._recent += entries
        del self._recent[: -_reconcile.MAX_MESSAGE_ENTRIES]
        return entries

    def take_recent(self) -> list[_entries.GossipEntry]:
        """Return the entries pushed since the last call, to push again."""
        entries, self._recent = self._recent, []
        return entries

    def answer(
        self, message: _messages.SiblingMessage
    ) -> list[_messages.SiblingMessage]:
        """Take in a message and return the answers."""
        match message:
            case _messages.Entries(entries):
                self.receive_entries(entries)
                return []
            case _messages.Heartbeat(sequence):
                return [_messages.HeartbeatAck(sequence, self._name)]
            case _:
                return _reconcile.answer(self._store, message)

    def _take(self, entry: _entries.GossipEntry) -> _store.MergeResult:
        result = self._store.merge(entry)
        if result is _store.MergeResult.FRESH:
            if entry.kind in PUSHED_KINDS:
                self._pending.append(entry)
            for listener in self._listeners.get(entry.kind, []):
                listener(entry)
        return result

    def _note_own(self, entry: _entries.GossipEntry) -> None:
        if _store.is_well_formed(entry, self._clock.now()):
            self._stamps.raise_above(entry.stamp)
