"""Steps for the cold time of servers on the platform."""

from __future__ import annotations

import json
import typing

import behave

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import log
from laburnumstep.platform import _configuration
from laburnumstep.platform import _directory
from laburnumstep.platform import _fleet
from laburnumstep import targets
from support import clocks
from support import platform_harness


def write_entries(context: typing.Any, values: list[str]) -> None:
    """Write entries with cold times, given as JSON, to a directory."""
    context.published = 0
    context.cold = []

    def count(deployment: core.Deployment) -> None:
        context.published += 1

    context.registry = targets.TargetRegistry(
        core.ManualClock(), core.Deployment(''), count, lambda name: None
    )
    directory = _directory.Directory(
        context.registry,
        on_cold=lambda name, entry: context.cold.append(entry.seconds),
    )
    for number, value in enumerate(values):
        entry = platform_harness.make_entry('127.0.0.1:1', sequence=number)
        entry['coldRemainingMs'] = '?'
        text = json.dumps(entry).replace('"?"', value)
        directory.apply_records([log.KeyedRecord('i-1', text.encode(), 0)])


@behave.when('an entry with the cold time {value} is written')
def step_entry_cold(context: typing.Any, value: str) -> None:
    write_entries(context, [value])


@behave.then('the target is registered and its cold time is {seconds}')
def step_cold_time(context: typing.Any, seconds: str) -> None:
    assert 'i-1' in context.registry.targets
    expected = None if seconds == 'none' else float(seconds)
    assert context.cold == [expected], context.cold


@behave.when('entries with the cold times {values} are written')
def step_entries_cold(context: typing.Any, values: str) -> None:
    write_entries(context, values.split())


@behave.then('the targets were published once')
def step_published(context: typing.Any) -> None:
    assert context.published == 1, context.published
    assert len(context.cold) == 5, context.cold


@behave.when('a configuration with {fields} in a service is written')
def step_configuration(context: typing.Any, fields: str) -> None:
    context.starts = None
    context.routes = callers.ActiveRoutes()

    def apply(services: _configuration.ColdServices) -> None:
        context.starts = {
            name: service.start for name, service in services.items()
        }

    reader = _configuration.ConfigurationReader(
        context.routes, lambda services: None, apply
    )
    services = [{'name': 'app', **json.loads(fields)}]
    document = platform_harness.make_configuration(services=services)
    value = json.dumps(document).encode()
    record = log.KeyedRecord(_configuration.CONFIGURATION_KEY, value, 0)
    reader.apply_records([record])


@behave.then(
    'it is in force and its cold targets take {rate} and warm up in {ramp}'
    ' seconds'
)
def step_cold_start(context: typing.Any, rate: str, ramp: str) -> None:
    assert context.routes.table is not None
    start = context.starts.get('app')
    found = (start.per_second, start.ramp_seconds) if start else None
    expected = None if rate == 'none' else (float(rate), float(ramp))
    assert found == expected, found


@behave.given('an entry with {fields}')
def step_before(context: typing.Any, fields: str) -> None:
    context.before = fields


def encode_entry(fields: str) -> bytes:
    entry = platform_harness.make_entry('127.0.0.1:1', **json.loads(fields))
    return json.dumps(entry).encode()


@behave.when('it is written again with {fields}')
def step_after(context: typing.Any, fields: str) -> None:
    context.changed = _fleet.is_entry_changed(
        _fleet.find_entry_fingerprint(encode_entry(context.before)),
        _fleet.find_entry_fingerprint(encode_entry(fields)),
    )


@behave.then('it counts as {result}')
def step_counts_as(context: typing.Any, result: str) -> None:
    assert context.changed == (result == 'changed'), context.changed


async def write_cold(
    harness: platform_harness.PlatformHarness, rate: float, value: int
) -> None:
    """Write a configuration and an entry; wait until both are in force."""
    entry = platform_harness.make_entry(
        harness.server_address, sequence=2, coldRemainingMs=value
    )
    harness.store.append_record('keyed.servers', 'i-1', entry)
    # A server of a new service, whose first answer shows that the records
    # before its own are applied.
    entry = platform_harness.make_entry(harness.server_address, service='new')
    harness.store.append_record('keyed.servers', 'i-2', entry)
    document = platform_harness.make_configuration(2)
    route = {**document['routes'][0], 'name': 'new', 'pathPrefix': '/new/'}
    document['routes'].append({**route, 'service': 'new'})
    document['services'][0].update(coldPerS=rate, coldStartS=10)
    document['services'].append({'name': 'new', 'healthPath': '/health'})
    harness.store.append_record('keyed.op', 'config', document)
    await platform_harness.wait_for_answer(harness, '/new/1', 200)
    harness.server.received.clear()


@behave.when(
    'cold servers take {rate:g} requests a second and the server is cold for'
    ' {value:d} ms'
)
def step_cold_server(context: typing.Any, rate: float, value: int) -> None:
    clocks.run_bounded(context, write_cold, context.harness, rate, value)


@behave.then(
    '{most:d} requests reached the server at most, and {least:d} at least'
)
def step_received_between(context: typing.Any, most: int, least: int) -> None:
    received = len(context.harness.server.received)
    assert least <= received <= most, received
