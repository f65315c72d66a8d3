"""Steps for crashes of targets and the requests blamed for them."""

from __future__ import annotations

import typing

import anyio
import behave

from laburnumstep import core
from laburnumstep import fleet
from laburnumstep import siblings
from laburnumstep import targets
from laburnumstep.targets import _culprits
from support import clocks

MODEL = 'm'


class EvaluationCounter(core.Metrics):
    """Counts how often a ledger explains its crashes."""

    def __init__(self) -> None:
        super().__init__(None, '')
        self.count_so_far = 0

    def set_gauge(self, name: str, value: float) -> None:
        """Count the gauge, which is set after each explanation."""
        assert name == 'routing.culprits', name
        self.count_so_far += 1


def make_traits(text: str) -> targets.Traits:
    names = text.split()
    parts = [name for name in names if not name.startswith('#')]
    return targets.list_part_traits(MODEL, parts) | {
        targets.WholeRequest(name) for name in names if name not in parts
    }


def get_ledger(context: typing.Any) -> targets.CrashLedger:
    """Return the ledger of the scenario; its clock starts at 0 s."""
    if not hasattr(context, 'ledger'):
        context.clock = core.ManualClock()
        context.start = context.clock.now()
        context.evaluations = EvaluationCounter()
        context.ledger = targets.CrashLedger(
            context.clock, context.evaluations
        )
        context.reports = []
    return context.ledger


def advance_to(context: typing.Any, seconds: float) -> float:
    """Advance the clock to a time of the scenario unless it has passed."""
    at = context.start + seconds
    context.clock.advance(max(0.0, at - context.clock.now()))
    return at


def record_crash(
    context: typing.Any, target: str, at: float, requests: str, sent: float
) -> None:
    ledger = get_ledger(context)
    crashed_at = advance_to(context, at)
    report = targets.CrashReport(
        target,
        crashed_at,
        context.start + sent,
        tuple(make_traits(parts) for parts in requests.split('/')),
    )
    context.reports.append(report)
    ledger.record(report)


@behave.given('target "{target}" crashes at {at:g} s with "{requests}"')
@behave.when('target "{target}" crashes at {at:g} s with "{requests}"')
def step_crash(
    context: typing.Any, target: str, at: float, requests: str
) -> None:
    record_crash(context, target, at, requests, at - 1)


@behave.given(
    'target "{target}" crashes at {at:g} s with "{requests}" sent at'
    ' {sent:g} s'
)
def step_crash_sent(
    context: typing.Any, target: str, at: float, requests: str, sent: float
) -> None:
    record_crash(context, target, at, requests, sent)


@behave.given(
    '{count:d} targets crash every {pause:d} s with "{part}" and other parts'
)
def step_crashes(
    context: typing.Any, count: int, pause: int, part: str
) -> None:
    for number in range(1, count + 1):
        step_crash(context, f'e{number}', number * pause, f'{part} o{number}')


@behave.given('a target survives "{parts}" at {at:g} s')
@behave.when('a target survives "{parts}" at {at:g} s')
def step_survival(context: typing.Any, parts: str, at: float) -> None:
    ledger = get_ledger(context)
    advance_to(context, at)
    ledger.record_survival(make_traits(parts))


def is_accepted(ledger: targets.CrashLedger, parts: str) -> bool:
    return ledger.admit(make_traits(parts)) is None


@behave.then('requests "{requests}" are {decision:w}')
def step_decision(context: typing.Any, requests: str, decision: str) -> None:
    for parts in requests.split(','):
        found = is_accepted(context.ledger, parts)
        assert found == (decision == 'accepted'), (
            parts,
            context.ledger.culprits,
        )


@behave.then('a VM that does not own the culprit refuses "{parts}"')
def step_other_vm(context: typing.Any, parts: str) -> None:
    other = targets.CrashLedger(context.clock, may_probe=lambda name: False)
    for report in context.reports:
        other.merge(report)
    assert not is_accepted(other, parts)


@behave.then('of {count:d} requests "{parts}" {accepted:d} is accepted')
@behave.then('of {count:d} requests "{parts}" {accepted:d} are accepted')
def step_accepted(
    context: typing.Any, count: int, parts: str, accepted: int
) -> None:
    found = [is_accepted(context.ledger, parts) for _ in range(count)]
    assert sum(found) == accepted, (found, context.ledger.culprits)


