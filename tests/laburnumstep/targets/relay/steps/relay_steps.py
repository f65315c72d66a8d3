"""Steps for relaying calls and streams."""

from __future__ import annotations

import functools
import typing

import anyio
import anyio.lowlevel
import attrs
import behave

from laburnumstep import core
from laburnumstep.targets import relay
from laburnumstep.targets.relay import _evacuation
from support import clocks
from support import relay_fakes

_KINDS: dict[str, core.RouteKind] = {
    'idempotent': core.CallKind(idempotent=True),
    'once': core.CallKind(idempotent=False),
    'resumable': core.StreamKind(resumable=True),
    'single': core.StreamKind(resumable=False),
}


_MUCH_LATER = 9e9
"""A time after any time of the scenarios, in epoch seconds."""


def set_up(context: typing.Any, names: list[str]) -> None:
    context.clock = core.ManualClock()
    context.placer = relay_fakes.FakePlacer(names, context.clock)
    context.port = relay_fakes.FakeTargetPort(
        {name: [] for name in names}, context.clock
    )
    context.sink = relay_fakes.RecordingSink()
    context.running = relay.RunningStreams()
    context.error = None


def parse_reply(text: str) -> relay.Reply:
    match text.split():
        case ['status', status]:
            return relay.Answered(int(status), [], b'body')
        case ['lost']:
            return relay.Lost('timeout')
        case ['lost,', 'closed']:
            return relay.Lost('reset', closed=True)
        case ['not', 'run']:
            return relay.NotRun('full')
        case ['not', 'reached']:
            return relay.NotReached('refused')
        case ['held']:
            return relay.Held(_MUCH_LATER)
        case ['barred']:
            return relay.Barred('not allowed there')
    raise ValueError(text)


async def relay_request(context: typing.Any) -> None:
    request = context.request
    if isinstance(request.route.kind, core.CallKind):
        runner: typing.Any = relay.CallRelay(
            context.placer, context.port, context.clock
        )
    else:
        runner = relay.StreamRelay(
            context.placer, context.port, context.running, context.clock
        )
    try:
        await runner.run(request, context.sink)
    except core.CodedError as error:
        context.error = error


@behave.given('a {kind} request with {attempts:d} attempts')
def step_request(context: typing.Any, kind: str, attempts: int) -> None:
    set_up(context, ['a', 'b'])
    context.request = relay_fakes.make_request(
        _KINDS[kind], context.clock.now(), attempts
    )


@behave.given('target "{name}" replies {reply}')
def step_reply(context: typing.Any, name: str, reply: str) -> None:
    context.port.replies[name].append(parse_reply(reply))


@behave.given('the deadline passes while target "{name}" handles the request')
def step_deadline_passes(context: typing.Any, name: str) -> None:
    def advance(attempt: relay.Attempt) -> None:
        if attempt.target.name == name:
            context.clock.advance(relay_fakes.WAIT_SECONDS)

    context.port.on_send = advance


@behave.when('the request is relayed')
def step_relay(context: typing.Any) -> None:
    clocks.run_bounded(context, relay_request, context)


@behave.then('the request was sent to targets "{names}"')
def step_sent(context: typing.Any, names: str) -> None:
    sent_to = [attempt.target.name for attempt in context.port.attempts]
    assert sent_to == names.split(','), sent_to


@behave.then('the caller receives {answer}')
def step_answer(context: typing.Any, answer: str) -> None:
    match answer.split():
        case ['status', status]:
            assert context.error is None, context.error
            assert context.sink.answered.status == int(status)
        case ['error', code, outcome]:
            assert context.sink.answered is None, context.sink.answered
            found = (context.error.code.value, context.error.outcome.value)
            assert found == (code, outcome), found
        case _:
            raise ValueError(answer)


@behave.then('the deadlines of the attempts are in {first:d} and {second:d} s')
def step_attempt_deadlines(
    context: typing.Any, first: int, second: int
) -> None:
    now = context.clock.now()
    waits = [attempt.deadline - now for attempt in context.port.attempts]
    assert waits == [first, second], waits


