"""The epoch of the log, as one VM knows it."""

from __future__ import annotations

import typing

from laburnumstep import core

Listener = typing.Callable[[], None]

_LOGGER = core.get_logger('log')


class EpochTracker:
    """Remembers the highest epoch of the log that this VM has met."""

    def __init__(self) -> None:
        self._epoch: int | None = None
        self._listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> None:
        """Call a listener each time that the log has come back older."""
        self._listeners.append(listener)

    def observe(self, epoch: int, source: str) -> bool:
        """Record the epoch of an answer.

        Args:
            epoch: The epoch.
            source: Who answered, for the log.

        Returns:
            Whether the answer is current. One of an earlier epoch describes
            a log that no longer exists.
        """
        known = self._epoch
        if known is not None and epoch < known:
            _LOGGER.warning(
                'answer of an earlier epoch ignored; source=%s epoch=%d'
                ' known=%d',
                source,
                epoch,
                known,
            )
            return False
        self._epoch = epoch
        if known is not None and epoch > known:
            _LOGGER.warning(
                'log came back older; source=%s epoch=%d before=%d',
                source,
                epoch,
                known,
            )
            for listener in self._listeners:
                listener()
        return True
