"""Steps for load reports that VMs share."""

from __future__ import annotations

import typing

import anyio
import anyio.lowlevel
import attrs
import behave

from laburnumstep import core
from laburnumstep import fleet
from laburnumstep import siblings
from laburnumstep import targets
from support import clocks
from support import fleets

PASSES = 20


@attrs.define(eq=False)
class SharingVM:
    """One VM; implements `fleet.LoadSiblings`."""

    fleet: SharingFleet
    name: str
    data_centre: str
    sent: int = 0
    applied: dict[str, targets.LoadReport] = attrs.field(factory=dict)
    sends: list[tuple[str, int]] = attrs.field(factory=list)
    sharing: fleet.LoadSharing = attrs.field(init=False)

    def rank_neighbours(
        self, subject: str, data_centre: str = ''
    ) -> list[siblings.Member]:
        return self.fleet.rank(subject, data_centre or self.data_centre)

    def list_data_centres(self) -> list[str]:
        return sorted({vm.data_centre for vm in self.fleet.vms.values()})

    def send_loads(
        self, addresses: list[str], message: siblings.EngineLoads
    ) -> None:
        for address in addresses:
            self.sent += 1
            self.fleet.vms[address].sharing.receive(message)

    def apply_send(self, target: str, send: targets.SiblingSend) -> None:
        self.sends.append((target, send.prompt_tokens))

    def apply(self, target: str, report: targets.LoadReport) -> None:
        # Like the view of a VM, ignores a report older than the known one.
        known = self.applied.get(target)
        if known is None or known.measured_at <= report.measured_at:
            self.applied[target] = report


class SharingFleet:
    """VMs and engines, evenly spread over data centres."""

    def __init__(self, vms: int, engines: int, centres: int) -> None:
        self.clock = clocks.ObservedClock()
        names = [f'centre-{number}' for number in range(centres)]
        self.engines: dict[str, core.Target] = {
            f'engine-{number}': core.EngineTarget(
                f'engine-{number}',
                names[number % centres],
                f'10.0.0.{number}:1',
                [fleets.MODEL],
                1000,
                checks_fence=False,
            )
            for number in range(engines)
        }
        self.vms: dict[str, SharingVM] = {}
        self._ranks: dict[tuple[str, str], list[siblings.Member]] = {}
        for number in range(vms):
            vm = SharingVM(self, f'vm-{number}', names[number % centres])
            vm.sharing = fleet.LoadSharing(
                vm.name, vm, self.engines.get, self.clock
            )
            vm.sharing.subscribe(vm.apply, vm.apply_send)
            self.vms[vm.name] = vm

    def rank(self, subject: str, data_centre: str) -> list[siblings.Member]:
        key = (subject, data_centre)
        if key not in self._ranks:
            names = [
                vm.name
                for vm in self.vms.values()
                if vm.data_centre == data_centre
            ]
            self._ranks[key] = [
                siblings.Member(
                    name, name, data_centre, siblings.MemberState.LIVE, []
                )
                for name in core.rank_by_rendezvous(subject, names)
            ]
        return self._ranks[key]

    def list_readers(self, engine: str) -> list[SharingVM]:
        return [
            vm
            for vm in self.vms.values()
            if vm.sharing.find_interval(engine) is not None
        ]

    def distribute(self) -> None:
        for vm in self.vms.values():
            vm.sharing.distribute()


def make_report(running: int, measured_at: float) -> targets.LoadReport:
    return targets.LoadReport(
        measured_at, running, 0, 10, 1000, 0, [fleets.MODEL]
    )


@behave.given(
    '{vms:d} VMs and {engines:d} engines in {centres:d} data centres'
)
def step_fleet(
    context: typing.Any, vms: int, engines: int, centres: int
) -> None:
    async def create() -> None:
        context.fleet = SharingFleet(vms, engines, centres)

    context.portal.call(create)


@behave.then(
    'each engine is read by exactly one VM, which is in its data centre'
)
def step_one_reader(context: typing.Any) -> None:
    context.reads = dict.fromkeys(context.fleet.vms, 0)
    for name, engine in context.fleet.engines.items():
        (reader,) = context.fleet.list_readers(name)
        assert reader.data_centre == engine.data_centre, name
        context.reads[reader.name] += 1


@behave.then('no VM reads more than {limit:d} engines')
def step_spread(context: typing.Any, limit: int) -> None:
    assert max(context.reads.values()) <= limit, context.reads


@behave.then('the engines are read for others by {readers} VMs')
def step_readers(context: typing.Any, readers: str) -> None:
    found = [
        context.fleet.list_readers(name) for name in context.fleet.engines
    ]
    assert any(found) == (readers == 'some'), found


