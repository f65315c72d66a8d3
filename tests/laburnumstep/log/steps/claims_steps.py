"""Steps for claims of request keys."""

from __future__ import annotations

import json
import time

import anyio
import behave

from laburnumstep import core
from laburnumstep import log
from support import claims_harness
from support import claims_schedule
from support import hooks

LARGE = 10**1100
"""Amount whose JSON text exceeds the largest answer of a settlement."""


class SlowClock:
    """A clock that is behind another clock by a constant time."""

    def __init__(self, clock: core.Clock, lag: float) -> None:
        self._clock = clock
        self._lag = lag

    def now(self) -> float:
        return self._clock.now() - self._lag

    async def sleep_until(self, deadline: float) -> None:
        await self._clock.sleep_until(deadline + self._lag)


async def append(harness, records) -> None:
    encoded = log.encode_claims(log.ForwardedRecords(0, records, 0))
    number = records[0].key.partition(log.PARTITIONS)
    stream = harness.log.get_stream(f'claims-{number:02}')
    stream.append(encoded['records'])


async def start_call(context, vm, name, **options) -> None:
    context.harness.start_call(vm, name, **options)


async def post(context, vm, name, **options) -> None:
    context.harness.start_call(vm, name, **options)
    await context.harness.wait_for_call(vm, name)


def make_key(context) -> core.RequestKey:
    """Return a new key of partition 7."""
    while True:
        key = core.RequestKey.new(context.harness.clock.now())
        if key.partition(log.PARTITIONS) == 7:
            return key


async def wait_for(wait) -> None:
    with anyio.fail_after(claims_harness.TIMEOUT_SECONDS):
        await wait()


def set_faults(context, stand_in: str, **faults) -> None:
    server = getattr(context.harness, stand_in)
    context.portal.call(lambda: server.set_faults(**faults))


@behave.given(
    'VMs "a", "b" and "c" that claim keys in a log of 1 append a second'
)
def step_slow_log(context) -> None:
    step_vms(context, 1.0)


@behave.given('VMs "a", "b" and "c" that claim keys')
def step_vms(context, appends_per_second: float = 300.0) -> None:
    harness = claims_harness.open_harness(appends_per_second)
    context.harness = hooks.enter_context(context, harness)
    for name in 'abc':
        context.portal.call(context.harness.add_vm, name)
    context.stop_points = {}


@behave.given('the posting service {query} the outcome of postings')
def step_query(context, query: str) -> None:
    context.harness.operation = core.Operation(False, query == 'tells')


@behave.given('the posting service loses its next reply')
def step_service_loses(context) -> None:
    set_faults(context, 'service', lost_replies=1)


@behave.given('the posting service forgets postings')
def step_service_hides_postings(context) -> None:
    set_faults(context, 'service', hide_postings=True)


@behave.given('the claims log is down')
def step_log_down(context) -> None:
    set_faults(context, 'log', outage=True)


@behave.when('the claims log is up')
def step_log_up(context) -> None:
    set_faults(context, 'log', outage=False)


@behave.given('the claims log loses the next {count:d} replies')
def step_log_loses(context, count: int) -> None:
    set_faults(context, 'log', lost_replies=count)


@behave.given('VM "{vm}" stops between claim and send')
def step_stop_before_send(context, vm: str) -> None:
    context.harness.vms[vm].claims.paused = True
    context.stop_points[vm] = context.harness.vms[vm].claims.claimed.wait


@behave.given('VM "{vm}" stops between send and reply')
def step_stop_before_reply(context, vm: str) -> None:
    set_faults(context, 'service', delayed=True)
    context.stop_points[vm] = context.harness.service.wait_for_arrival


@behave.given('the clock of VM "{vm}" is {seconds:d} seconds slow')
def step_slow_clock(context, vm: str, seconds: int) -> None:
    harness = context.harness
    clock = harness.clock
    harness.clock = SlowClock(clock, seconds)
    context.portal.call(harness.add_vm, vm)
    harness.clock = clock


