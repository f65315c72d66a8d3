"""State of all targets of a deployment, as one VM knows it."""

from __future__ import annotations

import heapq
import typing

import attrs

from laburnumstep import core
from laburnumstep.targets import _event_rate
from laburnumstep.targets import _hazards
from laburnumstep.targets import _hints
from laburnumstep.targets import _links
from laburnumstep.targets import _pace
from laburnumstep.targets import _pools
from laburnumstep.targets import _residency
from laburnumstep.targets import _sends
from laburnumstep.targets import _states
from laburnumstep.targets import places
from laburnumstep.targets.places import _region_pools

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _reports

PROMPT_RATE_SECONDS = 30.0
"""Time over which the rate of prompts is averaged, in seconds."""
TOKEN_SECONDS_WEIGHT = 0.05
"""Weight of one ended send in the average time between tokens."""
CapacityListener = typing.Callable[[typing.Iterable[str]], None]
"""Called with the pool keys of models and services that may have capacity."""
SendListener = typing.Callable[[_sends.Send], None]
_EMPTY_POOL = _pools.TargetPool()


class FleetView:
    """Targets of a deployment with their state and load, for one VM.

    Args:
        clock: Clock for sends, ejections and link budgets.
        vm_data_centre: Data centre of this VM.
    """

    def __init__(self, clock: core.Clock, vm_data_centre: str) -> None:
        self._clock = clock
        self._data_centre = vm_data_centre
        self._region: str | None = None
        self._states: dict[str, _states.TargetState] = {}
        self._pools: dict[str, _pools.TargetPool] = {}
        self._pool_keys: dict[str, tuple[str, ...]] = {}
        self._recovering: list[tuple[float, str]] = []
        self._leaving: set[str] = set()
        self._limits: dict[str, float] = {}
        self._back_off_until = 0.0
        self._listeners: list[CapacityListener] = []
        self._send_listeners: list[SendListener] = []
        self._known_vms = 1
        self._budget = core.LinkBudget()
        self._waiting: dict[str, int] = {}
        self._token_seconds: float | None = None
        self.hints = _hints.PrefixHints()
        """Prefixes that engines probably have in their caches."""
        self.links = _links.LinkMeter(clock)
        """Budgets of the links between regions."""
        self.places = places.PlaceRules()
        """Where requests may be sent."""
        self._region_pools = _region_pools.RegionPools(self.permits)
        self.hazards = _hazards.EngineHazards(clock.now())
        """Rates at which engines are lost."""
        self.paces = _pace.EnginePaces()
        """Pace of the engines."""
        self.residency = _residency.CacheResidency()
        """Parts of prompts that engines probably have in their caches."""
        self.gap_objectives: dict[str, float] = {}
        """Last objective of the time between events, in seconds, by model."""
        self._prompt_rates: dict[str, _event_rate.EventRate] = {}

    @property
    def clock(self) -> core.Clock:
        """Clock for sends, ejections and link budgets."""
        return self._clock

    @property
    def region(self) -> str | None:
        """Region of this VM; None before a configuration is applied."""
        return self._region

    @property
    def known_vms(self) -> int:
        """Number of VMs that send to the same targets, including this one."""
        return self._known_vms

    @property
    def token_seconds(self) -> float | None:
        """Mean time between tokens of ended sends, in seconds, or None."""
        return self._token_seconds

    def subscribe(self, listener: CapacityListener) -> None:
        """Add a listener that is called when targets may have new capacity."""
        self._listeners.append(listener)

    def subscribe_sends(self, listener: SendListener) -> None:
        """Add a listener that is called with each send to an engine."""
        self._send_listeners.append(listener)

    def set_known_vms(self, count: int) -> None:
        """Set the number of VMs that send to the same targets."""
        self._known_vms = max(1, count)
        self.links.apply_budget(self._budget, 1.0 / self._known_vms)

    def set_waiting(self, model: str, count: int) -> None:
        """Set the number of requests for a model that wait in this VM."""
        if count:
            self._waiting[model] = count
        else:
            self._waiting.pop(model, None)

    def apply_deployment(self, deployment: core.Deployment) -> None:
        """Apply a new configuration and the evacuations in force.

        Sends in progress are retained.
        """
        self._region = deployment.find_region(self._data_centre)
        self._budget = deployment.links
        self.links.apply_budget(deployment.links, 1.0 / self._known_vms)
        self.places.apply_places(deployment.places)
        for name in list(self._states):
            if name not in deployment.targets:
                self._remove(name)
        for name, target in deployment.targets.items():
            region = self.places.find_region(target.data_centre)
            self._apply_target(name, target, region)
        self._notify(self._pools)

    def record_report(
        self, target_name: str, report: _reports.LoadReport
    ) -> None:
        """Record a load report unless it is older than the last one."""
        state = self._states.get(target_name)
        if state is not None and state.apply_report(report):
            self._update_pools(target_name, state)
            self._notify(self._pool_keys[target_name])

    def set_leaving(self, target_name: str, leaving: bool) -> None:
        """Record whether a target is reported as leaving."""
        if leaving:
            self._leaving.add(target_name)
        else:
            self._leaving.discard(target_name)
        state = self._states.get(target_name)
        if state is not None:
            state.observed_leaving = leaving
            self._update_pools(target_name, state)
            self._notify(self._pool_keys[target_name])

    def set_failed(self, target_name: str, until: float) -> None:
        """Eject a target until a time in epoch seconds."""
        state = self._states.get(target_name)
        if state is not None:
            state.failed_until = until
            self.hazards.record_failure(target_name, self._clock.now())
            heapq.heappush(self._recovering, (until, target_name))
            self._update_pools(target_name, state)
            self._notify(self._pool_keys[target_name])

    def set_held(self, target_name: str, until: float) -> None:
        """Place no requests on a target until a time in epoch seconds."""
        state = self._states.get(target_name)
        if state is not None and state.limit_used_until != until:
            state.limit_used_until = until
            self._apply_hold(target_name, state, until)

    def set_back_off(self, target_name: str, until: float) -> None:
        """Place no requests on a target that has asked for none.

        Args:
            target_name: Name of the target.
            until: When it may get requests again, in epoch seconds; 0 ends
                a back-off.
        """
        state = self._states.get(target_name)
        if state is not None and state.back_off_until != until:
            state.back_off_until = until
            self._back_off_until = max(self._back_off_until, until)
            self._apply_hold(target_name, state, until)

    def find_back_off(
        self, pool_key: str, excluded: frozenset[str]
    ) -> float | None:
        """Return when a pool whose targets all back off has one again.

        Args:
            pool_key: Name of the model, or the key of a service's pool.
            excluded: Targets that must not be used.

        Returns:
            The time in epoch seconds, or None if another target is left or
            none has asked for a back-off.
        """
        now = self._clock.now()
        # Without a back-off, placement must not pay for this search.
        if self._back_off_until <= now:
            return None
        pool = self.get_pool(pool_key)
        if any(
            name not in excluded
            for local in (True, False)
            for name in pool.get_names(local)
        ):
            return None
        times = []
        for name, state in self._states.items():
            if state.leaving or pool_key not in list_pool_keys(state):
                continue
            if state.back_off_until > now:
                times.append(state.back_off_until)
            elif name not in excluded:
                return None
        return min(times, default=None)

    def set_limit(self, target_name: str, rate: float | None) -> None:
        """Record the requests a second that a target takes from all VMs.

        Args:
            target_name: Name of the target.
            rate: The rate, or None if the target has no limit.
        """
        if rate is None:
            self._limits.pop(target_name, None)
        else:
            self._limits[target_name] = rate
        self.set_held(target_name, 0.0)

    def list_limited(self, pool_key: str) -> list[str]:
        """Return the targets of a pool if all usable ones have a limit.

        Args:
            pool_key: Name of the model, or the key of a service's pool.

        Returns:
            Names of the targets; none if one of them has no limit.
        """
        if not self._limits:
            return []
        now = self._clock.now()
        names = [
            name
            for name, state in self._states.items()
            if state.is_usable(now) and pool_key in list_pool_keys(state)
        ]
        return names if all(name in self._limits for name in names) else []

    def get_limit(self, target_name: str) -> float | None:
        """Return the requests a second that a target takes, if limited."""
        return self._limits.get(target_name)

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
        parts: tuple[_residency.PromptPart, ...] = (),
        gap_seconds: float | None = None,
    ) -> _sends.Send:
        """Count a send immediately, before the engine reports it."""
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
            parts,
            gap_seconds,
        )
        state = self._states.get(target_name)
        if state is not None:
            if prompt_tokens:
                send.cached_tokens = prompt_tokens - self._record_prompt(
                    state, parts, prompt_tokens, now
                )
            state.sends[generation_id] = send
            if isinstance(state.declared, core.EngineTarget):
                for listener in self._send_listeners:
                    listener(send)
        return send

    def record_sibling_send(
        self, target_name: str, send: _sends.SiblingSend
    ) -> None:
        """Count a send of another VM until a report counts it."""
        state = self._states.get(target_name)
        if state is None:
            return
        new_tokens = self._record_prompt(
            state, send.parts, send.prompt_tokens, self._clock.now()
        )
        cached_tokens = send.prompt_tokens - new_tokens
        state.add_sibling_send(attrs.evolve(send, cached_tokens=cached_tokens))
        if send.gap_seconds is not None:
            pace = self.estimate_pace(target_name)
            seconds = send.expected_tokens * (pace.token_seconds or 0.0)
            state.add_sibling_stream(send.sent_at, send.gap_seconds, seconds)

    def adopt(self, target_name: str, generation_id: str) -> _sends.Send:
        """Count a generation that another VM has sent as a send of this VM.

        Load reports count it already, so it is not added to them. Its
        tokens may arrive at once from the engine's buffer, so they do not
        update the mean time between tokens.
        """
        send = _sends.Send(target_name, generation_id, '', '', 0, 0.0, 0.0)
        state = self._states.get(target_name)
        if state is not None:
            state.sends[generation_id] = send
        return send

    def record_received(self, send: _sends.Send, size: int) -> None:
        """Count bytes received from a target against the link's budget.

        Bytes from local targets are not counted.

        Args:
            send: The send to which the bytes belong.
            size: Number of bytes.
        """
        state = self._states.get(send.target)
        if state is None or state.local or self._region is None:
            return
        if state.region is not None:
            self.links.record_bytes(state.region, self._region, size)

    def record_tokens(self, send: _sends.Send, count: int) -> None:
        """Count tokens received for a send."""
        send.tokens += count

    def end(self, send: _sends.Send) -> None:
        """Record the end of a send; a second call has no effect."""
        if send.ended_at is not None:
            return
        now = self._clock.now()
        send.ended_at = now
        self._update_token_seconds(send, now)
        state = self._states.get(send.target)
        if state is None:
            return
        if state.sends.get(send.generation_id) is send:
            del state.sends[send.generation_id]
            state.add_ended(send, now)
        self._notify(self._pool_keys[send.target])

    def find(self, target_name: str) -> _states.TargetState | None:
        """Return the state of a target, or None if it is not declared."""
        return self._states.get(target_name)

    def list_usable_engines(self) -> list[_states.TargetState]:
        """Return the engines that may receive new work."""
        now = self._clock.now()
        return [
            state
            for state in self._states.values()
            if isinstance(state.declared, core.EngineTarget)
            and state.is_usable(now)
        ]

    def get_pool(
        self, pool_key: str, regions: core.Regions = core.AnyRegion()
    ) -> _pools.TargetPool:
        """Return the usable targets of a model or a plain service.

        Args:
            pool_key: Name of the model, or the key of a service's pool.
            regions: Regions whose targets are returned.
        """
        self._restore_recovered()
        pool = self._pools.get(pool_key, _EMPTY_POOL)
        if isinstance(regions, core.AnyRegion):
            return pool
        return self._region_pools.get(pool_key, pool, regions)

    def permits(self, regions: core.Regions, target_name: str) -> bool:
        """Return whether a request may be sent to a target.

        Args:
            regions: Regions in which the request may run.
            target_name: Name of the target.
        """
        state = self._states.get(target_name)
        return state is not None and self.places.permits(
            regions, state.declared
        )

    def count_demand(self, model: str) -> float:
        """Return the number of waiting requests per target of a model.

        Only requests of this VM are counted, including the one that is
        being placed.
        """
        waiting = max(1, self._waiting.get(model, 0))
        return waiting / max(1, len(self.get_pool(model)))

    def find_recovery(
        self,
        pool_key: str,
        excluded: frozenset[str] = frozenset(),
        regions: core.Regions = core.AnyRegion(),
    ) -> float | None:
        """Return when the first target of a pool takes requests again.

        Args:
            pool_key: Name of the model, or the key of a service's pool.
            excluded: Targets that are not considered.
            regions: Regions whose targets are considered.

        Returns:
            The time in epoch seconds, or None if no target is ejected or has
            used up its limit.
        """
        times = [
            until
            for until, name in self._recovering
            if name not in excluded
            and (state := self._states.get(name)) is not None
            and until in (state.failed_until, state.held_until)
            and not state.leaving
            and self.places.permits(regions, state.declared)
            and pool_key in list_pool_keys(state)
        ]
        return min(times, default=None)

    def estimate_pace(self, target_name: str) -> _pace.Pace:
        """Return the expected pace of an engine."""
        pool_keys = self._pool_keys.get(target_name)
        if not pool_keys:
            return _pace.Pace()
        pool = self._pools[pool_keys[0]]
        return self.paces.estimate(
            target_name, pool_keys[0], pool, self._clock.now()
        )

    def estimate_usual_pace(self, model: str) -> _pace.Pace:
        """Return the expected pace of an unknown engine of a model."""
        return self.paces.estimate(
            '', model, self.get_pool(model), self._clock.now()
        )

    def measure_prompt_rate(self, model: str) -> float:
        """Return the prompts a second that an engine of a model receives.

        Sends of this VM and of siblings for any model are counted, averaged
        over the engines of the model.
        """
        rate = self._prompt_rates.get(model)
        if rate is None:
            return 0.0
        per_second = rate.measure(self._clock.now())
        return per_second / max(1, len(self.get_pool(model)))

    def forget_restarted(self, target_name: str) -> None:
        """Discard what was learned about a target that has started anew."""
        self.paces.forget(target_name, self._clock.now())
        self.residency.forget(target_name)

    def _record_prompt(
        self,
        state: _states.TargetState,
        parts: tuple[_residency.PromptPart, ...],
        prompt_tokens: int,
        now: float,
    ) -> int:
        """Record a prompt sent to an engine; return its new tokens."""
        name = state.declared.name
        for pool_key in self._pool_keys.get(name, ()):
            rate = self._prompt_rates.get(pool_key)
            if rate is None:
                rate = _event_rate.EventRate(PROMPT_RATE_SECONDS)
                self._prompt_rates[pool_key] = rate
            rate.record(now)
        # The report alone is exact enough here, and each VM records the sends
        # of all siblings.
        used = state.report.kv_used if state.report is not None else 0
        free_tokens = state.memory - used
        return self.residency.record(name, parts, prompt_tokens, free_tokens)

    def _apply_target(
        self, name: str, target: core.Target, region: str | None
    ) -> None:
        state = self._states.get(name)
        local = region == self._region
        evacuated = self.places.is_evacuated(target.data_centre)
        if state is None:
            state = _states.TargetState(target, region, local)
            state.observed_leaving = name in self._leaving
            self._states[name] = state
        elif (
            state.declared == target
            and state.region == region
            and state.local == local
            and state.evacuated == evacuated
        ):
            return
        self._region_pools.clear()
        state.declared = target
        state.region = region
        state.local = local
        state.evacuated = evacuated
        self._update_pools(name, state)

    def _update_token_seconds(self, send: _sends.Send, now: float) -> None:
        if not send.tokens or not send.model:
            return
        token_seconds = (now - send.sent_at) / send.tokens
        if self._token_seconds is None:
            self._token_seconds = token_seconds
        else:
            change = token_seconds - self._token_seconds
            self._token_seconds += TOKEN_SECONDS_WEIGHT * change

    def _restore_recovered(self) -> None:
        now = self._clock.now()
        while self._recovering and self._recovering[0][0] <= now:
            _, name = heapq.heappop(self._recovering)
            state = self._states.get(name)
            if state is not None:
                self._update_pools(name, state)

    def _apply_hold(
        self, name: str, state: _states.TargetState, until: float
    ) -> None:
        if until > self._clock.now():
            heapq.heappush(self._recovering, (until, name))
        self._update_pools(name, state)
        self._notify(self._pool_keys[name])

    def _update_pools(self, name: str, state: _states.TargetState) -> None:
        pool_keys: tuple[str, ...] = ()
        now = self._clock.now()
        if state.leaving:
            self.hazards.record_loss(name, now)
        elif isinstance(state.declared, core.EngineTarget):
            self.hazards.add(name, now)
        if state.takes_requests(now):
            pool_keys = list_pool_keys(state)
        for pool_key in self._pool_keys.get(name, ()):
            if pool_key not in pool_keys:
                self._pools[pool_key].discard(name)
        for pool_key in pool_keys:
            pool = self._pools.setdefault(pool_key, _pools.TargetPool())
            pool.add(name, state.local)
        if pool_keys != self._pool_keys.get(name):
            self._region_pools.clear()
        self._pool_keys[name] = pool_keys

    def _remove(self, name: str) -> None:
        now = self._clock.now()
        self.hazards.record_loss(name, now)
        self.hazards.remove(name, now)
        for pool_key in self._pool_keys.pop(name, ()):
            self._pools[pool_key].discard(name)
        del self._states[name]
        self._region_pools.clear()
        self.hints.forget(name)
        self.paces.drop(name)
        self.residency.forget(name)

    def _notify(self, pool_keys: typing.Iterable[str]) -> None:
        for listener in self._listeners:
            listener(pool_keys)


def get_service_pool_key(service: str) -> str:
    """Return the key of a service's pool, distinct from names of models."""
    return f'service:{service}'


def list_pool_keys(state: _states.TargetState) -> tuple[str, ...]:
    """Return the keys of the pools to which a usable target belongs."""
    match state.declared:
        case core.EngineTarget(models=declared):
            models = state.report.models if state.report else declared
            return tuple(models)
        case core.ServiceTarget(service=service):
            return (get_service_pool_key(service),)
        case _ as other:
            typing.assert_never(other)
