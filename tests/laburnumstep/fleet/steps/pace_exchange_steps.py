"""Steps for the exchange of the pace of engines."""

from __future__ import annotations

import struct
import typing

import attrs
import behave

from laburnumstep import core
from laburnumstep import fleet
from laburnumstep import siblings
from laburnumstep import targets

_POOL = [f'engine-{number}' for number in range(4)]
_USUAL = targets.PaceSample(400, 0.01, 0.09)
_SLOW = targets.PaceSample(187, 0.02, 0.19)


@attrs.define(eq=False)
class _Neighbours:
    """Passes the entries of one VM to the other."""

    name: str
    clock: core.Clock
    listeners: list[typing.Any] = attrs.field(factory=list)
    others: list[_Neighbours] = attrs.field(factory=list)
    published: int = 0

    def publish(
        self,
        kind: siblings.EntryKind,
        subject: str,
        data: bytes,
        expires_at: float,
    ) -> None:
        self.published += 1
        for other in [self, *self.others]:
            other.receive(subject, self.name, data, expires_at)

    def subscribe(
        self, kind: siblings.EntryKind, listener: typing.Any
    ) -> None:
        assert kind is siblings.EntryKind.PACE
        self.listeners.append(listener)

    def receive(
        self, subject: str, origin: str, data: bytes, expires_at: float
    ) -> None:
        stamp = int(self.clock.now() * 1e6)
        entry = siblings.GossipEntry(
            siblings.EntryKind.PACE,
            subject,
            origin,
            stamp,
            siblings.DataValue(data),
            expires_at,
        )
        for listener in self.listeners:
            listener(entry)


@behave.given('two VMs that exchange the pace of engines')
def step_vms(context: typing.Any) -> None:
    context.clock = core.ManualClock()
    context.neighbours = [
        _Neighbours(f'vm-{number}', context.clock) for number in range(2)
    ]
    context.paces = []
    for neighbours in context.neighbours:
        paces = targets.EnginePaces()
        for name in _POOL:
            paces.observe(name, _USUAL, context.clock.now())
        fleet.PaceExchange(neighbours.name, paces, neighbours, context.clock)
        context.paces.append(paces)
    first, second = context.neighbours
    first.others.append(second)
    second.others.append(first)


@behave.when('a stream on vm-0 shows that engine-0 takes twice as long')
def step_stream(context: typing.Any) -> None:
    for _ in range(9):
        context.clock.advance(60.0)
        context.paces[0].observe('engine-0', _SLOW, context.clock.now())


@behave.when('vm-1 receives {entry} about engine-0')
def step_receive(context: typing.Any, entry: str) -> None:
    origin, data = 'vm-0', b'abc'
    if entry == 'its own pace':
        origin, data = 'vm-1', targets.encode_pace(_SLOW)
    elif entry != 'a truncated pace':
        seconds = float(entry.split()[3])
        data = struct.pack('<ffH', seconds, 0.09, 187)
    expires_at = context.clock.now() + 60.0
    context.neighbours[1].receive('engine-0', origin, data, expires_at)


def _estimate_speed(context: typing.Any) -> float:
    now = context.clock.now() + 2.0
    pace = context.paces[1].estimate('engine-0', 'm', _POOL, now)
    return typing.cast('float', pace.speed)


@behave.then('vm-1 expects half the speed of engine-0')
def step_half(context: typing.Any) -> None:
    speed = _estimate_speed(context)
    assert 0.45 < speed < 0.6, speed


@behave.then('vm-1 expects the usual speed of engine-0')
def step_usual(context: typing.Any) -> None:
    speed = _estimate_speed(context)
    assert speed == 1.0, speed


@behave.then('vm-1 publishes nothing')
def step_silent(context: typing.Any) -> None:
    assert context.neighbours[1].published == 0
