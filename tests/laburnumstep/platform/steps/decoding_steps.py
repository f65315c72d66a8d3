"""Steps for decoding settings, records, event streams and load reports."""

from __future__ import annotations

import json
import os
import tempfile
import typing

import attrs
import behave

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import log
from laburnumstep import platform
from laburnumstep.platform import _configuration
from laburnumstep.platform import _directory
from laburnumstep.platform import _events
from laburnumstep.platform import _front
from laburnumstep.platform import _servers
from laburnumstep import targets
from laburnumstep.targets import relay
from laburnumstep import transport
from support import clocks
from support import permits
from support import platform_harness

_SETTINGS = """
nodeName = "front-1"
ip = "127.0.0.1"
zone = "callao-a"
internalPortRange = [7200, 7215]
seedNodes = ["10.1.0.19:8748", "10.2.0.13:8748"]
[zones]
callao-a = "lima"
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
[bounds]
graceS = 8
retryBudgetRatio = 0.2
budgetExtraRetries = 54
budgetWindowS = 10
[platform]
address = "127.0.0.1:3"
"""


def make_directory(context: typing.Any) -> _directory.Directory:
    if not hasattr(context, 'directory'):
        context.registry = targets.TargetRegistry(
            core.ManualClock(),
            core.Deployment(''),
            lambda deployment: None,
            lambda name: None,
        )
        context.directory = _directory.Directory(context.registry)
    return context.directory


@behave.given('the configuration declares engines of 30000 tokens for "app"')
def step_engine_service(context: typing.Any) -> None:
    engine = _configuration.EngineService(30_000, 4, 0.0)
    make_directory(context).apply_services({'app': engine})


def write_entry(context: typing.Any, value: bytes) -> None:
    record = log.KeyedRecord('i-1', value, 0)
    make_directory(context).apply_records([record])


@behave.when('an entry is written with "{field}" as {value}')
def step_entry(context: typing.Any, field: str, value: str) -> None:
    entry = platform_harness.make_entry('127.0.0.1:1')
    entry[field] = json.loads(value)
    write_entry(context, json.dumps(entry).encode())


@behave.when('the bytes "{text}" are written as an entry')
def step_raw_entry(context: typing.Any, text: str) -> None:
    write_entry(context, platform_harness.make_odd_bytes(text))


@behave.then('the registry has no target')
def step_no_target(context: typing.Any) -> None:
    assert not context.registry.targets, context.registry.targets


@behave.then('the registry has service target i-1')
def step_service(context: typing.Any) -> None:
    target = context.registry.targets['i-1']
    assert isinstance(target, core.ServiceTarget) and not target.leaving


@behave.then('the registry has leaving target i-1')
def step_leaving(context: typing.Any) -> None:
    assert context.registry.targets['i-1'].leaving


@behave.then(
    'the registry has engine target i-1 of pool "{pool}" with {tokens:d}'
    ' tokens'
)
def step_engine(context: typing.Any, pool: str, tokens: int) -> None:
    target = context.registry.targets['i-1']
    assert isinstance(target, core.EngineTarget), target
    assert (target.models, target.kv_tokens) == ([pool], tokens), target


def read_configuration(context: typing.Any, value: bytes) -> None:
    if not hasattr(context, 'active_routes'):
        context.active_routes = callers.ActiveRoutes()
        context.reader = _configuration.ConfigurationReader(
            context.active_routes, lambda services: None
        )
    record = log.KeyedRecord(_configuration.CONFIGURATION_KEY, value, 0)
    context.reader.apply_records([record])


@behave.when('a configuration has a route of kind "{kind}"')
def step_route_kind(context: typing.Any, kind: str) -> None:
    document = platform_harness.make_configuration()
    document['routes'][0]['kind'] = kind
    read_configuration(context, json.dumps(document).encode())


@behave.when('a configuration has a route with "{member}" of {value}')
def step_objective(context: typing.Any, member: str, value: str) -> None:
    document = platform_harness.make_configuration()
    document['routes'][0].pop('targetLatencyMs', None)
    document['routes'][0][member] = json.loads(value)
    read_configuration(context, json.dumps(document).encode())


@behave.then('its objectives in seconds are {first} and {gap}')
def step_objectives(context: typing.Any, first: str, gap: str) -> None:
    route = context.active_routes.table.routes[0]
    found = (str(route.first_answer_seconds), str(route.gap_seconds))
    assert found == (first, gap), found


@behave.when('a caller sends the prompt prefix "{prefix}"')
def step_prefix(context: typing.Any, prefix: str) -> None:
    context.parts = _front.decode_parts(prefix)


@behave.then('parts of {tokens} tokens are known')
def step_parts(context: typing.Any, tokens: str) -> None:
    found = ', '.join(str(part.tokens) for part in context.parts)
    assert (found or 'none') == tokens, context.parts


@behave.then('its requests may run more than once')
def step_repeatable(context: typing.Any) -> None:
    assert relay.is_repeatable(context.active_routes.table.routes[0].kind)


@behave.then('its requests run at most once')
def step_not_repeatable(context: typing.Any) -> None:
    assert not relay.is_repeatable(context.active_routes.table.routes[0].kind)


