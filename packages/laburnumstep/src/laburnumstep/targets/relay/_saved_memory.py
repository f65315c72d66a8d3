"""Memory of a run that was stopped while the next engine is late with it."""

from __future__ import annotations

import typing

from laburnumstep.targets.relay import _copies
from laburnumstep.targets.relay import _moves

if typing.TYPE_CHECKING:
    import anyio.abc

    from laburnumstep import core


class SavedMemory(_copies.CopyHolder):
    """Has an engine stop a run and send its memory to a third engine.

    The run goes on from there if the next engine never streams it. Without
    it, an engine that takes a request and hangs would end the stream.

    Args:
        mover: Moves the run.
    """

    def __init__(self, mover: _moves.RunMover) -> None:
        super().__init__()
        self._mover = mover
        self._is_wanted = False

    def start(
        self,
        tasks: anyio.abc.TaskGroup,
        source: core.Target,
        refused: frozenset[str],
        tokens: int,
        record_no_stop: typing.Callable[[], None],
    ) -> None:
        """Order the engine to stop the run and to send its memory.

        Args:
            tasks: Runs the order.
            source: Engine that runs it.
            refused: Engines that do not receive the memory.
            tokens: Length of its answer so far, in tokens.
            record_no_stop: Called if the order has stopped no run.
        """
        self.release()
        self._is_wanted = True
        tasks.start_soon(self._move, source, refused, tokens, record_no_stop)

    def release(self) -> None:
        """Release the memory, also if it has not arrived yet."""
        self._is_wanted = False
        super().release()

    async def _move(
        self,
        source: core.Target,
        refused: frozenset[str],
        tokens: int,
        record_no_stop: typing.Callable[[], None],
    ) -> None:
        outcome = await self._mover.move(
            source, refused, tokens, 'the next engine is late'
        )
        match outcome:
            case _moves.Movable(placement=placement, copy=reference):
                if placement is None:
                    return
                if self._is_wanted and not self.has_copy:
                    self._prepared = _copies.PreparedCopy(placement, reference)
                else:
                    placement.release(complete=False)
            case _moves.Kept() | _moves.Missing():
                record_no_stop()
            case _moves.PerhapsStopped():
                pass
            case _:
                typing.assert_never(outcome)
