"""Steps for the budget of what is held for callers."""

from __future__ import annotations

import random
import typing

import behave

from laburnumstep.transport import _caller_budget

KB = 1000
START = 1000.0
LIMITS = _caller_budget.CallerLimits(1000 * KB, 9, 12)
TIMEOUTS = _caller_budget.CallerTimeouts(4.0, 16.0)
Phase = _caller_budget.Phase


class _Connections:
    """Connections by number, and the decisions about them."""

    def __init__(self) -> None:
        self.budget = _caller_budget.CallerBudget(LIMITS)
        self.holders: list[_caller_budget.Holder] = []
        self.actions: list[_caller_budget.Action] = []
        self.now = START

    def open(self, descriptor: int = 0) -> _caller_budget.Holder:
        holder, actions = self.budget.open(self.now, descriptor)
        self.holders.append(holder)
        self.actions = actions
        self.now += 0.001
        return holder

    def hold(
        self, holder: _caller_budget.Holder, kind: str, size: int
    ) -> None:
        """Let a connection hold bytes in addition to its own memory."""
        output = size if kind == 'unread' else 0
        phase = Phase.RUNNING if kind == 'unread' else Phase(kind)
        budget = self.budget
        self.actions = budget.record(
            holder, phase, size - output, output, self.now
        )

    def describe(self) -> str:
        return ','.join(self._describe(a) for a in self.actions) or 'none'

    def _describe(self, action: _caller_budget.Action) -> str:
        number = self.holders.index(action.holder) + 1
        match action:
            case _caller_budget.PauseReading():
                return f'pause {number}'
            case _caller_budget.ResumeReading():
                return f'resume {number}'
            case _caller_budget.Refuse(status=status):
                return f'{status} {number}'
            case _caller_budget.Close():
                return f'close {number}'

    def sum_held(self) -> int:
        return sum(holder.held_bytes for holder in self.holders)


@behave.given('these connections: {text}')
def step_connections(context: typing.Any, text: str) -> None:
    context.connections = connections = _Connections()
    for item in text.split(', '):
        _, kind, size = item.split(' ')
        connections.hold(connections.open(), kind, int(size) * KB)


@behave.when('connection {number:d} holds {size:d} KB')
def step_hold(context: typing.Any, number: int, size: int) -> None:
    connections = context.connections
    holder = connections.holders[number - 1]
    kind = 'unread' if holder.output_bytes else holder.phase.value
    connections.hold(holder, kind, size * KB)


@behave.then('the decisions are {decisions}')
def step_decisions(context: typing.Any, decisions: str) -> None:
    assert context.connections.describe() == decisions, (
        context.connections.describe()
    )


@behave.then('what is held is the sum of the open connections')
def step_sum(context: typing.Any) -> None:
    connections = context.connections
    assert connections.budget.held_bytes == connections.sum_held()


@behave.when('a request of connection {number:d} begins')
def step_begin(context: typing.Any, number: int) -> None:
    connections = context.connections
    context.may_run, connections.actions = connections.budget.begin_request(
        connections.holders[number - 1], connections.now
    )


@behave.then('it {result} and the decisions are {decisions}')
def step_result(context: typing.Any, result: str, decisions: str) -> None:
    assert context.may_run == (result == 'runs')
    step_decisions(context, decisions)


@behave.given('small requests until one is refused')
def step_small(context: typing.Any) -> None:
    limits = _caller_budget.CallerLimits(1000 * KB, 500, 1000)
    budget = _caller_budget.CallerBudget(limits)
    context.before: list[_caller_budget.Holder] = []
    while True:
        holder, actions = budget.open(START)
        actions += budget.record(holder, Phase.RUNNING, 200, 0, START)
        may_run, more = budget.begin_request(holder, START)
        # Where even a connection finds no room, the new one is closed.
        assert all(a.holder is holder for a in actions + more), actions
        if not may_run:
            return
        context.before.append(holder)


@behave.then('the requests before it go on')
def step_go_on(context: typing.Any) -> None:
    assert len(context.before) == 18, len(context.before)
    assert not any(holder.is_shed for holder in context.before)


@behave.given('{count:d} connections that are {phase}')
def step_many(context: typing.Any, count: int, phase: str) -> None:
    context.connections = connections = _Connections()
    for _ in range(count):
        connections.hold(connections.open(), phase, KB)


@behave.when('another connection opens with descriptor {descriptor:d}')
def step_open(context: typing.Any, descriptor: int) -> None:
    context.connections.open(descriptor)


@behave.when('{seconds:g} seconds pass')
def step_pass(context: typing.Any, seconds: float) -> None:
    connections = context.connections
    connections.now += seconds
    connections.actions = connections.budget.check(connections.now, TIMEOUTS)


@behave.when(
    'its peer accepts a byte every {seconds:d} seconds, {count:d} times'
)
def step_slow(context: typing.Any, seconds: int, count: int) -> None:
    connections = context.connections
    holder = connections.holders[0]
    found: list[_caller_budget.Action] = []
    for number in range(count):
        connections.now += seconds
        found += connections.budget.record_output(
            holder, 100 * KB, 200 * KB - number, connections.now
        )
        found += connections.budget.check(connections.now, TIMEOUTS)
    connections.actions = found


@behave.when('connection {number:d} is closed by its caller')
def step_close(context: typing.Any, number: int) -> None:
    connections = context.connections
    connections.actions = connections.budget.close(
        connections.holders[number - 1], connections.now
    )


@behave.then('nothing is held after all have closed')
def step_nothing(context: typing.Any) -> None:
    connections = context.connections
    for holder in connections.holders:
        connections.budget.close(holder, connections.now)
    assert connections.budget.held_bytes == 0
    assert connections.budget.connections == 0


@behave.when('{count:d} random events are recorded with seed {seed:d}')
def step_random(context: typing.Any, count: int, seed: int) -> None:
    rng = random.Random(seed)
    context.connections = connections = _Connections()
    context.found = []
    budget = connections.budget
    for _ in range(count):
        event = rng.random()
        holder = rng.choice(connections.holders or [connections.open()])
        connections.now += rng.random()
        if event < 0.2:
            connections.open(rng.randrange(14))
        elif event < 0.6:
            kind = rng.choice(['idle', 'head', 'body', 'running', 'unread'])
            connections.hold(holder, kind, rng.randrange(400) * KB)
        elif event < 0.75:
            budget.begin_request(holder, connections.now)
        elif event < 0.85:
            budget.end_request(holder)
        elif event < 0.95:
            budget.check(connections.now, TIMEOUTS)
        else:
            budget.close(holder, connections.now)
        context.found.append((budget.held_bytes, connections.sum_held()))


@behave.then(
    'what was held was always the sum of the open connections and within the'
    ' budget'
)
def step_consistent(context: typing.Any) -> None:
    for held, total in context.found:
        assert held == total <= LIMITS.max_bytes, (held, total)


@behave.when('limits are made for {memory} bytes and {count} descriptors')
def step_limits(context: typing.Any, memory: str, count: str) -> None:
    context.limits = _caller_budget.make_limits(
        None if memory == 'none' else int(memory),
        None if count == 'none' else int(count),
    )


@behave.then('the budget is {size:d} bytes for {count:d} connections')
def step_budget(context: typing.Any, size: int, count: int) -> None:
    limits = context.limits
    assert limits.max_bytes == size, limits
    assert limits.max_connections == count, limits
