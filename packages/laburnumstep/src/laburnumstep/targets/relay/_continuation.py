"""Continues the run of one stream from a copy, or starts it anew."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep.targets.relay import _calls
from laburnumstep.targets.relay import _ports

if typing.TYPE_CHECKING:
    from laburnumstep.targets.relay import _attempts
    from laburnumstep.targets.relay import _copies
    from laburnumstep.targets.relay import _delivery
    from laburnumstep.targets.relay import _migration
    from laburnumstep.targets.relay import _placements
    from laburnumstep.targets.relay import _saved_memory

_LOGGER = core.get_logger('relay')

Dispatch = typing.Callable[
    ['_placements.RelayPlacement', _ports.Start],
    typing.Awaitable[_ports.Reply],
]


class Continuation:
    """Finds the engine that takes over the run of one stream.

    Args:
        request: The request.
        placer: Places the request on targets.
        port: Names the copies that engines hold.
        attempts: Attempts of the stream.
        delivery: The part of the stream that its caller has received.
        migration: Copies that are made while its engine leaves.
        saved: Memory of the run from before the present engine.
        dispatch: Sends an attempt and switches to its stream, if any.
    """

    def __init__(
        self,
        request: _ports.RelayRequest,
        placer: _placements.RelayPlacer,
        port: _ports.TargetPort,
        attempts: _attempts.StreamAttempts,
        delivery: _delivery.Delivery,
        migration: _migration.Migration,
        saved: _saved_memory.SavedMemory,
        dispatch: Dispatch,
    ) -> None:
        self._request = request
        self._placer = placer
        self._port = port
        self._attempts = attempts
        self._delivery = delivery
        self._migration = migration
        self._saved = saved
        self._dispatch = dispatch
        self._backup: core.EngineTarget | None = None
        self._not_continued: frozenset[str] = frozenset()

    @property
    def not_continued(self) -> frozenset[str]:
        """Engines that have not continued the run from a copy."""
        return self._not_continued

    def set_backup(self, backup: core.EngineTarget | None) -> None:
        """Set the engine that holds a growing copy of the run, if any."""
        self._backup = backup

    @property
    def has_copy(self) -> bool:
        """Whether an engine holds a copy from which the run can go on."""
        return (
            self._migration.has_copy
            or self._saved.has_copy
            or self._find_backup() is not None
        )

    @property
    def may_resume(self) -> bool:
        """Whether the run may be started anew on another engine."""
        repeatable = _calls.is_repeatable(self._request.route.kind)
        return repeatable and self._attempts.may_start

    async def continue_from_prepared(self, reason: str) -> bool:
        """Continue the run with the capacity reserved for its copy."""
        prepared = self._migration.take()
        if prepared is None:
            return False
        if await self._continue_from_copy(prepared, reason):
            return True
        self._migration.record_refusal(prepared.placement.target.name)
        return False

    async def continue_from_backup(self, reason: str) -> bool:
        """Continue the run from its backup, if that can be used."""
        backup = self._find_backup()
        if backup is None:
            return False
        reference = self._port.get_backup_reference(self._request, backup)
        placement = self._placer.place_on(
            self._request, backup.name, self._delivery.tokens
        )
        return await self.continue_from(placement, reference, reason)

    async def continue_from_copies(self, reason: str) -> bool:
        """Continue the run from a copy, a backup or its saved memory."""
        if await self.continue_from_prepared(reason):
            return True
        if await self.continue_from_backup(reason):
            return True
        saved = self._saved.take()
        return saved is not None and await self._continue_from_copy(
            saved, reason
        )

    async def _continue_from_copy(
        self, copy: _copies.PreparedCopy, reason: str
    ) -> bool:
        """Continue the run from a copy if its engine takes new work."""
        if not self._placer.is_usable(copy.placement.target.name):
            copy.placement.release(complete=False)
            return False
        return await self.continue_from(copy.placement, copy.reference, reason)

    async def continue_from(
        self,
        placement: _placements.RelayPlacement | None,
        copy: str,
        reason: str,
    ) -> bool:
        """Continue the run from a copy.

        Returns:
            Whether the run continues. If not, the placement is released.
        """
        position = self._delivery.position
        if placement is None:
            return False
        if not self._attempts.may_continue or position is None:
            placement.release(complete=False)
            return False
        self._placer.record_resend(self._request)
        _LOGGER.info(
            'continuing run from a copy; request=%s target=%s position=%s'
            ' reason=%s',
            self._request.key,
            placement.target.name,
            position.decode('latin-1'),
            reason,
        )
        start = _ports.ContinuedRun(position, copy)
        reply = await self._dispatch(placement, start)
        if _ports.is_running(reply):
            return True
        self._not_continued |= {placement.target.name}
        if isinstance(reply, _ports.Lost):
            placement.record_failure(crashed=False)
        return False

    async def try_resume(self, reason: str) -> bool:
        """Start a new run while the present one is kept.

        Returns:
            Whether the new run has taken its place.
        """
        try:
            await self.resume(reason)
        except core.CodedError as error:
            _LOGGER.info(
                'run is not started anew; request=%s reason=%s',
                self._request.key,
                error,
            )
            return False
        return True

    async def resume(self, reason: str) -> None:
        """Start a new run after the last event, if the route allows it.

        Raises:
            CodedError: The stream cannot be continued.
        """
        reply: _ports.Reply = _ports.Lost(reason)
        placement = None
        while True:
            await self._attempts.exclude_failed(placement, reply)
            placement, reply = await self.place_and_dispatch()
            if _ports.is_running(reply):
                return

    async def place_and_dispatch(
        self,
    ) -> tuple[_placements.RelayPlacement, _ports.Reply]:
        """Start a run on the first target that takes it now."""
        while True:
            placement = await self._placer.place(
                self._request, self._attempts.excluded
            )
            reply = await self._dispatch(placement, self._choose_start())
            match reply:
                case _ports.Held():
                    pass
                case _ports.Barred():
                    self._attempts.exclude(placement.target.name)
                case _:
                    return placement, reply

    def _choose_start(self) -> _ports.Start:
        if self._delivery.position is None:
            return _ports.NewRun()
        return _ports.ResumedRun(self._delivery.position)

    def _find_backup(self) -> core.EngineTarget | None:
        """Return the engine that holds a copy and can continue from it."""
        backup = self._backup
        if (
            backup is None
            or self._delivery.position is None
            or backup.name in self._not_continued
            or not self._attempts.may_continue
            or not self._placer.is_usable(backup.name)
        ):
            return None
        return backup