class EvidenceBus:
    """Delivers entries to all VMs, and earlier ones to VMs that join."""

    def __init__(self) -> None:
        self.entries: list[siblings.GossipEntry] = []
        self._listeners: list[typing.Callable[..., None]] = []

    def publish(
        self,
        kind: siblings.EntryKind,
        subject: str,
        data: bytes,
        expires_at: float,
    ) -> None:
        entry = siblings.GossipEntry(
            kind, subject, 'vm', 1, siblings.DataValue(data), expires_at
        )
        self.entries.append(entry)
        for listener in list(self._listeners):
            listener(entry)

    def subscribe(
        self, kind: siblings.EntryKind, listener: typing.Callable[..., None]
    ) -> None:
        self._listeners.append(listener)
        for entry in self.entries:
            listener(entry)


def add_vm(context: typing.Any, name: str) -> None:
    ledger = targets.CrashLedger(context.clock)
    fleet.CrashExchange(ledger, context.bus)
    context.ledgers[name] = ledger


@behave.given('VMs "{first}" and "{second}" that exchange evidence')
def step_vms(context: typing.Any, first: str, second: str) -> None:
    context.clock = core.ManualClock()
    context.bus = EvidenceBus()
    context.ledgers = {}
    for name in (first, second):
        add_vm(context, name)


@behave.when('VM "{name}" sees target "{target}" crash with "{parts}"')
def step_vm_crash(
    context: typing.Any, name: str, target: str, parts: str
) -> None:
    context.clock.advance(2)
    now = context.clock.now()
    report = targets.CrashReport(target, now, now - 1, (make_traits(parts),))
    context.ledgers[name].record(report)


@behave.when('VM "{name}" starts again')
def step_restart(context: typing.Any, name: str) -> None:
    add_vm(context, name)


@behave.when('VM "{name}" sees a target survive "{parts}"')
def step_vm_survival(context: typing.Any, name: str, parts: str) -> None:
    context.clock.advance(1)
    context.ledgers[name].record_survival(make_traits(parts))


@behave.when(
    'an operator of VM "{name}" refuses "{parts}" for {seconds:d} seconds'
)
def step_refuse(
    context: typing.Any, name: str, parts: str, seconds: int
) -> None:
    context.clock.advance(1)
    until = context.clock.now() + seconds
    context.ledgers[name].refuse(make_traits(parts), until)


@behave.when('an operator of VM "{name}" clears "{parts}"')
def step_clear(context: typing.Any, name: str, parts: str) -> None:
    context.clock.advance(1)
    context.ledgers[name].clear(make_traits(parts))


@behave.when('VM "{name}" receives the evidence {data}')
def step_evidence(context: typing.Any, name: str, data: str) -> None:
    kind = siblings.EntryKind.CRASH
    if data == 'nested':
        data = '[' * 4000
    for _ in range(2):
        context.clock.advance(1)
        until = context.clock.now() + 60
        context.bus.publish(kind, 'crash', data.encode(), until)


@behave.then('VMs "{names}" {decision:w} "{parts}"')
def step_vm_decision(
    context: typing.Any, names: str, decision: str, parts: str
) -> None:
    for name in names.split(', '):
        found = is_accepted(context.ledgers[name], parts)
        assert found == (decision == 'accept'), name


def make_monitor(context: typing.Any) -> targets.CrashMonitor:
    get_ledger(context)
    context.clock = clocks.ObservedClock()
    context.reported = []
    context.ledger = targets.CrashLedger(context.clock)
    context.ledger.subscribe(context.reported.append)
    context.answers = []

    async def is_refusing(target: str, deadline: float) -> bool:
        return context.answers.pop(0)

    context.monitor = targets.CrashMonitor(
        context.ledger, is_refusing, context.clock, core.Metrics(None, 'test')
    )
    return context.monitor