@behave.given('VM "{owner}" owns every partition for VM "{vm}"')
def step_owner(context, owner: str, vm: str) -> None:
    context.forwarder = context.harness.vms[vm].forwarder
    context.forwarder.owner_name = owner


@behave.given('nothing fails')
def step_nothing(context) -> None:
    pass


@behave.given('the owner is not reached')
def step_owner_unreachable(context) -> None:
    context.forwarder.cut = True


@behave.given('the answers of the owner are lost')
def step_owner_loses(context) -> None:
    context.forwarder.lose_answers = True


@behave.given('the record {record} is in every claim stream')
def step_malformed(context, record: str) -> None:
    for number in range(log.PARTITIONS):
        stream = context.harness.log.get_stream(f'claims-{number:02}')
        context.portal.call(stream.append, [json.loads(record)])


@behave.when('VM "{vm}" posts "{name}"')
def step_post(context, vm: str, name: str) -> None:
    context.portal.call(post, context, vm, name)


@behave.when('VM "{vm}" posts "{name}" and the log goes down after the append')
def step_post_down(context, vm: str, name: str) -> None:
    async def post_down():
        number = context.harness.get_key(name).partition(log.PARTITIONS)
        stream = context.harness.log.get_stream(f'claims-{number:02}')
        context.harness.start_call(vm, name)
        await stream.wait_beyond(0, claims_harness.TIMEOUT_SECONDS)
        context.harness.log.set_faults(outage=True)
        await context.harness.wait_for_call(vm, name)

    context.portal.call(post_down)


@behave.when('VM "{vm}" posts "{name}" with another amount')
def step_post_other(context, vm: str, name: str) -> None:
    context.portal.call(lambda: post(context, vm, name, amount=2))


@behave.when('VM "{vm}" posts "{name}" with a large answer')
@behave.when('the large posting "{name}" is resent through VM "{vm}"')
def step_post_large(context, vm: str, name: str) -> None:
    context.portal.call(lambda: post(context, vm, name, amount=LARGE))


@behave.when('workspace "{workspace}" posts "{name}" through VM "{vm}"')
def step_post_workspace(context, workspace, name, vm) -> None:
    context.portal.call(lambda: post(context, vm, name, workspace=workspace))


@behave.when('VM "{vm}" starts posting "{name}"')
def step_start(context, vm: str, name: str) -> None:
    context.portal.call(start_call, context, vm, name)
    context.portal.call(wait_for, context.stop_points[vm])


@behave.when('VM "{vm}" dies')
def step_die(context, vm: str) -> None:
    context.dead = context.harness.vms[vm]
    context.portal.call(context.harness.kill, vm)


@behave.when('the service resumes')
def step_service_resumes(context) -> None:
    set_faults(context, 'service', delayed=False)
    if not context.dead.claims.paused:
        context.portal.call(wait_for, context.dead.ended['k'].wait)


@behave.when('VM "{vm}" resumes')
def step_resume(context, vm: str) -> None:
    context.portal.call(context.harness.vms[vm].claims.resumed.set)
    context.portal.call(context.harness.wait_for_call, vm, 'k')


@behave.when('releases and settlements are recorded')
def step_flush(context) -> None:
    context.portal.call(context.harness.flush)


@behave.when('{seconds:d} seconds pass')
def step_pass(context, seconds: int) -> None:
    context.portal.call(context.harness.clock.advance, seconds)


@behave.when('key "{name}" is issued {seconds:d} seconds ago')
def step_issue(context, name: str, seconds: int) -> None:
    issued_at = context.harness.clock.now() - seconds
    context.harness.keys[name] = core.RequestKey.new(issued_at)


@behave.when('VM "{vm}" reads a balance')
def step_read(context, vm: str) -> None:
    async def read():
        call = core.ServiceCall(
            core.RequestKey.new(time.time()),
            'clerks',
            'ledger',
            'balance',
            {},
            context.harness.clock.now() + 30,
        )
        runner = context.harness.vms[vm].runner
        operation = core.Operation(idempotent=True)
        return await runner.run(call, operation, [context.harness.target])

    context.read = context.portal.call(read)