@behave.when('the configuration "{document}" is written')
def step_malformed_configuration(context: typing.Any, document: str) -> None:
    good = platform_harness.make_configuration(version=1)
    read_configuration(context, json.dumps(good).encode())
    read_configuration(context, platform_harness.make_odd_bytes(document))


@behave.then('the routes in force have version {version:d}')
def step_version(context: typing.Any, version: int) -> None:
    assert context.active_routes.table.version == version


@behave.given(
    'settings with "zone" removed, "bounds.graceS" as text and "listen" as a'
    ' number'
)
def step_mistakes(context: typing.Any) -> None:
    text = _SETTINGS.replace('zone = "callao-a"\n', 'listen = 1\n', 1)
    text = text.replace('graceS = 8', 'graceS = "8"')
    start, _, rest = text.partition('[listen]\n')
    context.settings_text = start + '[bounds]' + rest.partition('[bounds]')[2]


@behave.given('settings with an unknown key')
def step_unknown(context: typing.Any) -> None:
    context.settings_text = (
        'newField = [1]\n' + _SETTINGS + '\n[newTable]\nx = 1\n'
    )


@behave.when('the settings are read')
def step_read_settings(context: typing.Any) -> None:
    handle, path = tempfile.mkstemp(suffix='.toml')
    context.stack.callback(os.unlink, path)
    with os.fdopen(handle, 'w') as file:
        file.write(context.settings_text)
    context.findings = []
    try:
        context.settings = platform.load_settings(path)
    except core.FindingsError as error:
        context.findings = error.findings


@behave.then('the findings are {expected}')
def step_findings(context: typing.Any, expected: str) -> None:
    positions = [
        f'{item.position.section} {item.position.key}'.strip()
        for item in context.findings
    ]
    assert sorted(positions) == sorted(
        item.strip('"') for item in expected.split(', ')
    ), positions


@behave.then('siblings are reached at {addresses}')
def step_siblings(context: typing.Any, addresses: str) -> None:
    settings = context.settings
    found = [settings.siblings_address, *settings.sibling_seeds]
    assert ', '.join(f'"{item}"' for item in found) == addresses, found


@behave.then('there are no findings')
def step_no_findings(context: typing.Any) -> None:
    assert not context.findings, context.findings
    assert context.settings.name == 'front-1'


@attrs.define
class ChunkedConnection:
    """Connection that returns given chunks of a response body."""

    chunks: list[bytes]
    received_bytes: int = 0

    async def read_chunk(self, deadline: float) -> bytes | None:
        if not self.chunks:
            return None
        chunk = self.chunks.pop(0)
        self.received_bytes += len(chunk)
        return chunk

    def close(self) -> None:
        pass


@behave.given('a server that streams "{chunks}"')
def step_chunks(context: typing.Any, chunks: str) -> None:
    text = chunks.encode().decode('unicode_escape').encode()
    context.connection = ChunkedConnection(text.split(b';'))


async def read_events(context: typing.Any) -> str:
    reader = _events.EventReader(context.connection, lambda: None, 4)
    context.positions = []
    try:
        while (events := await reader.read(0.0)) is not None:
            context.positions += [
                (event.position or b'-').decode() for event in events
            ]
    except relay.StreamBroken:
        return 'a break'
    return 'the end'


@behave.then('the event IDs are "{events}", followed by {end}')
def step_events(context: typing.Any, events: str, end: str) -> None:
    ending = clocks.run_bounded(context, read_events, context)
    assert ending == end, ending
    assert context.positions == events.split(';'), context.positions


async def read_reclaim_seconds(document: dict[str, typing.Any]) -> typing.Any:
    server = platform_harness.FakeServer('i-1')
    server.content = json.dumps(document).encode()
    clock = clocks.ObservedClock()
    async with transport.serve_app(server.app) as listening:
        target = core.EngineTarget(
            'i-1', 'lima-1', listening.address, ['app/m'], 1000, False
        )
        client = _servers.ServerClient(
            clock,
            lambda service: 1,
            permits.make_limits(clock),
        )
        try:
            report = await client.read_report(target, clock.now() + 5.0)
        except targets.MalformedStream as error:
            return error
    reclaim_at = report.reclaim_at
    return None if reclaim_at is None else reclaim_at - clock.now()


@behave.given('an engine whose load report also has {fields}')
def step_report(context: typing.Any, fields: str) -> None:
    context.document = {
        'running': 1,
        'queued': 0,
        'kvUsed': 10,
        'kvTotal': 1000,
        **json.loads(fields.replace('320 digits', '1' * 320)),
    }


@behave.when('the report is read')
def step_read_report(context: typing.Any) -> None:
    context.reclaim_result = clocks.run_bounded(
        context, read_reclaim_seconds, context.document
    )


@behave.then('the engine is reclaimed at no time')
def step_no_reclaim(context: typing.Any) -> None:
    assert context.reclaim_result is None, context.reclaim_result


@behave.then('the engine is reclaimed in {seconds:g} seconds')
def step_reclaim(context: typing.Any, seconds: float) -> None:
    # Epoch seconds are large, so the difference has a rounding error.
    assert abs(context.reclaim_result - seconds) < 1e-6, context.reclaim_result


@behave.then('the report is malformed')
def step_malformed_report(context: typing.Any) -> None:
    assert isinstance(context.reclaim_result, targets.MalformedStream)