@behave.when('engine-3 is leaving')
def step_leaving(context: typing.Any) -> None:
    engine = context.fleet.engines['engine-3']
    context.fleet.engines['engine-3'] = attrs.evolve(engine, leaving=True)


@behave.then('engine-3 is read by no VM')
def step_unread(context: typing.Any) -> None:
    assert not context.fleet.list_readers('engine-3')


@behave.when(
    'the reader of each engine publishes a report with {running:d} running'
    ' requests'
)
def step_publish(context: typing.Any, running: int) -> None:
    async def publish() -> None:
        fleet = context.fleet
        for name in fleet.engines:
            (reader,) = fleet.list_readers(name)
            report = make_report(running, fleet.clock.now())
            reader.apply(name, report)
            reader.sharing.publish(name, report)
        fleet.distribute()

    context.running = running
    context.portal.call(publish)


@behave.then('every VM has the reports of all engines')
def step_complete(context: typing.Any) -> None:
    for vm in context.fleet.vms.values():
        running = {name: report.running for name, report in vm.applied.items()}
        expected = dict.fromkeys(context.fleet.engines, context.running)
        assert running == expected, (vm.name, running)


@behave.then('no VM has sent more than {limit:d} messages')
def step_messages(context: typing.Any, limit: int) -> None:
    sent = {vm.name: vm.sent for vm in context.fleet.vms.values()}
    assert max(sent.values()) <= limit, sent


@behave.when('another VM than its reader publishes a report of engine-3')
def step_other(context: typing.Any) -> None:
    async def publish() -> None:
        fleet = context.fleet
        (reader,) = fleet.list_readers('engine-3')
        other = next(vm for vm in fleet.vms.values() if vm is not reader)
        report = make_report(1, fleet.clock.now())
        other.sharing.publish('engine-3', report)
        fleet.distribute()

    context.portal.call(publish)


@behave.then('no message is sent')
def step_silent(context: typing.Any) -> None:
    assert not any(vm.sent for vm in context.fleet.vms.values())


@behave.when('the reader of engine-3 publishes a report, then an older one')
def step_older(context: typing.Any) -> None:
    async def publish() -> None:
        fleet = context.fleet
        (reader,) = fleet.list_readers('engine-3')
        now = fleet.clock.now()
        for running, age in ((2, 0.0), (1, 5.0)):
            report = make_report(running, now - age)
            reader.sharing.publish('engine-3', report)
        fleet.distribute()
        context.reader = reader.name

    context.portal.call(publish)


@behave.then('every other VM has the newer report')
def step_newer(context: typing.Any) -> None:
    newest = {
        vm.name: vm.applied['engine-3'].running
        for vm in context.fleet.vms.values()
        if vm.name != context.reader
    }
    assert newest and set(newest.values()) == {2}, newest


class CountingEngine:
    """Engine client that counts reads; finds itself by any name."""

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self.reads = 0

    def find(self, target: str) -> CountingEngine:
        return self

    async def read_load(self, deadline: float) -> targets.LoadReport:
        self.reads += 1
        return fleets.make_report(self._clock.now())

    async def read_cache_events(
        self, start: int, deadline: float
    ) -> typing.Any:
        raise AssertionError('cache events were read')


@attrs.define
class FixedSharing:
    """Says whether this VM reads; implements `targets.SharedReports`."""

    interval: float | None

    def find_interval(self, target: str) -> float | None:
        return self.interval

    def publish(self, target: str, report: targets.LoadReport) -> None:
        pass


class FollowerRun:
    """A follower of one engine on a clock that a script advances."""

    def __init__(self, interval: float | None) -> None:
        self.clock = clocks.ObservedClock()
        self.engine = CountingEngine(self.clock)
        self.reclaims: list[float] = []
        view = targets.FleetView(self.clock, 'lima-1')
        self.deployment = fleets.make_deployment(1)
        view.apply_deployment(self.deployment)
        self.follower = targets.LoadFollower(
            self.engine,
            view,
            self.clock,
            lambda target, reclaim_at: self.reclaims.append(reclaim_at),
            min_poll_seconds=4.0,
            cache_every=0,
            shared=FixedSharing(interval),
        )

    async def run(
        self, seconds: float, step: float, report: typing.Any = None
    ) -> None:
        async with anyio.create_task_group() as tasks:
            self.follower.apply_deployment(self.deployment, tasks)
            await self._settle()
            for _ in range(round(seconds / step)):
                self.clock.advance(step)
                await self._settle()
                if report is not None:
                    self.follower.apply_report('engine-0', report())
                    await self._settle()
            tasks.cancel_scope.cancel()

    async def _settle(self) -> None:
        for _ in range(PASSES):
            await anyio.lowlevel.checkpoint()


