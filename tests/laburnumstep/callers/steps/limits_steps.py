"""Steps for the feature of limits and shares."""

from __future__ import annotations

import random
import typing

import behave

from laburnumstep import callers
from laburnumstep import core

_NAME = 'foremen'
_TICK = 0.1


def _make_limits(
    clock: core.Clock, rate: float, concurrency: int, tokens: float
) -> callers.WorkspaceLimits:
    limits = callers.WorkspaceLimits(clock)
    workspace = core.Workspace(_NAME, '', rate, concurrency, tokens)
    limits.apply_deployment(
        core.Deployment('d', workspaces={_NAME: workspace})
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
    context.answers = []
    context.open = 0
    for _ in range(count):
        answer = context.limits.try_begin(_NAME, context.clock.now())
        context.answers.append(answer)
        if not isinstance(answer, callers.Allowed):
            continue
        context.limits.record_tokens(_NAME, tokens)
        if end == 'end':
            context.limits.end(_NAME)
        else:
            context.open += 1


@behave.then('{count:d} are allowed and the others refused as {code:w}')
def step_allowed(context: typing.Any, count: int, code: str) -> None:
    allowed = [a for a in context.answers if isinstance(a, callers.Allowed)]
    assert len(allowed) == count, context.answers
    refused = [a for a in context.answers if isinstance(a, callers.Refused)]
    assert {answer.code.value for answer in refused} <= {code}


@behave.then(
    'the first refused one is allowed at its time to resend, after ends'
)
def step_resend(context: typing.Any) -> None:
    refused = [a for a in context.answers if isinstance(a, callers.Refused)]
    if not refused:
        return
    for _ in range(context.open):
        context.limits.end(_NAME)
    assert refused[0].resend_at > context.clock.now()
    # A hair later: the time is a sum of floats.
    answer = context.limits.try_begin(_NAME, refused[0].resend_at + 1e-6)
    assert isinstance(answer, callers.Allowed), answer


@behave.given('{count:d} VMs')
def step_vms(context: typing.Any, count: int) -> None:
    context.limits.set_known_vms(count)
    context.begin = context.clock.now()


@behave.when('a share of {fraction:f} until second {until:d} arrives')
def step_share(context: typing.Any, fraction: float, until: int) -> None:
    context.limits.set_share(_NAME, fraction, context.begin + until)


@behave.then('at second {second:d} the VM may use {part:f} of the limits')
def step_part(context: typing.Any, second: int, part: float) -> None:
    found = context.limits.get_fraction(_NAME, context.begin + second)
    assert found == part, found


@behave.when(
    '{count:d} requests with {tokens:d} tokens each begin within a second'
)
def step_tokens(context: typing.Any, count: int, tokens: int) -> None:
    for _ in range(count):
        now = context.clock.now()
        answer = context.limits.try_begin(_NAME, now)
        if isinstance(answer, callers.Allowed):
            # The tokens come with the next measurement.
            context.limits.record_tokens(_NAME, tokens)
            context.limits.end(_NAME)
            context.limits.measure_demands(now)
    context.clock.advance(1)


@behave.then('the reported demand is {how} an eighth of the limits')
def step_demand(context: typing.Any, how: str) -> None:
    demands = context.limits.measure_demands(context.clock.now())
    if how == 'not':
        assert demands == {}, demands
    else:
        assert demands[_NAME].amount > 1 / 8, demands


@behave.then('a request of another workspace is refused as unauthorized')
def step_unknown(context: typing.Any) -> None:
    answer = context.limits.try_begin('other', context.clock.now())
    assert isinstance(answer, callers.Refused)
    assert answer.code is core.ErrorCode.UNAUTHORIZED


class _Vms:
    """VMs and the aggregator of one workspace, with late messages."""

    def __init__(self, count: int, delay: float, seed: int) -> None:
        self.clock = core.ManualClock()
        self.names = [f'vm-{number}' for number in range(count)]
        self.delay = delay
        self.rng = random.Random(seed)
        self.allocator = callers.ShareAllocator()
        self.demands: dict[str, tuple[float, callers.Demand]] = {}
        self.messages: list[tuple[float, typing.Callable[[], None]]] = []
        self.cut: set[str] = set()
        self.wanted: dict[str, float] = {}
        self.open: dict[str, list[float]] = {name: [] for name in self.names}
        self.sums: list[float] = []
        self.in_progress: list[int] = []
        self.began: list[float] = []

    def limit(self, concurrency: int, rate: int) -> None:
        self.concurrency = concurrency
        self.rate = rate
        self.limits = {}
        for name in self.names:
            limits = _make_limits(self.clock, rate, concurrency, 1e9)
            limits.set_known_vms(len(self.names))
            self.limits[name] = limits

    def run(self, seconds: float) -> None:
        for step in range(round(seconds / _TICK)):
            self.clock.advance(_TICK)
            now = self.clock.now()
            due = [m for m in self.messages if m[0] <= now]
            self.messages = [m for m in self.messages if m[0] > now]
            for _, deliver in due:
                deliver()
            for name in self.names:
                self._use(name, now)
            if step % 10 == 0:
                self._exchange(now)
            self._measure(now)

    def _use(self, name: str, now: float) -> None:
        """Requests last a fifth of a second; refused ones are not resent."""
        limits = self.limits[name]
        while self.open[name] and self.open[name][0] <= now:
            self.open[name].pop(0)
            limits.end(_NAME)
        wanted = self.wanted.get(name, 0.0) * self.rate * _TICK
        for _ in range(round(wanted)):
            answer = limits.try_begin(_NAME, now)
            if isinstance(answer, callers.Allowed):
                self.open[name].append(now + 0.2 - 1e-6)
                self.began.append(now)

    def _exchange(self, now: float) -> None:
        for name in self.names:
            demand = self.limits[name].measure_demands(now).get(_NAME)
            if demand is not None and name not in self.cut:
                self._post(self._make_report(name, now, demand))
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
            if name not in self.cut:
                self._post(self._make_delivery(name, share))

    def _make_report(
        self, name: str, now: float, demand: callers.Demand
    ) -> typing.Callable[[], None]:
        def deliver() -> None:
            if self.demands.get(name, (0.0, demand))[0] < now:
                self.demands[name] = (now, demand)

        return deliver

    def _make_delivery(
        self, name: str, share: callers.Share
    ) -> typing.Callable[[], None]:
        limits = self.limits[name]
        return lambda: limits.set_share(_NAME, share.fraction, share.until)

    def _post(self, deliver: typing.Callable[[], None]) -> None:
        late = self.rng.uniform(0.0, self.delay)
        self.messages.append((self.clock.now() + late, deliver))

    def _measure(self, now: float) -> None:
        self.sums.append(
            sum(
                self.limits[name].get_fraction(_NAME, now)
                for name in self.names
            )
        )
        self.in_progress.append(sum(len(o) for o in self.open.values()))

    def part(self, name: str) -> float:
        return self.limits[name].get_fraction(_NAME, self.clock.now())


@behave.given(
    '{count:d} VMs with an aggregator, messages late by up to {delay:d} '
    'seconds, seed {seed:d}'
)
def step_aggregator(
    context: typing.Any, count: int, delay: int, seed: int
) -> None:
    context.vms = _Vms(count, delay, seed)


@behave.given(
    'a workspace limited to {concurrency:d} requests in progress and '
    '{rate:d} a second'
)
def step_limited(context: typing.Any, concurrency: int, rate: int) -> None:
    context.vms.limit(concurrency, rate)


@behave.when('the demand moves from VM to VM for {seconds:d} seconds')
def step_moves(context: typing.Any, seconds: int) -> None:
    vms = context.vms
    context.settled = []
    for number in range(seconds // 20):
        busy = vms.rng.sample(vms.names, number + 1)
        vms.wanted = {name: 1.5 / len(busy) for name in busy}
        vms.run(20)
        end = vms.clock.now()
        began = sum(1 for at in vms.began if at > end - 10)
        context.settled.append(began / (10 * vms.rate))


@behave.then('at no time do the shares in force add up to more than the limit')
def step_sum(context: typing.Any) -> None:
    assert max(context.vms.sums) <= 1 + 1e-9, max(context.vms.sums)


@behave.then('at no time are more than {count:d} requests in progress')
def step_in_progress(context: typing.Any, count: int) -> None:
    assert max(context.vms.in_progress) <= count, max(context.vms.in_progress)


@behave.then(
    'after 10 seconds with the same demand it gets at least {part:d}% of the '
    'limit'
)
def step_settled(context: typing.Any, part: int) -> None:
    assert min(context.settled) >= part / 100, context.settled


@behave.when('all VMs want the whole limit for {seconds:d} seconds')
def step_all_want(context: typing.Any, seconds: int) -> None:
    vms = context.vms
    vms.wanted = {name: 1.0 for name in vms.names}
    vms.run(seconds)


@behave.when('vm-3 is cut off for {seconds:d} seconds')
def step_cut(context: typing.Any, seconds: int) -> None:
    context.vms.cut = {'vm-3'}
    context.vms.run(seconds)


@behave.when('every VM is cut off for {seconds:d} seconds')
def step_cut_all(context: typing.Any, seconds: int) -> None:
    context.vms.cut = set(context.vms.names)
    context.vms.run(seconds)


@behave.then('vm-3 may use an eighth of the limits')
def step_eighth(context: typing.Any) -> None:
    assert context.vms.part('vm-3') == 1 / 8


@behave.then('each VM may use an eighth of the limits')
def step_each_eighth(context: typing.Any) -> None:
    assert {context.vms.part(name) for name in context.vms.names} == {1 / 8}


@behave.then('the shares of the other VMs add up to at most seven eighths')
def step_others(context: typing.Any) -> None:
    vms = context.vms
    total = sum(vms.part(name) for name in vms.names if name != 'vm-3')
    assert 0.8 <= total <= 7 / 8 + 1e-9, total


@behave.given('demands of {demands}')
def step_demands(context: typing.Any, demands: str) -> None:
    context.amounts = {
        f'vm-{number}': float(amount)
        for number, amount in enumerate(demands.split())
    }


@behave.when('they are divided with {slots:d} in progress')
def step_divide(context: typing.Any, slots: int) -> None:
    allocator = callers.ShareAllocator()
    now = 0.0
    shares: dict[str, callers.Share] = {}
    # The second round follows the confirmation of the first.
    for _ in range(3):
        demands = {
            name: callers.Demand(amount, shares.get(name))
            for name, amount in context.amounts.items()
        }
        shares = allocator.allocate(demands, list(context.amounts), slots, now)
        now += 1.0
    context.shares = shares


@behave.then('the parts are {parts}')
def step_parts(context: typing.Any, parts: str) -> None:
    found = [share.fraction for share in context.shares.values()]
    by_name = sorted(context.shares.items())
    found = [share.fraction for _, share in by_name]
    expected = [float(part) for part in parts.split()]
    close = [abs(f - e) < 0.006 for f, e in zip(found, expected)]
    assert all(close) and len(found) == len(expected), found
