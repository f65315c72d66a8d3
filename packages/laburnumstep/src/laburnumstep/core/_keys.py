"""Idempotency keys of requests, and hashing of keys and names."""

from __future__ import annotations

import functools
import hashlib
import re
import secrets

import attrs

from laburnumstep.core import _errors

KEY_VALID_SECONDS = 600.0
"""How long after its issue a key can be claimed, in seconds."""
KEY_SKEW_SECONDS = 60.0
"""Largest accepted lead of an issue time over the log's clock, in seconds."""
_KEY_PATTERN = re.compile(r'([0-9]{10,16})-([0-9a-z]{8,64})')
_NONCE_BYTES = 8


@attrs.frozen
class RequestKey:
    """A caller's idempotency key, which carries its time of issue."""

    issued_at: float
    """Time of issue, in epoch seconds."""
    nonce: str
    """Random part, 8 to 64 of [0-9a-z]."""

    @classmethod
    def new(cls, now: float) -> RequestKey:
        """Return a new key that is issued at a time in epoch seconds."""
        return cls(round(now * 1000) / 1000, secrets.token_hex(_NONCE_BYTES))

    @classmethod
    def parse(cls, text: str) -> RequestKey:
        """Parse the text form of a key.

        Raises:
            CodedError: `bad_request` if the text is not a key.
        """
        match = _KEY_PATTERN.fullmatch(text)
        if match is None:
            raise _errors.CodedError(
                _errors.ErrorCode.BAD_REQUEST,
                'the idempotency key must be <epoch milliseconds>-<nonce>',
            )
        return cls(int(match[1]) / 1000, match[2])

    @property
    def expires_at(self) -> float:
        """Time after which the key cannot be claimed, in epoch seconds."""
        return self.issued_at + KEY_VALID_SECONDS

    def partition(self, count: int) -> int:
        """Return the index of the key's partition among `count`."""
        return stable_hash(str(self)) % count

    def __str__(self) -> str:
        return f'{round(self.issued_at * 1000)}-{self.nonce}'


@functools.lru_cache(maxsize=65536)
def stable_hash(text: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def rank_by_rendezvous(subject: str, names: list[str]) -> list[str]:
    """Return names by their rendezvous hash for a subject, highest first."""
    return sorted(
        names, key=lambda name: stable_hash(f'{subject}|{name}'), reverse=True
    )


def choose_by_rendezvous(subject: str, names: list[str]) -> str | None:
    """Return the name with the highest rendezvous hash for a subject.

    All processes that use the same names choose the same one. Adding or
    removing a name reassigns only the subjects that belong to that name.

    Returns:
        The chosen name, or None if there are no names.
    """
    return max(
        names, key=lambda name: stable_hash(f'{subject}|{name}'), default=None
    )
