"""Steps for the feature of limits and shares."""

from __future__ import annotations

import random
import typing

import behave

from laburnumstep import callers
from laburnumstep import core

_WORKSPACE = 'foremen'
_TICK_SECONDS = 0.1


def _make_limits(
    clock: core.Clock, rate: float, concurrency: int, tokens: float
) -> callers.WorkspaceLimits:
    limits = callers.WorkspaceLimits(clock)
    workspace = core.Workspace(_WORKSPACE, '', rate, concurrency, tokens)
    limits.apply_deployment(
        core.Deployment('d', workspaces={_WORKSPACE: workspace})
    )
    return limits


@behave.given(
    'a workspace with {rate:d} requests a second, {concurrency:d} in '
    'progress, {tokens:d} tokens a second'
)
def step_workspace(
    context: typing.Any, rate: int, concurrency: int, tokens: int
) -> None:
    context.clock = core.ManualClock()
    context.limits = _make_limits(context.clock, rate, concurrency, tokens)


@behave.when(
    '{count:d} requests begin at once and {end}, with {tokens:d} tokens each'
)
def step_begin(context: typing.Any, count: int, end: str, tokens: int) -> None:
    context.results = []
    context.in_progress = 0
    for _ in range(count):
        result = context.limits.try_begin(_WORKSPACE, context.clock.now())
        context.results.append(result)
        if not isinstance(result, callers.Allowed):
            continue
        context.limits.record_tokens(_WORKSPACE, tokens)
        if end == 'end':
            context.limits.end(_WORKSPACE)
        else:
            context.in_progress += 1


@behave.then('{count:d} are allowed and the others refused as {code:w}')
def step_allowed(context: typing.Any, count: int, code: str) -> None:
    allowed = [a for a in context.results if isinstance(a, callers.Allowed)]
    assert len(allowed) == count, context.results
    refused = [a for a in context.results if isinstance(a, callers.Refused)]
    assert {result.code.value for result in refused} <= {code}


@behave.then(
    'the first refused one is allowed at its time to resend, after ends'
)
def step_resend(context: typing.Any) -> None:
    refused = [a for a in context.results if isinstance(a, callers.Refused)]
    if not refused:
        return
    for _ in range(context.in_progress):
        context.limits.end(_WORKSPACE)
    assert refused[0].resend_at > context.clock.now()
    # Slightly later, as floating-point rounding may make the time early.
    result = context.limits.try_begin(_WORKSPACE, refused[0].resend_at + 1e-6)
    assert isinstance(result, callers.Allowed), result


@behave.given('{count:d} VMs')
def step_vms(context: typing.Any, count: int) -> None:
    context.limits.set_known_vms(count)
    context.begin = context.clock.now()


@behave.when('a share of {fraction:f} until second {until:d} arrives')
def step_share(context: typing.Any, fraction: float, until: int) -> None:
    context.limits.set_share(_WORKSPACE, fraction, context.begin + until)


@behave.then('at second {second:d} the VM may use {fraction:f} of the limits')
def step_fraction(context: typing.Any, second: int, fraction: float) -> None:
    found = context.limits.get_fraction(_WORKSPACE, context.begin + second)
    assert found == fraction, found


@behave.when(
    '{count:d} requests with {tokens:d} tokens each begin within a second'
)
def step_tokens(context: typing.Any, count: int, tokens: int) -> None:
    for _ in range(count):
        now = context.clock.now()
        result = context.limits.try_begin(_WORKSPACE, now)
        if isinstance(result, callers.Allowed):
            # Starts a new period, so that the last one has only refusals.
            context.limits.record_tokens(_WORKSPACE, tokens)
            context.limits.end(_WORKSPACE)
            context.limits.measure_demands(now)
    context.clock.advance(1)


@behave.then('the reported demand is {how} an eighth of the limits')
def step_demand(context: typing.Any, how: str) -> None:
    demands = context.limits.measure_demands(context.clock.now())
    if how == 'not':
        assert demands == {}, demands
    else:
        assert demands[_WORKSPACE].fraction > 1 / 8, demands


@behave.then('a request of another workspace is refused as unauthorized')
def step_unknown(context: typing.Any) -> None:
    result = context.limits.try_begin('other', context.clock.now())
    assert isinstance(result, callers.Refused)
    assert result.code is core.ErrorCode.UNAUTHORIZED


