"""Steps for questions to servers whose entries cannot be read."""

from __future__ import annotations

import collections
import json
import typing

import anyio
import anyio.lowlevel
import attrs
import behave

from laburnumstep import core
from laburnumstep import log
from laburnumstep.platform import _directory
from laburnumstep.platform import _health
from laburnumstep.platform import _servers
from laburnumstep import targets
from support import clocks
from support import permits
from support import platform_harness
from support import relay_fakes
from support import scripted_server

_PASSES = 10
"""Passes of the event loop in which the questions of a round are asked."""


class FakeClient:
    """Counts the questions to each server."""

    def __init__(self) -> None:
        self.questions: collections.Counter[str] = collections.Counter()

    async def check_health(
        self, target: core.Target, path: str, deadline: float
    ) -> str:
        self.questions[target.name] += 1
        return 'no answer'


@behave.given(
    'servers "a" and "b" of a service that limits cold servers, "c" of'
    ' another, and "d" that is leaving'
)
def step_servers(context: typing.Any) -> None:
    context.clock = core.ManualClock()
    context.registry = targets.TargetRegistry(
        context.clock,
        core.Deployment(''),
        lambda deployment: None,
        lambda name: None,
    )
    context.directory = _directory.Directory(context.registry)
    entries = {
        'a': platform_harness.make_entry('127.0.0.1:1'),
        'b': platform_harness.make_entry('127.0.0.1:2'),
        'c': platform_harness.make_entry('127.0.0.1:3', service='plain'),
        'd': platform_harness.make_entry('127.0.0.1:4', state='draining'),
    }
    context.directory.apply_records(
        [
            log.KeyedRecord(name, json.dumps(entry).encode(), 0)
            for name, entry in entries.items()
        ]
    )


async def watch(context: typing.Any, owned: set[str], seconds: int) -> None:
    watch = _health.HealthWatch(
        context.client,
        context.registry,
        context.directory,
        owned.__contains__,
        context.clock,
    )
    watch.apply_paths({'app': '/health'})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch.run)
        for _ in range(seconds):
            for _ in range(_PASSES):
                await anyio.lowlevel.checkpoint()
            context.clock.advance(_health.INTERVAL_SECONDS)
        for _ in range(_PASSES):
            await anyio.lowlevel.checkpoint()
        tasks.cancel_scope.cancel()


@behave.when(
    'the store is {state} and the VM owns {names} for {seconds:d} seconds'
)
def step_watch(
    context: typing.Any, state: str, names: str, seconds: int
) -> None:
    context.client = FakeClient()
    if state == 'away':
        context.registry.record_failure()
    owned = set() if names == 'nothing' else set(names.split(','))
    context.portal.call(watch, context, owned, seconds)


@behave.then('the questions to each server are {questions}')
def step_questions(context: typing.Any, questions: str) -> None:
    found = ','.join(
        f'{name}={count}'
        for name, count in sorted(context.client.questions.items())
    )
    assert (found or 'none') == questions, found


async def check_health(
    server: scripted_server.ScriptedServer, words: list[targets.SelfReport]
) -> None:
    clock = core.SystemClock()
    client = _servers.ServerClient(
        clock,
        lambda service: 1,
        permits.make_limits(clock),
        lambda name, report, sent_at: words.append(report),
    )
    target = attrs.evolve(relay_fakes.make_target('a'), address=server.address)
    await client.check_health(target, '/health', clock.now() + 5.0)
    client.close_removed([])


@behave.when('its health is checked')
def step_check_health(context: typing.Any) -> None:
    context.words = []
    clocks.run_bounded(context, check_health, context.server, context.words)