@behave.then('the read is answered')
def step_read_answered(context) -> None:
    assert context.read.status == 200


@behave.when(
    'the claim and release of "{name}" are appended as claim, release, claim'
)
def step_late_claim(context, name: str) -> None:
    key = context.harness.get_key(name)
    claim = log.ClaimRecord(key, 'clerks', 'a', 'x', '')
    release = log.ReleaseRecord(key, 'x')
    context.portal.call(append, context.harness, [claim, release, claim])


@behave.when('x, y claim "{name}", x is released, and y is appended again')
def step_repeated_claim(context, name: str) -> None:
    key = context.harness.get_key(name)
    x = log.ClaimRecord(key, 'clerks', 'a', 'x', '')
    y = log.ClaimRecord(key, 'clerks', 'c', 'y', '')
    release = log.ReleaseRecord(key, 'x')
    context.portal.call(append, context.harness, [x, y, release, y])


@behave.when('VMs "a", "b" and "c" post "{name}" at once')
def step_at_once(context, name: str) -> None:
    async def post_concurrently():
        for vm in 'abc':
            context.harness.start_call(vm, name)
        for vm in 'abc':
            await context.harness.run_until(
                context.harness.vms[vm].ended[name]
            )

    context.portal.call(post_concurrently)


@behave.when(
    'VM "a" forwards a claim on "{name}" to VM "b", whose log goes down'
)
def step_forward_down(context, name: str) -> None:
    async def forward_down():
        key = context.harness.get_key(name)
        number = key.partition(log.PARTITIONS)
        claim = log.ClaimRecord(key, 'clerks', 'a', 'x', '')
        until = context.harness.clock.now() + 30
        batch = log.ForwardedRecords(number, [claim], until)
        stream = context.harness.log.get_stream(f'claims-{number:02}')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve_and_fail, batch)
            await stream.wait_beyond(0, claims_harness.TIMEOUT_SECONDS)
            context.harness.log.set_faults(outage=True)

    async def serve_and_fail(batch):
        try:
            await context.harness.vms['b'].book.handle_forwarded(batch)
        except core.CodedError as error:
            context.refusal = error

    context.portal.call(forward_down)
    assert context.refusal.code is core.ErrorCode.LOG_UNAVAILABLE


@behave.then('a claim of VM "{vm}" on "{name}" is answered as held')
def step_held(context, vm: str, name: str) -> None:
    key = context.harness.get_key(name)
    claim = context.harness.vms[vm].book.claim
    answer = context.portal.call(claim, key, 'clerks', key.expires_at)
    assert isinstance(answer, log.Held), answer


@behave.when('VM "{vm}" starts posting "{name}" and its caller disconnects')
def step_disconnect(context, vm: str, name: str) -> None:
    async def disconnect():
        book = context.harness.vms[vm].book
        key = context.harness.get_key(name)
        until = context.harness.clock.now() + 30
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(book.claim, key, 'clerks', until)
            number = key.partition(log.PARTITIONS)
            stream = context.harness.log.get_stream(f'claims-{number:02}')
            await stream.wait_beyond(0, claims_harness.TIMEOUT_SECONDS)
            tasks.cancel_scope.cancel()
        await book.find_outcome(key, 'clerks')

    context.portal.call(disconnect)
    context.portal.call(context.harness.flush)


@behave.when('VM "{vm}" posts {count:d} keys of one partition')
def step_post_many(context, vm: str, count: int) -> None:
    async def claim_many():
        book = context.harness.vms[vm].book
        for _ in range(count):
            key = make_key(context)
            await book.claim(key, 'clerks', key.expires_at)

    context.portal.call(claim_many)


@behave.when('VM "{vm}" posts a key of that partition')
def step_post_last(context, vm: str) -> None:
    key = make_key(context)
    book = context.harness.vms[vm].book
    context.portal.call(book.claim, key, 'clerks', key.expires_at)


@behave.then('the index of VM "{vm}" contains {count:d} key')
def step_index(context, vm: str, count: int) -> None:
    keys = context.harness.vms[vm].book.count_keys()
    assert keys == count, keys


