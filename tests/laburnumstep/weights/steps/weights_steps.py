"""Steps for fetches from the weight store."""

from __future__ import annotations

import contextlib
import time

import anyio
import behave

from laburnumstep import core
from laburnumstep import log
from laburnumstep import transport
from laburnumstep import weights
from laburnumstep_standins import log as log_standin
from laburnumstep_standins import weights as weights_standin
from support import hooks
from support import orders_harness


class Fleet:
    """VMs that fetch weights from one store, with permits from one log."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.tasks = tasks
        self.clock = core.ManualClock(time.time())
        self.log = log_standin.LogStandIn(self.clock)
        self.store = weights_standin.WeightStandIn(self.clock, 1.0)
        self.clocks = []
        self.fetchers = []
        self.permits = []
        self.completed = 0
        self.address = ''

    def add_vm(self, log_address: str, store_address: str) -> None:
        clock = orders_harness.PausableClock(self.clock)
        name = f'vm-{len(self.clocks)}'
        client = log.LogClient(log_address, clock)
        permits = weights.FetchPermits(client, name, clock, 1.0)
        store = weights.WeightClient(store_address)
        self.clocks.append(clock)
        self.permits.append(permits)
        self.fetchers.append(weights.WeightFetcher(store, permits, clock))

    async def fetch(self, vm: int, model: str, is_wanted=lambda: True):
        accepted = await self.fetchers[vm].fetch(model, '1', 'gang', is_wanted)
        self.completed += 1
        return accepted

    async def advance_clock(self) -> None:
        """Advance the clock, with requests that let those of the VMs end."""
        self.clock.advance(0.05)
        client = transport.JsonClient(self.address)
        for _ in range(3):
            await client.request('GET', '/fetches', time.time() + 5)
        await client.close()

    async def run_until(self, condition) -> None:
        with anyio.fail_after(orders_harness.TIMEOUT_SECONDS):
            while not condition():
                await self.advance_clock()

    async def run_for(self, seconds: float) -> None:
        until = self.clock.now() + seconds
        await self.run_until(lambda: self.clock.now() >= until)


@contextlib.asynccontextmanager
async def run_fleet(count: int):
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks)
        async with (
            transport.serve_app(fleet.log.app) as log_server,
            transport.serve_app(fleet.store.app) as store_server,
        ):
            fleet.address = store_server.address
            for _ in range(count):
                fleet.add_vm(log_server.address, store_server.address)
            yield fleet
            tasks.cancel_scope.cancel()


def set_faults(context, stand_in: str, **faults) -> None:
    server = getattr(context.fleet, stand_in)
    context.portal.call(lambda: server.set_faults(**faults))


@behave.given('{count:d} VMs and a weight store that allows 1 fetch a second')
def step_fleet(context, count: int) -> None:
    context.fleet = hooks.enter_context(context, run_fleet(count))
    context.fault_end = None


@behave.given('nothing fails')
def step_nothing(context) -> None:
    pass


@behave.given("the permits' log loses the next 3 replies")
def step_log_loses(context) -> None:
    set_faults(context, 'log', lost_replies=3)


@behave.given("the permits' log is down for the first second")
def step_log_down(context) -> None:
    set_faults(context, 'log', outage=True)
    context.fault_end = (1, lambda: set_faults(context, 'log', outage=False))


@behave.given('the store is down for the first 20 seconds')
def step_store_down_first(context) -> None:
    set_faults(context, 'store', outage=True)
    context.fault_end = (
        20,
        lambda: set_faults(context, 'store', outage=False),
    )


@behave.given('the store is down')
def step_store_down(context) -> None:
    set_faults(context, 'store', outage=True)


@behave.given('the store refuses the first 3 fetches')
def step_store_refuses(context) -> None:
    set_faults(context, 'store', refusals=3)


@behave.given('a malformed permit is in the log')
def step_malformed(context) -> None:
    stream = context.fleet.log.get_stream(log.LEASES_STREAM)
    records = [7, {'type': 'fetch'}, {'type': 'acquire'}]
    context.portal.call(stream.append, records)


@behave.when('each VM fetches 4 models at once')
def step_fetch_all(context) -> None:
    fleet = context.fleet

    async def start():
        for vm in range(3):
            for number in range(4):
                fleet.tasks.start_soon(fleet.fetch, vm, f'model-{number}')

    context.portal.call(start)
    if context.fault_end is not None:
        seconds, end_fault = context.fault_end
        context.portal.call(fleet.run_for, seconds)
        end_fault()
    context.portal.call(fleet.run_until, lambda: fleet.completed == 12)


@behave.then('12 fetches were allowed and none exceeded the rate')
def step_allowed(context) -> None:
    assert len(context.fleet.store.fetches) == 12
    assert context.fleet.store.excess == 0, context.fleet.store.excess


@behave.when('a VM is paused with a permit and resumes 20 seconds later')
def step_paused(context) -> None:
    fleet = context.fleet
    stream = fleet.log.get_stream(log.LEASES_STREAM)

    async def start():
        # The first permit is valid at once; the second one has to wait.
        fleet.tasks.start_soon(fleet.fetch, 0, 'first')
        await fleet.run_until(lambda: fleet.completed == 1)
        fleet.tasks.start_soon(fleet.fetch, 0, 'late')
        await stream.wait_beyond(1, orders_harness.TIMEOUT_SECONDS)
        fleet.clocks[0].pause()
        await fleet.run_for(20)
        fleet.tasks.start_soon(fleet.fetch, 1, 'other')
        await fleet.run_until(lambda: fleet.completed == 2)
        context.permits = stream.end
        fleet.clocks[0].resume()
        await fleet.run_until(lambda: fleet.completed == 3)
        context.permits = stream.end - context.permits

    context.portal.call(start)


@behave.then('its fetch uses a new permit and none exceeded the rate')
def step_new_permit(context) -> None:
    assert context.permits == 1, context.permits
    assert context.fleet.store.excess == 0


@behave.when('a waiting fetch is cancelled')
def step_cancel(context) -> None:
    fleet = context.fleet
    needed = [True]

    async def run():
        results = []

        async def fetch():
            results.append(await fleet.fetch(0, 'm', lambda: needed[0]))

        fleet.tasks.start_soon(fetch)
        await fleet.run_for(3)
        needed[0] = False
        await fleet.run_until(lambda: fleet.completed == 1)
        context.results = results

    context.portal.call(run)


@behave.then('the fetch ends without the weights')
def step_without(context) -> None:
    assert context.results == [False]


@behave.given(
    'a schedule of one fetch in {interval:d} seconds with {count:d} permits'
    ' reserved'
)
def step_schedule(context, interval: int, count: int) -> None:
    context.schedule = weights.FetchSchedule(float(interval))
    for _ in range(count):
        context.schedule.apply(1000.0)


@behave.then(
    'the next permit waits {seconds:d} seconds, and then there is none'
)
def step_next_permits(context, seconds: int) -> None:
    assert context.schedule.apply(1000.0) == 1000.0 + seconds
    assert context.schedule.apply(1000.0) is None
