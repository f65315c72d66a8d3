"""Data centres that are being evacuated."""

from __future__ import annotations

import typing

from laburnumstep import core

_LOGGER = core.get_logger('targets')

EvacuationListener = typing.Callable[[frozenset[str]], None]
"""Called with the data centres whose evacuation has just begun."""


class Evacuations:
    """Data centres to whose targets nothing may be sent.

    An evacuation is in force from the moment it is known until it is known
    to be withdrawn. Time or a source that is away does not end it.
    """

    def __init__(self) -> None:
        self._names: frozenset[str] = frozenset()
        self._listeners: list[EvacuationListener] = []

    @property
    def names(self) -> frozenset[str]:
        """Names of the data centres."""
        return self._names

    def subscribe(self, listener: EvacuationListener) -> None:
        """Add a listener that is called after each change."""
        self._listeners.append(listener)

    def replace(self, names: frozenset[str]) -> None:
        """Replace the data centres; listeners are called after a change.

        Args:
            names: Names of all data centres that are being evacuated now.
        """
        begun, ended = names - self._names, self._names - names
        self._names = names
        for name in sorted(begun):
            _LOGGER.warning('evacuation begins; data_centre=%s', name)
        for name in sorted(ended):
            _LOGGER.warning('evacuation ends; data_centre=%s', name)
        if begun or ended:
            for listener in self._listeners:
                listener(begun)