@behave.then('{count:d} placements recorded a break')
def step_breaks_recorded(context: typing.Any, count: int) -> None:
    breaks = [placement.breaks for placement in context.placer.placements]
    assert sum(breaks) == count, breaks


@behave.then('each placement was released once')
def step_released(context: typing.Any) -> None:
    released = [placement.releases for placement in context.placer.placements]
    assert released and set(released) == {1}, released


@behave.then('{requests:d} requests and {retries:d} retries were counted')
def step_counted(context: typing.Any, requests: int, retries: int) -> None:
    found = (context.placer.requests, context.placer.retries)
    assert found == (requests, retries), found


@behave.given('a {kind} stream of events 1 to {last:d}')
def step_stream(context: typing.Any, kind: str, last: int) -> None:
    set_up(context, ['a', 'b', 'c'])
    context.last = last
    context.request = relay_fakes.make_request(
        _KINDS[kind], context.clock.now()
    )


@behave.given('a stream of a short answer with events 1 to {last:d}')
def step_short_stream(context: typing.Any, last: int) -> None:
    set_up(context, ['a', 'b', 'c'])
    context.last = last
    context.request = relay_fakes.make_request(
        _KINDS['single'], context.clock.now(), max_tokens=60
    )


@behave.given('"{name}" streams events {first:d} to {last:d} and ends')
def step_ends(context: typing.Any, name: str, first: int, last: int) -> None:
    add_stream(context, name, [relay_fakes.make_events(first, last), None])


@behave.given(
    '"{name}" streams events 1 to {last:d}, one every {gap:d} ms, to a caller'
    ' that takes {delay:d} ms for each'
)
def step_paced(
    context: typing.Any, name: str, last: int, gap: int, delay: int
) -> None:
    async def read(number: int) -> list[relay.StreamEvent]:
        context.clock.advance((gap - delay) / 1000)
        return relay_fakes.make_events(number, number)

    steps: list[typing.Any] = [
        functools.partial(read, number) for number in range(1, last + 1)
    ]
    add_stream(context, name, [*steps, None])
    send = context.sink.send

    async def send_slowly(data: bytes) -> None:
        context.clock.advance(delay / 1000)
        await send(data)

    context.sink.send = send_slowly


@behave.then('{count:d} gaps of {gap:d} ms were recorded')
def step_gaps(context: typing.Any, count: int, gap: int) -> None:
    gaps = context.placer.placements[0].gaps
    assert gaps.count == count, gaps
    sample = gaps.evaluate()
    if count:
        assert abs(sample.pause_seconds - gap / 1000) < 0.001, sample


@behave.given(
    '"{name}" streams events {first:d} to {last:d}, each twice, in one read'
    ' and ends'
)
def step_repeats(
    context: typing.Any, name: str, first: int, last: int
) -> None:
    events = relay_fakes.make_events(first, last)
    twice = [event for event in events for _ in range(2)]
    add_stream(context, name, [twice, None])


@behave.given('"{name}" streams events {first:d} to {last:d} and breaks off')
def step_breaks(context: typing.Any, name: str, first: int, last: int) -> None:
    broken = relay.StreamBroken('reset')
    add_stream(context, name, [relay_fakes.make_events(first, last), broken])


@behave.given(
    '"{name}" streams events {first:d} to {last:d}, is silent for'
    ' {seconds:g} s, and ends at {end:d}'
)
def step_silent(
    context: typing.Any,
    name: str,
    first: int,
    last: int,
    seconds: float,
    end: int,
) -> None:
    add_silent_stream(context, name, (first, last), seconds, end)


@behave.given(
    '"{name}" streams events {first:d} to {last:d}, is silent for'
    ' {seconds:g} s, and breaks off'
)
def step_silent_break(
    context: typing.Any, name: str, first: int, last: int, seconds: float
) -> None:
    broken = relay.StreamBroken('reset')
    add_silent_stream(context, name, (first, last), seconds, last, broken)


