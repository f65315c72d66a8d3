"""Index of the keys of a partition and of the claims that hold them."""

from __future__ import annotations

import heapq
import itertools

import attrs

from laburnumstep import core
from laburnumstep.log import _claims_answers
from laburnumstep.log import _claims_records


@attrs.define
class _Entry:
    """State of one key."""

    holder: _claims_records.ClaimRecord | None = None
    """The claim that holds the key, or None."""
    closed_nonces: set[str] = attrs.field(factory=set)
    """Nonces of refused and released claims. A repeated append of such a
    claim can arrive late and must not be granted the key."""
    settled: _claims_answers.Settled | None = None
    """The recorded answer of the operation, or None."""


class ClaimIndex:
    """State of the keys of one partition, built from records in log order.

    A claim is granted if no other claim holds the key at its offset in the
    log; the decision is final. All readers that have applied the records
    of the key's validity period make the same decision. Times are those of
    the log, so clock differences between VMs have no effect.
    """

    def __init__(self) -> None:
        self._restored_at = 0.0
        self._entries: dict[core.RequestKey, _Entry] = {}
        self._sequence = itertools.count()
        self._expiries: list[tuple[float, int, core.RequestKey]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def record_restore(self, restored_at: float) -> None:
        """Record that the log has come back from an older copy.

        Claims from before may be lost, so keys of that time are not granted.
        What is known of them stays true.

        Args:
            restored_at: When it came back, by its clock in epoch seconds; 0
                if it never has.
        """
        self._restored_at = restored_at

    def apply(
        self, record: _claims_records.ClaimsRecord, appended_at: float
    ) -> _claims_answers.ClaimAnswer | None:
        """Apply the next record of the stream.

        Args:
            record: The record.
            appended_at: Time of the append by the log's clock, in epoch
                seconds.

        Returns:
            The answer to a claim, None for other records.
        """
        self._remove_expired(appended_at)
        match record:
            case _claims_records.ClaimRecord():
                return self._apply_claim(record, appended_at)
            case _claims_records.ReleaseRecord():
                self._apply_release(record, appended_at)
            case _claims_records.SettleRecord():
                self._apply_settlement(record)
        return None

    def find(
        self, key: core.RequestKey, workspace: str
    ) -> _claims_answers.Held | _claims_answers.Settled | None:
        """Return the state of a workspace's key, or None if unclaimed."""
        entry = self._entries.get(key)
        if entry is None or entry.holder is None:
            return None
        if entry.holder.workspace != workspace:
            return None
        return _build_answer(entry, entry.holder)

    def _apply_claim(
        self, record: _claims_records.ClaimRecord, appended_at: float
    ) -> _claims_answers.ClaimAnswer:
        key = record.key
        if appended_at > key.expires_at:
            return _claims_answers.Expired()
        if appended_at < key.issued_at - core.KEY_SKEW_SECONDS:
            valid_at = key.issued_at - core.KEY_SKEW_SECONDS
            return _claims_answers.NotValidYet(valid_at)
        entry = self._get_entry(key)
        holder = entry.holder
        if holder is None and self._may_be_lost(key):
            return _claims_answers.Expired()
        if holder is None and record.nonce not in entry.closed_nonces:
            entry.holder = record
            return _claims_answers.Granted(key, record.nonce)
        if holder is None:
            # This is a repeated append of a claim that has been released.
            # No caller waits for its answer.
            return _claims_answers.Held(key, record.nonce, record.vm)
        if holder.nonce == record.nonce:
            return _claims_answers.Granted(key, record.nonce)
        entry.closed_nonces.add(record.nonce)
        if not _is_same_request(holder, record):
            return _claims_answers.Taken()
        return _build_answer(entry, holder)

    def _may_be_lost(self, key: core.RequestKey) -> bool:
        """Return whether a claim of a key may be among the lost records."""
        if not self._restored_at:
            return False
        return key.issued_at < self._restored_at + core.KEY_SKEW_SECONDS

    def _apply_release(
        self, record: _claims_records.ReleaseRecord, appended_at: float
    ) -> None:
        earliest = record.key.issued_at - core.KEY_SKEW_SECONDS
        if not earliest <= appended_at <= record.key.expires_at:
            return
        entry = self._get_entry(record.key)
        if entry.settled is not None:
            return
        entry.closed_nonces.add(record.nonce)
        if entry.holder is not None and entry.holder.nonce == record.nonce:
            entry.holder = None

    def _apply_settlement(self, record: _claims_records.SettleRecord) -> None:
        entry = self._entries.get(record.key)
        if entry is None or entry.holder is None or entry.settled is not None:
            return
        if entry.holder.nonce == record.nonce:
            entry.settled = _claims_answers.Settled(
                record.status, record.result
            )

    def _get_entry(self, key: core.RequestKey) -> _Entry:
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = _Entry()
            expiry = (key.expires_at, next(self._sequence), key)
            heapq.heappush(self._expiries, expiry)
        return entry

    def _remove_expired(self, log_time: float) -> None:
        """Remove expired keys, which can no longer be claimed."""
        while self._expiries and self._expiries[0][0] < log_time:
            del self._entries[heapq.heappop(self._expiries)[2]]


def _build_answer(
    entry: _Entry, holder: _claims_records.ClaimRecord
) -> _claims_answers.Held | _claims_answers.Settled:
    if entry.settled is not None:
        return entry.settled
    return _claims_answers.Held(holder.key, holder.nonce, holder.vm)


def _is_same_request(
    holder: _claims_records.ClaimRecord, record: _claims_records.ClaimRecord
) -> bool:
    if holder.workspace != record.workspace:
        return False
    return holder.request == record.request
