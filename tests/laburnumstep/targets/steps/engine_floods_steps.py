"""Steps for engines that send nothing new."""

from __future__ import annotations

import typing

import behave

from laburnumstep import core
from laburnumstep import targets
from laburnumstep.targets import _coalescing
from laburnumstep.targets import _engine_client
from laburnumstep.targets import _engine_events
from support import clocks
from support import fake_peers
from support import flooding
from support import hooks

_START = _engine_client.StartGeneration('g', 'm', 'plan', 100, 0)


@behave.given(
    'a peer that responds with "{begin}" and then "{repeated}" without end'
)
def step_endless(context: typing.Any, begin: str, repeated: str) -> None:
    peer = fake_peers.EndlessPeer(
        flooding.unescape(begin), flooding.unescape(repeated)
    )
    context.address = hooks.enter_context(context, peer.serve())


async def start_generation(context: typing.Any, seconds: float) -> None:
    clock = core.SystemClock()
    position = _engine_events.StreamPosition('g')
    client = _engine_client.EngineClient(
        context.address, _coalescing.ReadPacer(), lambda headers, sent_at: None
    )
    context.new_events = 0
    context.broken = None

    async def deliver(event: _engine_events.EngineEvent) -> bool:
        if not isinstance(event, _engine_events.TokenBatch):
            return False
        unseen = position.advance(event)
        context.new_events += len(unseen)
        return bool(unseen)

    try:
        await client.start(_START, deliver, clock.now() + seconds)
    except (targets.StreamBroken, targets.MalformedStream) as error:
        context.broken = error
    finally:
        await client.close()


@behave.when(
    'a generation is started there with an idle timeout of {seconds:g} s'
)
def step_start(context: typing.Any, seconds: float) -> None:
    clocks.run_bounded(context, start_generation, context, seconds)


@behave.then('the stream breaks after {count:d} new events')
def step_broken(context: typing.Any, count: int) -> None:
    assert context.broken is not None
    assert context.new_events == count, context.new_events