def add_silent_stream(
    context: typing.Any,
    name: str,
    first: tuple[int, int],
    seconds: float,
    end: int,
    error: Exception | None = None,
) -> None:
    """Add a stream that is silent for a while.

    Args:
        context: Context of the scenario.
        name: Engine that streams.
        first: First and last event before the silence.
        seconds: Duration of the silence.
        end: Last event after it.
        error: Raised at the end instead of a regular end, if given.
    """
    steps = [
        relay_fakes.make_events(*first),
        relay_fakes.Silence(seconds),
        relay_fakes.make_events(first[1] + 1, end),
        error,
    ]
    add_stream(context, name, steps)


@behave.given('engine "{name}" stops after {notice} s')
def step_stops(context: typing.Any, name: str, notice: str) -> None:
    if notice != 'no':
        stops_at = context.clock.now() + float(notice)
        context.placer.stops_at[name] = stops_at


@behave.given(
    '"{name}" leaves after events 1 to {last:d} and sends events {one:d} and'
    ' {other:d} every {seconds:g} s'
)
def step_leaves_slowly(
    context: typing.Any,
    name: str,
    last: int,
    one: int,
    other: int,
    seconds: float,
) -> None:
    add_leaving_stream(context, name, last, last, None)
    context.sources[-1].replace_last_step(
        [
            relay_fakes.Silence(seconds),
            relay_fakes.make_events(one, one),
            relay_fakes.Silence(seconds),
            relay_fakes.make_events(other, other),
            relay.StreamBroken('reset'),
        ]
    )


@behave.given('"{name}" cannot be reached for copies')
def step_unreachable(context: typing.Any, name: str) -> None:
    failed = relay.CopyFailed('refused', refused=False)
    context.port.copy_results = {'b': failed, 'c': failed}


@behave.then('at most {count:d} copies were ordered')
def step_copies_ordered(context: typing.Any, count: int) -> None:
    assert 0 < len(context.port.copies) <= count, len(context.port.copies)


def make_later_event(kind: str, number: int) -> relay.StreamEvent:
    match kind.split():
        case ['event', text]:
            return relay_fakes.make_events(int(text), int(text))[0]
        case ['a', 'comment']:
            return relay.StreamEvent(b':;', None)
        case ['the', 'next', 'event']:
            return relay_fakes.make_events(number, number)[0]
    raise ValueError(kind)


@behave.given(
    '"{name}" streams events 1 to {last:d} and then {kind} every'
    ' {seconds:f} s, {count:d} times'
)
def step_then(
    context: typing.Any,
    name: str,
    last: int,
    kind: str,
    seconds: float,
    count: int,
) -> None:
    def make_step(number: int) -> typing.Any:
        async def send_later() -> list[relay.StreamEvent]:
            await relay_fakes.settle()
            context.clock.advance(seconds)
            return [make_later_event(kind, last + 1 + number)]

        return send_later

    context.start = context.clock.now()
    steps = [make_step(number) for number in range(count)]
    add_stream(context, name, [relay_fakes.make_events(1, last), *steps])


@behave.then('the read deadlines of "a" were {deadlines} s after the start')
def step_read_deadlines(context: typing.Any, deadlines: str) -> None:
    found = [
        round(deadline - context.start, 3)
        for deadline in context.sources[0].deadlines
    ]
    assert found == [float(item) for item in deadlines.split(',')], found


@behave.then('the run was moved from "{name}" {count:d} times')
def step_moves(context: typing.Any, name: str, count: int) -> None:
    sources = [source for source, _ in context.port.moves]
    assert sources == [name] * count, context.port.moves


@behave.given('"{name}" breaks off before its first event')
def step_breaks_early(context: typing.Any, name: str) -> None:
    add_stream(context, name, [relay.StreamBroken('reset')])


@behave.given(
    '"{name}" leaves after events {first:d} to {last:d}, and events {more:d}'
    ' to {end:d} follow'
)
def step_leaves(
    context: typing.Any, name: str, first: int, last: int, more: int, end: int
) -> None:
    async def leave() -> list[relay.StreamEvent]:
        context.placer.leaving.add(name)
        context.running.evacuate(name)
        return relay_fakes.make_events(last, last)

    async def continue_stream() -> list[relay.StreamEvent]:
        # Lets the task that copies the run finish during this read. The
        # shield keeps the relay from interrupting the read.
        with anyio.CancelScope(shield=True):
            for _ in range(20):
                await anyio.lowlevel.checkpoint()
        return relay_fakes.make_events(more, end)

    steps = [
        relay_fakes.make_events(first, last - 1),
        leave,
        continue_stream,
        None,
    ]
    add_stream(context, name, steps)


