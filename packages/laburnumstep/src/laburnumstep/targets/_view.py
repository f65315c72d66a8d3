"""What a VM knows of the targets of its deployment."""

from __future__ import annotations

import heapq
import typing

from laburnumstep import core
from laburnumstep.targets import _hints
from laburnumstep.targets import _links
from laburnumstep.targets import _pools
from laburnumstep.targets import _sends
from laburnumstep.targets import _states

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _reports

TOKEN_PACE_WEIGHT = 0.05
"""Weight of one ended send in the mean time between tokens."""
RoomListener = typing.Callable[[typing.Iterable[str]], None]
"""Called with the models and services that may have got room."""
_EMPTY_POOL = _pools.TargetPool()


class FleetView:
    """Targets with their load, as one VM sees them.

    Args:
        clock: Tells the time.
        vm_data_centre: Data centre of this VM.
    """

    def __init__(self, clock: core.Clock, vm_data_centre: str) -> None:
        self._clock = clock
        self._data_centre = vm_data_centre
        self._region: str | None = None
        self._states: dict[str, _states.TargetState] = {}
        self._pools: dict[str, _pools.TargetPool] = {}
        self._subjects: dict[str, tuple[str, ...]] = {}
        self._recovering: list[tuple[float, str]] = []
        self._leaving: set[str] = set()
        self._listeners: list[RoomListener] = []
        self._known_vms = 1
        self._budget = core.LinkBudget()
        self._waiting: dict[str, int] = {}
        self._token_seconds: float | None = None
        self.hints = _hints.PrefixHints()
        """Prefixes that engines probably hold."""
        self.links = _links.LinkMeter(clock)
        """Budgets of the links between regions."""

    @property
    def clock(self) -> core.Clock:
        """The clock of the view."""
        return self._clock

    @property
    def region(self) -> str | None:
        """Region of this VM, once a configuration is known."""
        return self._region

    @property
    def known_vms(self) -> int:
        """How many VMs send to the same targets, this one included."""
        return self._known_vms

    @property
    def token_seconds(self) -> float | None:
        """Mean time between tokens of ended sends, in seconds, if any."""
        return self._token_seconds

    def subscribe(self, listener: RoomListener) -> None:
        """Call a function whenever there may be new room."""
        self._listeners.append(listener)

    def set_known_vms(self, count: int) -> None:
        """Set how many VMs send to the same targets."""
        self._known_vms = max(1, count)
        self.links.apply_budget(self._budget, 1.0 / self._known_vms)

    def set_waiting(self, model: str, count: int) -> None:
        """Set how many requests for a model wait at this VM."""
        if count:
            self._waiting[model] = count
        else:
            self._waiting.pop(model, None)

    def apply_deployment(self, deployment: core.Deployment) -> None:
        """Use a new configuration; sends in progress are kept."""
        self._region = deployment.find_region(self._data_centre)
        self._budget = deployment.links
        self.links.apply_budget(deployment.links, 1.0 / self._known_vms)
        regions = {
            data_centre: place.region
            for place in deployment.places.values()
            for data_centre in place.data_centres
        }
        for name in list(self._states):
            if name not in deployment.targets:
                self._remove(name)
        for name, target in deployment.targets.items():
            self._apply_target(name, target, regions.get(target.data_centre))
        self._notify(self._pools)

    def record_report(
        self, target_name: str, report: _reports.LoadReport
    ) -> None:
        """Take in a load report; older ones than the last are ignored."""
        state = self._states.get(target_name)
        if state is not None and state.accept_report(report):
            self._index(target_name, state)
            self._notify(self._subjects[target_name])

    def set_leaving(self, target_name: str, leaving: bool) -> None:
        """Record whether some source says that a target is leaving."""
        if leaving:
            self._leaving.add(target_name)
        else:
            self._leaving.discard(target_name)
        state = self._states.get(target_name)
        if state is not None:
            state.observed_leaving = leaving
            self._index(target_name, state)
            self._notify(self._subjects[target_name])

    def set_failed(self, target_name: str, until: float) -> None:
        """Give a target no work until a time in epoch seconds."""
        state = self._states.get(target_name)
        if state is not None:
            state.failed_until = until
            heapq.heappush(self._recovering, (until, target_name))
            self._index(target_name, state)
            self._notify(self._subjects[target_name])

    def begin(
        self,
        target_name: str,
        generation_id: str,
        workspace: str,
        model: str,
        prompt_tokens: int,
        expected_tokens: float,
        max_tokens: int | None = None,
        suspect: bool = False,
        hinted_tokens: float | None = None,
    ) -> _sends.Send:
        """Count a send at once, before the engine reports it."""
        now = self._clock.now()
        send = _sends.Send(
            target_name,
            generation_id,
            workspace,
            model,
            prompt_tokens,
            expected_tokens,
            now,
            max_tokens,
            suspect,
            hinted_tokens,
        )
        state = self._states.get(target_name)
        if state is not None:
            state.sends[generation_id] = send
        return send

    def adopt(self, target_name: str, generation_id: str) -> _sends.Send:
        """Count a generation that another VM has sent, as this one's.

        Reports count it already, so it is not added to them. Its tokens may
        come at once from the engine's buffer and say nothing of its pace.
        """
        send = _sends.Send(target_name, generation_id, '', '', 0, 0.0, 0.0)
        state = self._states.get(target_name)
        if state is not None:
            state.sends[generation_id] = send
        return send

    def record_received(self, send: _sends.Send, size: int) -> None:
        """Count bytes that a target in another region has sent.

        Args:
            send: The send that they belong to.
            size: Bytes.
        """
        state = self._states.get(send.target)
        if state is None or state.near or self._region is None:
            return
        if state.region is not None:
            self.links.record_bytes(state.region, self._region, size)

    def record_tokens(self, send: _sends.Send, count: int) -> None:
        """Count tokens that a send has produced."""
        send.tokens += count

    def end(self, send: _sends.Send) -> None:
        """Count the end of a send; a second call has no effect."""
        if send.ended_at is not None:
            return
        now = self._clock.now()
        send.ended_at = now
        self._learn_pace(send, now)
        state = self._states.get(send.target)
        if state is None:
            return
        if state.sends.get(send.generation_id) is send:
            del state.sends[send.generation_id]
            state.add_ended(send, now)
        self._notify(self._subjects[send.target])

    def find(self, target_name: str) -> _states.TargetState | None:
        """Return what is known of a target."""
        return self._states.get(target_name)

    def list_usable_engines(self) -> list[_states.TargetState]:
        """Return the engines that may get new work."""
        now = self._clock.now()
        return [
            state
            for state in self._states.values()
            if isinstance(state.declared, core.EngineTarget)
            and state.is_usable(now)
        ]

    def get_pool(self, subject: str) -> _pools.TargetPool:
        """Return the usable targets of a model or a plain service."""
        self._restore_recovered()
        return self._pools.get(subject, _EMPTY_POOL)

    def count_demand(self, model: str) -> float:
        """Return this VM's waiting requests for each target of a model.

        The request that is being placed counts as one of them.
        """
        waiting = max(1, self._waiting.get(model, 0))
        return waiting / max(1, len(self.get_pool(model)))

    def find_recovery(
        self, subject: str, excluded: frozenset[str] = frozenset()
    ) -> float | None:
        """Return when a failed target of a pool gets work again, if any."""
        times = [
            until
            for until, name in self._recovering
            if name not in excluded
            and (state := self._states.get(name)) is not None
            and state.failed_until == until
            and not state.leaving
            and subject in list_subjects(state)
        ]
        return min(times, default=None)

    def _apply_target(
        self, name: str, target: core.Target, region: str | None
    ) -> None:
        state = self._states.get(name)
        near = region == self._region
        if state is None:
            state = _states.TargetState(target, region, near)
            state.observed_leaving = name in self._leaving
            self._states[name] = state
        elif state.declared == target and state.region == region:
            if state.near == near:
                return
        state.declared = target
        state.region = region
        state.near = near
        self._index(name, state)

    def _learn_pace(self, send: _sends.Send, now: float) -> None:
        if not send.tokens or not send.model:
            return
        pace = (now - send.begun_at) / send.tokens
        if self._token_seconds is None:
            self._token_seconds = pace
        else:
            change = pace - self._token_seconds
            self._token_seconds += TOKEN_PACE_WEIGHT * change

    def _restore_recovered(self) -> None:
        now = self._clock.now()
        while self._recovering and self._recovering[0][0] <= now:
            _, name = heapq.heappop(self._recovering)
            state = self._states.get(name)
            if state is not None:
                self._index(name, state)

    def _index(self, name: str, state: _states.TargetState) -> None:
        subjects: tuple[str, ...] = ()
        if state.is_usable(self._clock.now()):
            subjects = list_subjects(state)
        for subject in self._subjects.get(name, ()):
            if subject not in subjects:
                self._pools[subject].discard(name)
        for subject in subjects:
            pool = self._pools.setdefault(subject, _pools.TargetPool())
            pool.add(name, state.near)
        self._subjects[name] = subjects

    def _remove(self, name: str) -> None:
        for subject in self._subjects.pop(name, ()):
            self._pools[subject].discard(name)
        del self._states[name]
        self.hints.forget(name)

    def _notify(self, subjects: typing.Iterable[str]) -> None:
        for listener in self._listeners:
            listener(subjects)


def get_service_subject(service: str) -> str:
    """Return the name of a service's pool, apart from those of models."""
    return f'service:{service}'


def list_subjects(state: _states.TargetState) -> tuple[str, ...]:
    """Return the models or the service that a target serves."""
    match state.declared:
        case core.EngineTarget(models=declared):
            models = state.report.models if state.report else declared
            return tuple(models)
        case core.ServiceTarget(service=service):
            return (get_service_subject(service),)
        case _ as other:
            typing.assert_never(other)
