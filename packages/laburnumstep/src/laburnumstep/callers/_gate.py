"""Gate for callers' requests and graceful shutdown of the VM."""

from __future__ import annotations

import contextlib
import typing

import anyio

from laburnumstep import core

if typing.TYPE_CHECKING:
    import collections.abc


class RequestGate:
    """Counts requests in progress and refuses new ones while stopping.

    Args:
        clock: Clock for the stop deadline.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._in_progress = 0
        self._idle = anyio.Event()
        self._expired = anyio.Event()
        self._stop_deadline: float | None = None

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return self._in_progress

    @property
    def stopping(self) -> bool:
        """Whether the VM refuses new requests."""
        return self._stop_deadline is not None

    @contextlib.contextmanager
    def enter(self) -> collections.abc.Iterator[None]:
        """Count a request as in progress while the context is open.

        Raises:
            CodedError: `vm_stopping` if the VM refuses new requests.
        """
        if self.stopping:
            raise core.CodedError(
                core.ErrorCode.VM_STOPPING,
                'the VM is stopping; send the request to another one',
                resend=True,
                resend_at=self._clock.now(),
            )
        self._in_progress += 1
        try:
            yield
        finally:
            self._in_progress -= 1
            if self.stopping and not self._in_progress:
                self._idle.set()

    async def drain(self, deadline: float) -> None:
        """Refuse new requests and wait for those in progress to end.

        Args:
            deadline: When the remaining streams are interrupted, so that
                their callers resume on another VM, in epoch seconds.
        """
        self._stop_deadline = deadline
        if not self._in_progress:
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._expire, deadline)
            await self._idle.wait()
            tasks.cancel_scope.cancel()

    async def wait_for_stop_deadline(self) -> core.CodedError:
        """Wait for the stop deadline and return the error for callers."""
        await self._expired.wait()
        return core.CodedError(
            core.ErrorCode.VM_STOPPING,
            'the VM stops now; resume on another one with the handle',
            core.Outcome.UNKNOWN,
            resend=True,
            resend_at=self._clock.now(),
        )

    async def _expire(self, deadline: float) -> None:
        await self._clock.sleep_until(deadline)
        self._expired.set()
