"""Memory of a run that was stopped while the next engine is late with it."""

from __future__ import annotations

import typing

from laburnumstep.targets.relay import _copies
from laburnumstep.targets.relay import _moves

if typing.TYPE_CHECKING:
    import anyio.abc

    from laburnumstep import core


class SavedMemory:
    """Has an engine stop a run and send its memory to a third engine.

    The run goes on from there if the next engine never streams it. Without
    it, an engine that takes a request and hangs would end the stream.

    Args:
        mover: Moves the run.
    """

    def __init__(self, mover: _moves.RunMover) -> None:
        self._mover = mover
        self._is_wanted = False
        self._copy: _copies.PreparedCopy | None = None

    @property
    def is_there(self) -> bool:
        """Whether the run can go on from its memory."""
        return self._copy is not None

    def start(
        self,
        tasks: anyio.abc.TaskGroup,
        source: core.Target,
        refused: frozenset[str],
        tokens: int,
        record_kept: typing.Callable[[], None],
    ) -> None:
        """Order the engine to stop the run and to send its memory.

        Args:
            tasks: Runs the order.
            source: Engine that runs it.
            refused: Engines that do not receive the memory.
            tokens: Length of its answer so far, in tokens.
            record_kept: Called if the engine goes on with the run.
        """
        self.release()
        self._is_wanted = True
        tasks.start_soon(self._move, source, refused, tokens, record_kept)

    def take(self) -> _copies.PreparedCopy | None:
        """Return the memory, which the receiver releases or uses."""
        copy, self._copy = self._copy, None
        return copy

    def release(self) -> None:
        """Release the capacity reserved for the memory."""
        self._is_wanted = False
        copy = self.take()
        if copy is not None:
            copy.placement.release(complete=False)

    async def _move(
        self,
        source: core.Target,
        refused: frozenset[str],
        tokens: int,
        record_kept: typing.Callable[[], None],
    ) -> None:
        outcome = await self._mover.move(
            source, refused, tokens, 'the next engine is late'
        )
        match outcome:
            case _moves.Movable(placement=placement, copy=reference):
                if placement is None:
                    return
                if self._is_wanted and self._copy is None:
                    self._copy = _copies.PreparedCopy(placement, reference)
                else:
                    placement.release(complete=False)
            case _moves.Kept() | _moves.Missing():
                record_kept()
            case _moves.PerhapsStopped():
                pass
            case _:
                typing.assert_never(outcome)