@behave.given(
    '"{name}" leaves after events {first:d} to {last:d} and ends at {end:d}'
    ' after the first copy'
)
def step_ends_after_copy(
    context: typing.Any, name: str, first: int, last: int, end: int
) -> None:
    add_leaving_stream(context, name, last, end, None)


@behave.given(
    '"{name}" leaves after events {first:d} to {last:d} and breaks at {end:d}'
    ' after the first copy'
)
def step_breaks_after_first_copy(
    context: typing.Any, name: str, first: int, last: int, end: int
) -> None:
    add_leaving_stream(context, name, last, end, relay.StreamBroken('reset'))


@behave.given(
    '"{name}" leaves after events 1 to {last:d} and goes on to event {end:d}'
)
def step_goes_on(context: typing.Any, name: str, last: int, end: int) -> None:
    def make_step(number: int) -> typing.Any:
        async def go_on() -> list[relay.StreamEvent]:
            with anyio.CancelScope(shield=True):
                for _ in range(20):
                    await anyio.lowlevel.checkpoint()
            return relay_fakes.make_events(number, number)

        return go_on

    add_leaving_stream(context, name, last, last, None)
    steps = [make_step(number) for number in range(last + 1, end + 1)]
    context.sources[-1].replace_last_step([*steps, None])


def add_leaving_stream(
    context: typing.Any,
    name: str,
    last: int,
    end: int,
    error: Exception | None,
) -> None:
    """Add a stream that ends after the first copy of its run.

    Args:
        context: Context of the scenario.
        name: Engine that streams and starts to leave.
        last: Event at which it starts to leave.
        end: Last event.
        error: Raised at the end instead of a regular end, if given.
    """

    async def leave() -> list[relay.StreamEvent]:
        context.placer.leaving.add(name)
        context.running.evacuate(name)
        return relay_fakes.make_events(last, end)

    async def finish() -> list[relay.StreamEvent] | None:
        with anyio.CancelScope(shield=True):
            for _ in range(20):
                await anyio.lowlevel.checkpoint()
        if error is not None:
            raise error
        return None

    steps = [relay_fakes.make_events(1, last - 1), leave, finish]
    add_stream(context, name, steps)


def add_stream(
    context: typing.Any, name: str, steps: list[typing.Any]
) -> None:
    def count_open(attempt: relay.Attempt) -> None:
        sent = context.sources[: len(context.port.attempts) - 1]
        context.open_sources.append(sum(not source.closed for source in sent))
        context.sent_at.append((attempt.target.name, context.clock.now()))

    context.open_sources = []
    context.sent_at = []
    context.port.on_send = count_open
    source = relay_fakes.FakeEventSource(steps, context.clock)
    context.sources = [*getattr(context, 'sources', []), source]
    context.port.replies[name].append(relay.Streaming(200, [], source))


@behave.then(
    'the run on "{first}" was still open when the request was sent to'
    ' "{other}"'
)
def step_still_open(context: typing.Any, first: str, other: str) -> None:
    names = [attempt.target.name for attempt in context.port.attempts]
    assert names == [first, other], names
    assert context.open_sources == [0, 1], context.open_sources


@behave.given('its route allows {attempts:d} attempts')
def step_attempts(context: typing.Any, attempts: int) -> None:
    route = attrs.evolve(context.request.route, attempts=attempts)
    context.request = attrs.evolve(context.request, route=route)


@behave.given('"{name}" is leaving')
def step_is_leaving(context: typing.Any, name: str) -> None:
    context.placer.leaving.add(name)


@behave.given('all other engines leave after the first copy')
def step_all_leave(context: typing.Any) -> None:
    def leave() -> None:
        context.placer.leaving |= {'b', 'c'}

    context.port.on_copy = leave


@behave.then('{count:d} earlier runs were open at the last of them')
def step_open_runs(context: typing.Any, count: int) -> None:
    assert context.open_sources[-1] == count, context.open_sources


