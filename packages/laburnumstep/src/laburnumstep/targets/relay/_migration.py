"""Copies of one stream's run that are made while its engine leaves."""

from __future__ import annotations

import typing

from laburnumstep.targets.relay import _copies

if typing.TYPE_CHECKING:
    import anyio.abc

    from laburnumstep.targets.relay import _placements


class Migration(_copies.CopyHolder):
    """Has the run of one stream copied and keeps the copy until it is used.

    Args:
        copier: Copies the run to another engine.
        on_ready: Called when a copy is ready.
    """

    def __init__(
        self,
        copier: _copies.RunCopier,
        on_ready: typing.Callable[[], None],
    ) -> None:
        super().__init__()
        self._copier = copier
        self._on_ready = on_ready
        self._is_copying = False
        self._refused: frozenset[str] = frozenset()

    def start(
        self,
        tasks: anyio.abc.TaskGroup,
        placement: _placements.RelayPlacement,
        is_current: _copies.IsRunning,
        get_tokens: _copies.GetTokens,
    ) -> None:
        """Copy the run in the background, unless a copy is in progress.

        Args:
            tasks: Runs the copy.
            placement: Placement of the run.
            is_current: Returns whether the run is still at that placement.
            get_tokens: Returns the length of its answer so far, in tokens.
        """
        if not self._is_copying:
            self._is_copying = True
            tasks.start_soon(self._copy, placement, is_current, get_tokens)

    def record_refusal(self, destination: str) -> None:
        """Copy to another engine next time; this one did not go on."""
        self._refused |= {destination}

    async def _copy(
        self,
        placement: _placements.RelayPlacement,
        is_current: _copies.IsRunning,
        get_tokens: _copies.GetTokens,
    ) -> None:
        try:
            prepared = await self._copier.copy(
                placement, self._refused, is_current, get_tokens
            )
        finally:
            self._is_copying = False
        if prepared is None:
            return
        if is_current():
            self._prepared = prepared
            self._on_ready()
        else:
            prepared.placement.release(complete=False)
