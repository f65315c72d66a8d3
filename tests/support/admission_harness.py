"""Runs admission on a view of one engine with a task for each request."""

from __future__ import annotations

import random
import typing

import anyio
from anyio import lowlevel
import attrs

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import targets
from support import fleets

_REQUEST_TOKENS = 200
"""Memory that placement expects of one request, in tokens."""
_CHECKPOINTS = 12
"""Turns of the event loop after which every task waits."""


async def run_ready_tasks() -> None:
    """Run each task until it waits for the clock or an event."""
    for _ in range(_CHECKPOINTS):
        await lowlevel.checkpoint()


class CountingClock(core.ManualClock):
    """A manual clock that counts the calls of `sleep_until`."""

    def __init__(self) -> None:
        super().__init__()
        self.waits = 0

    async def sleep_until(self, deadline: float) -> None:
        self.waits += 1
        await super().sleep_until(deadline)


class AdmissionHarness:
    """Runs admission on a view of one engine.

    Args:
        context: Context of the scenario, with its portal.
        capacity: Requests for which the engine has memory.
    """

    def __init__(self, context: typing.Any, capacity: int) -> None:
        self.portal = context.portal
        self.clock = CountingClock()
        self.view = targets.FleetView(self.clock, 'lima-1')
        # The policy plans for 95% of the memory; 1.1 is 1 / 0.95,
        # rounded up.
        self.deployment = fleets.make_deployment(
            1, int(capacity * _REQUEST_TOKENS * 1.1)
        )
        self.view.apply_deployment(self.deployment)
        self.lengths = fleets.make_length_estimator(100)
        self.admission = callers.Admission(
            self.clock, self.view, self.lengths, random.Random(1)
        )
        self.results: dict[str, typing.Any] = {}
        self.admission_order: list[str] = []
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.group: typing.Any = None
        self.max_tokens = 10_000

    async def __aenter__(self) -> AdmissionHarness:
        self.group = anyio.create_task_group()
        await self.group.__aenter__()
        return self

    async def __aexit__(self, *error: typing.Any) -> None:
        self.group.cancel_scope.cancel()
        await self.group.__aexit__(*error)

    def submit(
        self, name: str, seconds_left: float = 3600.0, **changes: typing.Any
    ) -> None:
        self.portal.call(self._submit, name, seconds_left, changes)

    async def _submit(
        self, name: str, seconds_left: float, changes: dict[str, typing.Any]
    ) -> None:
        placement = attrs.evolve(fleets.make_request(name), **changes)
        request = callers.AdmissionRequest(
            placement, name, self.clock.now() + seconds_left, self.max_tokens
        )
        self.group.start_soon(self._run, name, request)
        await run_ready_tasks()

    async def _run(self, name: str, request: callers.AdmissionRequest) -> None:
        with anyio.CancelScope() as scope:
            self.scopes[name] = scope
            result = await self.admission.admit(request)
            self.results[name] = result
            if isinstance(result, callers.Admitted):
                self.admission_order.append(name)

    def finish(self, name: str) -> None:
        self.run_action(lambda: self.admission.release(self.results[name]))

    def advance(self, seconds: float) -> None:
        self.run_action(lambda: self.clock.advance(seconds))

    def run_action(self, action: typing.Callable[[], typing.Any]) -> None:
        async def run() -> None:
            action()
            await run_ready_tasks()

        self.portal.call(run)

    @property
    def admitted(self) -> list[str]:
        return [
            name
            for name, result in self.results.items()
            if isinstance(result, callers.Admitted)
        ]

    @property
    def in_progress(self) -> list[str]:
        state = self.view.find('engine-0')
        return list(state.sends) if state is not None else []