@behave.given('"{name}" does not answer for {seconds:d} seconds')
def step_hangs(context: typing.Any, name: str, seconds: int) -> None:
    context.port.on_hang[name] = lambda: context.clock.advance(seconds)
    context.port.lists[name] = [relay.NoRunList('timeout')]


@behave.given('"{name}" refuses the copy')
def step_refuses_copy(context: typing.Any, name: str) -> None:
    context.port.copy_results[name] = relay.CopyFailed('no capacity')


@behave.given('"{name}" holds a copy ahead')
def step_backup(context: typing.Any, name: str) -> None:
    context.placer.backup = name


@behave.then('the caller received each event once, in order, and the end')
def step_complete_stream(context: typing.Any) -> None:
    expected = b''.join(b'%d;' % n for n in range(1, context.last + 1))
    assert context.error is None, context.error
    assert context.sink.data == expected, context.sink.data
    assert context.sink.finished
    assert context.sink.begin_calls == 1


@behave.then('the caller received events 1 to {last:d} without the end')
def step_incomplete(context: typing.Any, last: int) -> None:
    expected = b''.join(b'%d;' % n for n in range(1, last + 1))
    assert context.sink.data == expected, context.sink.data
    assert not context.sink.finished
    assert context.error is not None


@behave.then('"{name}" started from {start}')
def step_start(context: typing.Any, name: str, start: str) -> None:
    attempts = [a for a in context.port.attempts if a.target.name == name]
    found = attempts[-1].start
    match start.split():
        case ['the', 'beginning']:
            assert found == relay.NewRun(), found
        case ['event', position]:
            assert found == relay.ResumedRun(position.encode()), found
        case ['copy', copy, 'at', 'event', position]:
            expected = relay.ContinuedRun(position.encode(), copy)
            assert found == expected, found
        case _:
            raise ValueError(start)


@behave.then('every run was closed and every placement released')
def step_all_released(context: typing.Any) -> None:
    assert all(source.closed for source in context.sources)
    step_released(context)


@behave.then('no copy was made')
def step_no_copy(context: typing.Any) -> None:
    assert not context.port.copies, context.port.copies


@behave.given('an engine that reports these runs')
def step_runs(context: typing.Any) -> None:
    set_up(context, ['a', 'b'])
    context.port.runs = [
        relay.EngineRun(row['key'], int(row['tokens']))
        for row in context.table
    ]


@behave.when('two VMs schedule the copy of run "{key}"')
def step_schedule(context: typing.Any, key: str) -> None:
    request = relay_fakes.make_request(_KINDS['single'], context.clock.now())
    context.starts = []
    for _ in range(2):
        schedules = _evacuation.EvacuationSchedules(
            context.port, context.placer, context.clock
        )
        scheduled = attrs.evolve(request, key=key)
        start = clocks.run_bounded(
            context,
            schedules.schedule_copy,
            scheduled,
            relay_fakes.make_target('a'),
        )
        context.starts.append(start - context.clock.now())


@behave.then('both copies start after {seconds:g} s')
def step_starts(context: typing.Any, seconds: float) -> None:
    first, second = context.starts
    assert first == second, context.starts
    assert abs(first - seconds) < 1e-6, first


async def schedule_copies(context: typing.Any, keys: list[str]) -> None:
    schedules = _evacuation.EvacuationSchedules(
        context.port, context.placer, context.clock
    )
    request = relay_fakes.make_request(_KINDS['single'], context.clock.now())
    source = relay_fakes.make_target('a')
    async with anyio.create_task_group() as tasks:
        for key in keys:
            scheduled = attrs.evolve(request, key=key)
            tasks.start_soon(schedules.schedule_copy, scheduled, source)


@behave.when(
    'one VM schedules copies of runs "{one}" and "{other}" at the same time'
)
def step_schedule_together(context: typing.Any, one: str, other: str) -> None:
    clocks.run_bounded(context, schedule_copies, context, [one, other])


@behave.then('the list of runs was requested once')
def step_listed_once(context: typing.Any) -> None:
    assert context.port.list_calls == 1, context.port.list_calls