@behave.given('a follower of an engine that another VM reads')
def step_follows(context: typing.Any) -> None:
    context.run = FollowerRun(None)


@behave.given('a follower of an engine that this VM reads')
def step_reads(context: typing.Any) -> None:
    context.run = FollowerRun(fleet.READ_INTERVAL_SECONDS)


@behave.when('a shared report arrives every second for 20 seconds')
def step_arrive(context: typing.Any) -> None:
    run = context.run
    clocks.run_bounded(
        context,
        run.run,
        20.0,
        1.0,
        lambda: fleets.make_report(run.clock.now() - 0.8),
    )


@behave.when('5 seconds pass for the follower')
def step_time(context: typing.Any) -> None:
    clocks.run_bounded(context, context.run.run, 5.0, 0.05)


@behave.when('a shared report with a reclaim arrives 10 times within a second')
def step_reclaims(context: typing.Any) -> None:
    run = context.run
    clocks.run_bounded(
        context,
        run.run,
        1.0,
        0.1,
        lambda: attrs.evolve(
            fleets.make_report(run.clock.now()),
            reclaim_at=run.clock.now() + 2.0,
        ),
    )


@behave.then('the reclaim is announced once')
def step_announced(context: typing.Any) -> None:
    assert len(context.run.reclaims) == 1, context.run.reclaims


@behave.then('the follower has read the engine once')
def step_read_once(context: typing.Any) -> None:
    assert context.run.engine.reads == 1, context.run.engine.reads


@behave.then('the follower has read the engine at least {count:d} times')
def step_read_often(context: typing.Any, count: int) -> None:
    assert context.run.engine.reads >= count, context.run.engine.reads


@behave.when('a VM sends a request with {tokens:d} tokens to engine-3')
def step_send(context: typing.Any, tokens: int) -> None:
    async def send() -> None:
        fleet = context.fleet
        sender = fleet.vms['vm-7']
        sender.sharing.publish_send(
            targets.Send(
                'engine-3', 'g', 'w', 'm', tokens, 10.0, fleet.clock.now()
            )
        )
        fleet.distribute()

    context.portal.call(send)


@behave.then('{count:d} VMs count one send of {tokens:d} tokens to engine-3')
def step_counted(context: typing.Any, count: int, tokens: int) -> None:
    counted = {
        vm.name: vm.sends for vm in context.fleet.vms.values() if vm.sends
    }
    assert len(counted) == count, sorted(counted)
    assert 'vm-7' not in counted
    assert all(s == [('engine-3', tokens)] for s in counted.values()), counted


@behave.given(
    'an engine with a report of {tokens:d} tokens measured {age:g} seconds ago'
)
def step_engine(context: typing.Any, tokens: int, age: float) -> None:
    context.clock = clocks.ObservedClock()
    context.view = targets.FleetView(context.clock, 'lima-1')
    context.view.apply_deployment(fleets.make_deployment(1))
    context.view.record_report(
        'engine-0',
        fleets.make_report(context.clock.now() - age, 1, kv_used=tokens),
    )


@behave.when('siblings have sent {tokens:d} tokens {ago:g} seconds ago')
def step_sibling(context: typing.Any, tokens: int, ago: float) -> None:
    send = targets.SiblingSend(context.clock.now() - ago, tokens)
    context.view.record_sibling_send('engine-0', send)


@behave.when('nothing else happens')
def step_nothing(context: typing.Any) -> None:
    pass


@behave.when('a report of {tokens:d} tokens is {age:g} s old')
def step_report(context: typing.Any, tokens: int, age: float) -> None:
    context.view.record_report(
        'engine-0',
        fleets.make_report(context.clock.now() - age, 1, kv_used=tokens),
    )


@behave.when('no report arrives for {seconds:d} seconds')
def step_no_report(context: typing.Any, seconds: int) -> None:
    context.clock.advance(seconds)


@behave.then(
    'the engine has {tokens:d} tokens and {count:d} sends of siblings'
)
def step_load(context: typing.Any, tokens: int, count: int) -> None:
    state = context.view.find('engine-0')
    load = state.estimate_load(context.clock.now())
    assert load.kv_used == tokens, load
    assert load.sibling_sends == count, load


@behave.when(
    'siblings send {tokens:d} tokens every second for {seconds:d} seconds'
)
def step_many_sends(context: typing.Any, tokens: int, seconds: int) -> None:
    for _ in range(seconds):
        context.clock.advance(1.0)
        send = targets.SiblingSend(context.clock.now(), tokens)
        context.view.record_sibling_send('engine-0', send)


@behave.then('at most {count:d} sends of siblings are kept')
def step_kept(context: typing.Any, count: int) -> None:
    kept = context.view.find('engine-0').sibling_sends
    assert len(kept) <= count, len(kept)