@behave.then('the caller of "{vm}" receives "{answer}"')
def step_receives(context, vm: str, answer: str) -> None:
    received = context.harness.vms[vm].responses
    assert list(received.values())[-1] == answer, received


@behave.then('"{name}" took effect {count:d} times')
def step_effects(context, name: str, count: int) -> None:
    effects = context.harness.count_effects(name)
    assert effects == count, effects


@behave.when('VM "{vm}" claims {count:d} keys of one partition at once')
def step_claim_at_once(context, vm: str, count: int) -> None:
    async def claim(key):
        book = context.harness.vms[vm].book
        context.claim_answers.append(
            await book.claim(key, 'clerks', key.expires_at)
        )

    async def claim_at_once():
        stream = context.harness.log.get_stream('claims-07')
        append_records = stream.append
        context.appends = []

        def append_and_count(records):
            context.appends.append(len(records))
            return append_records(records)

        stream.append = append_and_count
        context.claim_answers = []
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(claim, make_key(context))

    context.portal.call(claim_at_once)


@behave.then('every claim is granted with at most {count:d} appends')
def step_batched(context, count: int) -> None:
    assert all(isinstance(a, log.Granted) for a in context.claim_answers)
    assert len(context.appends) <= count, context.appends


@behave.given('the append rate of the claims log is exhausted')
def step_exhaust_rate(context) -> None:
    async def exhaust_rate():
        client = log.LogClient(
            context.harness.log_address, context.harness.clock
        )
        while True:
            try:
                await client.append('other', [{}], time.time() + 10)
            except log.AppendRateExceeded:
                return

    context.portal.call(exhaust_rate)


@behave.when('VM "{vm}" posts "{name}" while time passes')
def step_post_slowly(context, vm: str, name: str) -> None:
    async def post_slowly():
        context.harness.start_call(vm, name)
        await context.harness.run_until(context.harness.vms[vm].ended[name])

    context.portal.call(post_slowly)


@behave.when('a schedule of {steps:d} random steps runs from seed {seed:d}')
def step_schedule(context, steps: int, seed: int) -> None:
    schedule = claims_schedule.Schedule(context.harness, seed)
    context.portal.call(schedule.run, steps)


@behave.then('no posting took effect twice')
def step_no_duplicate_effects(context) -> None:
    effects = context.harness.service.ledger.effects
    repeated = [key for key, count in effects.items() if count > 1]
    assert not repeated, repeated


@behave.then('"not_run" was only returned for postings without effect')
def step_not_run_correct(context) -> None:
    not_run = [
        a for a in context.harness.answers if a.text.startswith('not_run')
    ]
    wrong = [answer for answer in not_run if answer.effects]
    assert not wrong, wrong
    others = {a.name for a in context.harness.answers if a not in not_run}
    for answer in not_run:
        if answer.name not in others | context.harness.unanswered:
            assert context.harness.count_effects(answer.name) == 0, answer


@behave.then('every posting that was answered took effect')
def step_answered_took_effect(context) -> None:
    for answer in context.harness.answers:
        if answer.text.startswith('posting'):
            assert answer.effects == 1, answer


@behave.when(
    'the claims log comes back without any record, and nothing else happens'
)
def step_restored(context) -> None:
    restore(context, grow=False)


@behave.when(
    'the claims log comes back without any record, and it grows to where it'
    ' was'
)
def step_restored_and_grown(context) -> None:
    restore(context, grow=True)


def restore(context, grow: bool) -> None:
    """Let the log come back empty; it may be as long as before at once."""

    def run() -> None:
        names = [f'claims-{number:02}' for number in range(log.PARTITIONS)]
        streams = {
            name: context.harness.log.get_stream(name) for name in names
        }
        ends = {name: stream.end for name, stream in streams.items()}
        context.harness.log.restore(dict.fromkeys(names, 0))
        if grow:
            for name, stream in streams.items():
                stream.append([{'type': 'other'}] * ends[name])

    context.portal.call(run)