class _SimulatedVMs:
    """Simulated VMs and aggregator of one workspace; delays messages."""

    def __init__(self, count: int, delay: float, seed: int) -> None:
        self.clock = core.ManualClock()
        self.names = [f'vm-{number}' for number in range(count)]
        self.delay = delay
        self.rng = random.Random(seed)
        self.allocator = callers.ShareAllocator()
        self.demands: dict[str, tuple[float, callers.Demand]] = {}
        self.messages: list[tuple[float, typing.Callable[[], None]]] = []
        self.disconnected: set[str] = set()
        self.wanted: dict[str, float] = {}
        self.end_times: dict[str, list[float]] = {
            name: [] for name in self.names
        }
        self.fraction_sums: list[float] = []
        self.in_progress: list[int] = []
        self.start_times: list[float] = []

    def set_limits(self, concurrency: int, rate: int) -> None:
        self.concurrency = concurrency
        self.rate = rate
        self.limits = {}
        for name in self.names:
            limits = _make_limits(self.clock, rate, concurrency, 1e9)
            limits.set_known_vms(len(self.names))
            self.limits[name] = limits

    def run(self, seconds: float) -> None:
        for step in range(round(seconds / _TICK_SECONDS)):
            self.clock.advance(_TICK_SECONDS)
            now = self.clock.now()
            due = [m for m in self.messages if m[0] <= now]
            self.messages = [m for m in self.messages if m[0] > now]
            for _, deliver in due:
                deliver()
            for name in self.names:
                self._run_requests(name, now)
            if step % 10 == 0:
                self._exchange(now)
            self._record_totals(now)

    def _run_requests(self, name: str, now: float) -> None:
        """Run requests of 0.2 seconds each; refused ones are not resent."""
        limits = self.limits[name]
        while self.end_times[name] and self.end_times[name][0] <= now:
            self.end_times[name].pop(0)
            limits.end(_WORKSPACE)
        wanted = self.wanted.get(name, 0.0) * self.rate * _TICK_SECONDS
        for _ in range(round(wanted)):
            result = limits.try_begin(_WORKSPACE, now)
            if isinstance(result, callers.Allowed):
                self.end_times[name].append(now + 0.2 - 1e-6)
                self.start_times.append(now)

    def _exchange(self, now: float) -> None:
        for name in self.names:
            demand = self.limits[name].measure_demands(now).get(_WORKSPACE)
            if demand is not None and name not in self.disconnected:
                self._deliver_later(
                    self._make_demand_delivery(name, now, demand)
                )
        fresh = {
            name: demand
            for name, (at, demand) in self.demands.items()
            if at > now - 5
        }
        if not fresh:
            return
        shares = self.allocator.allocate(
            fresh, self.names, self.concurrency, now
        )
        for name, share in shares.items():
            if name not in self.disconnected:
                self._deliver_later(self._make_share_delivery(name, share))

    def _make_demand_delivery(
        self, name: str, now: float, demand: callers.Demand
    ) -> typing.Callable[[], None]:
        def deliver() -> None:
            if self.demands.get(name, (0.0, demand))[0] < now:
                self.demands[name] = (now, demand)

        return deliver

    def _make_share_delivery(
        self, name: str, share: callers.Share
    ) -> typing.Callable[[], None]:
        limits = self.limits[name]
        return lambda: limits.set_share(
            _WORKSPACE, share.fraction, share.until
        )

    def _deliver_later(self, deliver: typing.Callable[[], None]) -> None:
        delay = self.rng.uniform(0.0, self.delay)
        self.messages.append((self.clock.now() + delay, deliver))

    def _record_totals(self, now: float) -> None:
        self.fraction_sums.append(
            sum(
                self.limits[name].get_fraction(_WORKSPACE, now)
                for name in self.names
            )
        )
        self.in_progress.append(sum(len(o) for o in self.end_times.values()))

    def get_fraction(self, name: str) -> float:
        return self.limits[name].get_fraction(_WORKSPACE, self.clock.now())


