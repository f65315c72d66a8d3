"""Steps for the heartbeats feature."""

from __future__ import annotations

import typing

import behave

from laburnumstep.siblings import _heartbeats


@behave.given('a monitor that watches vm-2 at "{address}"')
def step_monitor(context: typing.Any, address: str) -> None:
    context.monitor = _heartbeats.HeartbeatMonitor()
    context.address = address
    context.name = 'vm-2'
    context.now = 1000.0


def apply_event(context: typing.Any, event: str) -> None:
    monitor = context.monitor
    match event.split():
        case ['beat']:
            monitor.begin_round({context.address: context.name}, context.now)
            monitor.record_heartbeat(context.address, context.now)
        case ['wait', seconds]:
            context.now += float(seconds)
        case ['answer', sequence]:
            monitor.record_answer('vm-2', int(sequence))
        case ['other', 'answers', sequence]:
            monitor.record_answer('vm-3', int(sequence))
        case ['alive']:
            monitor.clear_unanswered('vm-2')
        case ['renamed']:
            context.name = 'vm-3'
        case ['moved']:
            context.address = 'address-3'
        case _:
            raise ValueError(event)


@behave.when('these events occur: {events}')
def step_events(context: typing.Any, events: str) -> None:
    for event in events.split(', '):
        apply_event(context, event)


@behave.then('vm-2 is "{state}"')
def step_state(context: typing.Any, state: str) -> None:
    unanswered = context.monitor.list_unanswered(context.now)
    assert ('vm-2' in unanswered.values()) == (state == 'unanswered')
