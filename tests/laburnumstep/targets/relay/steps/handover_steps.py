"""Steps for runs that are passed from one engine to the next."""

from __future__ import annotations

import typing

import anyio
import behave
import relay_steps

from laburnumstep.targets import relay
from support import clocks
from support import relay_fakes


def leave_with_copy(context: typing.Any) -> None:
    context.execute_steps(
        'Given "a" leaves after events 1 to 3 and goes on to event 6'
    )


def leave_with_backup(context: typing.Any) -> None:
    context.placer.backup = 'b'
    leave_with_copy(context)


def stop_without_copy(context: typing.Any) -> None:
    context.execute_steps(
        """
        Given "b" refuses the copy
        And "c" refuses the copy
        And engine "a" stops after 1.3 s
        And "a" leaves after events 1 to 3 and sends events 4 and 5 every 0.4 s
        """
    )


def fall_silent(context: typing.Any) -> None:
    context.execute_steps(
        """
        Given engine "a" does not answer
        And "a" streams events 1 to 3, is silent for 30 s, and ends at 3
        """
    )


def fall_silent_with_backup(context: typing.Any) -> None:
    context.placer.backup = 'b'
    fall_silent(context)


_PATHS = {
    'from a copy': leave_with_copy,
    'from its backup': leave_with_backup,
    'anew before a stop': stop_without_copy,
    'after a silence': fall_silent_with_backup,
    'anew after silence': fall_silent,
}


@behave.given(
    'a {kind} stream of events 1 to {last:d} whose run goes on at "b" {path}'
)
def step_path(context: typing.Any, kind: str, last: int, path: str) -> None:
    context.execute_steps(f'Given a {kind} stream of events 1 to {last}')
    _PATHS[path](context)
    context.port.on_stop = context.sources[0].stop


@behave.given('"{name}" goes on to event {last:d}')
def step_goes_on_longer(context: typing.Any, name: str, last: int) -> None:
    async def go_on() -> list[relay.StreamEvent]:
        await relay_fakes.settle()
        return relay_fakes.make_events(7, last)

    context.sources[-1].replace_last_step([go_on, None])


@behave.given('"{name}" replies after {seconds:g} s')
def step_replies_after(context: typing.Any, name: str, seconds: float) -> None:
    context.port.delays[name] = [seconds]


@behave.given('"{name}" then replies after {seconds:g} s')
def step_then_replies_after(
    context: typing.Any, name: str, seconds: float
) -> None:
    context.port.delays[name].append(seconds)


@behave.given('"{name}" answers no question for {seconds:g} s')
def step_answers_nothing(
    context: typing.Any, name: str, seconds: float
) -> None:
    context.execute_steps(f'Given engine "{name}" does not answer')
    step_replies_after(context, name, seconds)


@behave.given('"{name}" takes no connection for {seconds:g} s')
def step_takes_none(context: typing.Any, name: str, seconds: float) -> None:
    step_replies_after(context, name, seconds)
    context.port.unsent.add(name)


async def relay_until_left(
    context: typing.Any, seconds: float, name: str
) -> None:
    """Relay the request until some time after it was sent to a target."""
    is_sent = anyio.Event()
    record_send = context.port.on_send

    def observe(attempt: relay.Attempt) -> None:
        record_send(attempt)
        if attempt.target.name == name:
            is_sent.set()

    async def leave(scope: anyio.CancelScope) -> None:
        await is_sent.wait()
        await context.clock.sleep_until(context.clock.now() + seconds)
        scope.cancel()

    context.port.on_send = observe
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(leave, tasks.cancel_scope)
        await relay_steps.relay_request(context)
        tasks.cancel_scope.cancel()


@behave.when(
    'the request is relayed to a caller that leaves {seconds:g} s after it was'
    ' sent to "{name}"'
)
def step_caller_leaves(context: typing.Any, seconds: float, name: str) -> None:
    clocks.run_bounded(context, relay_until_left, context, seconds, name)


@behave.then('the request to "{name}" was cancelled')
def step_cancelled(context: typing.Any, name: str) -> None:
    assert context.port.cancelled == [name], context.port.cancelled


@behave.then(
    'the run on "{first}" ended within {seconds:g} s after the request was'
    ' sent to "{other}"'
)
def step_ended_within(
    context: typing.Any, first: str, seconds: float, other: str
) -> None:
    sent_at = next(at for name, at in context.sent_at if name == other)
    ended_at = context.sources[0].closed_at
    assert ended_at is not None, 'it was not ended'
    assert ended_at - sent_at <= seconds, ended_at - sent_at


@behave.then('at most {seconds:g} s passed')
def step_passed_at_most(context: typing.Any, seconds: float) -> None:
    passed = context.clock.now() - context.request.arrived_at
    assert passed <= seconds + 1e-6, passed


@behave.then('the stream is incomplete')
def step_stream_incomplete(context: typing.Any) -> None:
    assert context.error is not None
    assert not context.sink.finished


@behave.then('"{name}" has {failures:d} failures and {breaks:d} breaks')
def step_recorded(
    context: typing.Any, name: str, failures: int, breaks: int
) -> None:
    found = [p for p in context.placer.placements if p.target.name == name]
    losses = sum(placement.losses for placement in found)
    assert losses == failures, losses
    assert sum(p.breaks for p in found) == breaks, found