@behave.given(
    '{count:d} VMs with an aggregator, messages delayed by up to '
    '{delay:d} seconds, seed {seed:d}'
)
def step_aggregator(
    context: typing.Any, count: int, delay: int, seed: int
) -> None:
    context.vms = _SimulatedVMs(count, delay, seed)


@behave.given(
    'a workspace limited to {concurrency:d} requests in progress and '
    '{rate:d} a second'
)
def step_limited(context: typing.Any, concurrency: int, rate: int) -> None:
    context.vms.set_limits(concurrency, rate)


@behave.when('the demand moves from VM to VM for {seconds:d} seconds')
def step_demand_moves(context: typing.Any, seconds: int) -> None:
    vms = context.vms
    context.settled = []
    for number in range(seconds // 20):
        busy = vms.rng.sample(vms.names, number + 1)
        vms.wanted = {name: 1.5 / len(busy) for name in busy}
        vms.run(20)
        end = vms.clock.now()
        started = sum(1 for at in vms.start_times if at > end - 10)
        context.settled.append(started / (10 * vms.rate))


@behave.then('at no time do the shares in force add up to more than the limit')
def step_sum(context: typing.Any) -> None:
    assert max(context.vms.fraction_sums) <= 1 + 1e-9, max(
        context.vms.fraction_sums
    )


@behave.then('at no time are more than {count:d} requests in progress')
def step_in_progress(context: typing.Any, count: int) -> None:
    assert max(context.vms.in_progress) <= count, max(context.vms.in_progress)


@behave.then(
    'after 10 seconds with the same demand it gets at least {fraction:d}% of '
    'the limit'
)
def step_settled(context: typing.Any, fraction: int) -> None:
    assert min(context.settled) >= fraction / 100, context.settled


@behave.when('all VMs have demand for the whole limit for {seconds:d} seconds')
def step_all_demand(context: typing.Any, seconds: int) -> None:
    vms = context.vms
    vms.wanted = {name: 1.0 for name in vms.names}
    vms.run(seconds)


@behave.when('vm-3 is disconnected for {seconds:d} seconds')
def step_disconnect(context: typing.Any, seconds: int) -> None:
    context.vms.disconnected = {'vm-3'}
    context.vms.run(seconds)


@behave.when('every VM is disconnected for {seconds:d} seconds')
def step_disconnect_all(context: typing.Any, seconds: int) -> None:
    context.vms.disconnected = set(context.vms.names)
    context.vms.run(seconds)


@behave.then('vm-3 may use an eighth of the limits')
def step_eighth(context: typing.Any) -> None:
    assert context.vms.get_fraction('vm-3') == 1 / 8


@behave.then('each VM may use an eighth of the limits')
def step_each_eighth(context: typing.Any) -> None:
    assert {context.vms.get_fraction(name) for name in context.vms.names} == {
        1 / 8
    }


@behave.then('the shares of the other VMs add up to at most seven eighths')
def step_others(context: typing.Any) -> None:
    vms = context.vms
    total = sum(vms.get_fraction(name) for name in vms.names if name != 'vm-3')
    assert 0.8 <= total <= 7 / 8 + 1e-9, total


@behave.given('demands of {demands}')
def step_demands(context: typing.Any, demands: str) -> None:
    context.amounts = {
        f'vm-{number}': float(amount)
        for number, amount in enumerate(demands.split())
    }


@behave.when('the limits are divided with {slots:d} requests in progress')
def step_divide(context: typing.Any, slots: int) -> None:
    allocator = callers.ShareAllocator()
    now = 0.0
    shares: dict[str, callers.Share] = {}
    # Each round confirms the shares of the one before.
    for _ in range(3):
        demands = {
            name: callers.Demand(amount, shares.get(name))
            for name, amount in context.amounts.items()
        }
        shares = allocator.allocate(demands, list(context.amounts), slots, now)
        now += 1.0
    context.shares = shares


@behave.then('the shares are {parts}')
def step_shares(context: typing.Any, parts: str) -> None:
    found = [share.fraction for share in context.shares.values()]
    by_name = sorted(context.shares.items())
    found = [share.fraction for _, share in by_name]
    expected = [float(fraction) for fraction in parts.split()]
    close = [abs(f - e) < 0.006 for f, e in zip(found, expected)]
    assert all(close) and len(found) == len(expected), found
