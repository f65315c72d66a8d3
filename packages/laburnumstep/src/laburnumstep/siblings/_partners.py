"""Chooses the siblings with which this VM gossips."""

from __future__ import annotations

import random
import typing

from laburnumstep import core

PARTNERS = 16
"""Siblings kept as partners. A random graph of this degree spreads an entry
as fast as a choice among all siblings, and bounds the open connections."""
STRANGER_CHANCE = 1 / 8
"""Share of exchanges with any known address, failed ones included, so that
the parts of a healed partition find each other."""


class Partners:
    """Chooses a fixed random set of siblings, and one or a few of them.

    The set is the siblings with the highest rendezvous scores for this VM.
    A set that grows as siblings are learned would favour those that started
    first, and entries would miss most of the others.

    Args:
        name: Name of this VM.
        randomness: Makes the choices.
    """

    def __init__(self, name: str, randomness: random.Random) -> None:
        self._name = name
        self._randomness = randomness
        self._candidates: list[str] = []
        self._chosen: list[str] = []

    def update(self, candidates: list[str]) -> None:
        """Follow a change of the siblings that have not failed.

        Args:
            candidates: Their addresses; compared by identity.
        """
        if candidates is self._candidates:
            return
        self._candidates = candidates
        self._chosen = sorted(candidates, key=self._score)[-PARTNERS:]

    def _score(self, address: str) -> int:
        return core.stable_hash(f'{self._name}|{address}')

    def choose(
        self, count: int, contacts: typing.Callable[[], list[str]]
    ) -> list[str]:
        """Return siblings for a push.

        Args:
            count: How many.
            contacts: Known addresses, used while there are no partners.
        """
        pool = self._chosen or contacts()
        return self._randomness.sample(pool, min(count, len(pool)))

    def choose_one(
        self, contacts: typing.Callable[[], list[str]]
    ) -> list[str]:
        """Return the sibling for an anti-entropy exchange, if any."""
        if self._randomness.random() < STRANGER_CHANCE:
            strangers = contacts()
            return [self._randomness.choice(strangers)] if strangers else []
        return self.choose(1, contacts)
