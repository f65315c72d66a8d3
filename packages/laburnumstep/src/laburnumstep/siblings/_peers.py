"""The peer set: the siblings with which this VM gossips."""

from __future__ import annotations

import random
import typing

from laburnumstep import core

PEER_SET_SIZE = 16
"""Siblings in the peer set. A random graph of this degree spreads an entry
as fast as a choice among all siblings, and bounds the open connections."""
ANY_ADDRESS_PROBABILITY = 1 / 8
"""Probability that an exchange goes to any known address, failed VMs included,
in place of the peer set. Without it the sides of a network partition would
not find each other once it has healed."""


class PeerSet:
    """Random but stable set of siblings, and random choices from it.

    The set has the siblings with the highest rendezvous scores for this VM.
    A set of the siblings discovered first would favour the VMs that started
    early, and entries would not reach most of the others.

    Args:
        name: Name of this VM.
        randomness: Source of the random choices.
    """

    def __init__(self, name: str, randomness: random.Random) -> None:
        self._name = name
        self._randomness = randomness
        self._candidates: list[str] = []
        self._chosen: list[str] = []

    def update(self, candidates: list[str]) -> None:
        """Recompute the peer set if the candidates have changed.

        Args:
            candidates: Addresses of the siblings that have not failed. A
                list counts as changed if it is another object.
        """
        if candidates is self._candidates:
            return
        self._candidates = candidates
        self._chosen = sorted(candidates, key=self._score)[-PEER_SET_SIZE:]

    def _score(self, address: str) -> int:
        return core.stable_hash(f'{self._name}|{address}')

    def choose(
        self, count: int, list_addresses: typing.Callable[[], list[str]]
    ) -> list[str]:
        """Return the addresses of random siblings of the peer set.

        Args:
            count: Largest number of addresses.
            list_addresses: Returns all known addresses, which are used while
                the peer set is empty.
        """
        pool = self._chosen or list_addresses()
        return self._randomness.sample(pool, min(count, len(pool)))

    def choose_exchange_peer(
        self, list_addresses: typing.Callable[[], list[str]]
    ) -> list[str]:
        """Return the address for an anti-entropy exchange, if any.

        Args:
            list_addresses: Returns all known addresses.
        """
        if self._randomness.random() < ANY_ADDRESS_PROBABILITY:
            addresses = list_addresses()
            return [self._randomness.choice(addresses)] if addresses else []
        return self.choose(1, list_addresses)