@behave.given('a request "{parts}" on target "{target}" with {progress}')
def step_request(
    context: typing.Any, parts: str, target: str, progress: str
) -> None:
    running = make_monitor(context).running
    running.add(target, 'r', make_traits(parts))
    context.target = target
    match progress:
        case 'an event':
            running.record_progress(target, 'r')
        case 'events for a second':
            running.record_progress(target, 'r')
            context.clock.advance(1)
            running.record_progress(target, 'r')
        case 'a complete answer':
            running.remove(target, 'r', complete=True)


@behave.given('requests "{first}" and "{second}" on target "{target}"')
def step_requests(
    context: typing.Any, first: str, second: str, target: str
) -> None:
    running = make_monitor(context).running
    running.add(target, 'r1', make_traits(first))
    running.add(target, 'r2', make_traits(second))
    context.target = target


async def observe(context: typing.Any, times: int) -> None:
    """Let the monitor observe a break and wait until it has decided."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(context.monitor.run)
        for _ in range(times):
            context.monitor.observe_break(context.target)
        tasks.start_soon(advance_for_recheck, context)
        await context.monitor.wait_confirmed([context.target])
        tasks.cancel_scope.cancel()


async def advance_for_recheck(context: typing.Any) -> None:
    await context.clock.wait_for_sleeps(1)
    context.clock.advance(1)


@behave.when('the target breaks off, and then {connections}')
def step_break(context: typing.Any, connections: str) -> None:
    match connections:
        case 'refuses connections':
            context.answers = [True]
        case 'accepts connections':
            context.answers = [False, False]
        case 'accepts one and refuses later':
            context.answers = [False, True]
        case _:
            raise ValueError(connections)
    clocks.run_bounded(context, observe, context, 1)


@behave.when(
    'both observe that the target breaks off, and it refuses connections'
)
def step_both_break(context: typing.Any) -> None:
    context.answers = [True]
    clocks.run_bounded(context, observe, context, 2)


@behave.then('the monitor reports {count:d} crashes')
def step_reports(context: typing.Any, count: int) -> None:
    assert len(context.reported) == count, context.reported


@behave.then('one crash is reported with "{requests}"')
def step_report(context: typing.Any, requests: str) -> None:
    (report,) = context.reported
    expected = [make_traits(parts) for parts in requests.split('/')]
    assert list(report.requests) == expected, report


class CountedTraits(frozenset):
    """Traits of a suspect; counts how often they are compared."""

    comparisons = 0

    def __and__(self, other: typing.Any) -> typing.Any:
        CountedTraits.comparisons += 1
        return frozenset.__and__(self, other)


@behave.given(
    '{count:d} incidents with {suspects:d} suspects each, of which one has the'
    ' part "{part}"'
)
def step_incidents(
    context: typing.Any, count: int, suspects: int, part: str
) -> None:
    CountedTraits.comparisons = 0
    context.incidents = []
    for number in range(count):
        requests = {
            CountedTraits(make_traits(f'#{number}-{other}'))
            for other in range(1, suspects)
        }
        requests.add(CountedTraits(make_traits(f'{part} #{number}-0')))
        context.incidents.append(
            _culprits.Incident(
                float(number), frozenset(['e']), frozenset(requests)
            )
        )


@behave.when('the incidents are explained')
def step_explain(context: typing.Any) -> None:
    context.explanations = _culprits.explain_incidents(context.incidents)


@behave.then('the part "{part}" explains {count:d} of them')
def step_explained(context: typing.Any, part: str, count: int) -> None:
    found = [(item.traits, item.incidents) for item in context.explanations]
    assert found == [(make_traits(part), count)], found


@behave.then('at most {count:d} comparisons were made for each suspect')
def step_comparisons(context: typing.Any, count: int) -> None:
    suspects = sum(len(item.requests) for item in context.incidents)
    assert CountedTraits.comparisons <= count * suspects, (
        CountedTraits.comparisons
    )


@behave.when('a target survives each of the other parts')
def step_survivals(context: typing.Any) -> None:
    before = context.evaluations.count_so_far
    for number in range(len(context.reports)):
        step_survival(context, f'o{number + 1}', 31 + number)
        assert is_accepted(context.ledger, f'o{number + 1}')
    context.explained = context.evaluations.count_so_far - before


@behave.then('the crashes were explained at most {count:d} times meanwhile')
def step_explained_times(context: typing.Any, count: int) -> None:
    assert context.explained <= count, context.explained
