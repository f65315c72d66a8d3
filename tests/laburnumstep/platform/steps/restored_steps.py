"""Steps for a store that comes back from an older copy."""

from __future__ import annotations

import typing

import anyio.lowlevel
import behave

from support import clocks
from support import platform_harness

_TOPIC = 'keyed.op'


def make_version(version: int) -> platform_harness.Document:
    """Return a configuration whose version shows in the paths of its route."""
    document = platform_harness.make_configuration(version)
    first = document['routes'][0]
    document['routes'] = [{**first, 'pathPrefix': f'/v{version}/'}]
    return document


def write_versions(context: typing.Any, versions: list[int]) -> None:
    for version in versions:
        context.portal.call(
            context.harness.store.append_record,
            _TOPIC,
            'config',
            make_version(version),
        )


async def wait_for_version(
    harness: platform_harness.PlatformHarness, version: int
) -> None:
    data = platform_harness.encode_request(f'/v{version}/1')
    while (
        await platform_harness.send_raw(harness.address, data)
    ).status != 200:
        await anyio.lowlevel.checkpoint()


@behave.given('versions 2, 3 and 4 of the configuration are in force')
def step_versions(context: typing.Any) -> None:
    write_versions(context, [2, 3, 4])
    step_in_force(context, 4)


@behave.when(
    'the store comes back with version 1 and versions 5 and 6 are written up'
    ' to the same offset'
)
def step_restored(context: typing.Any) -> None:
    store = context.harness.store
    end = len(store.records[_TOPIC])
    context.portal.call(store.restore, _TOPIC, 1)
    write_versions(context, [4, 5, 6])
    assert len(store.records[_TOPIC]) == end


@behave.when('the store comes back with version 1 and nothing is written')
def step_restored_only(context: typing.Any) -> None:
    context.portal.call(context.harness.store.restore, _TOPIC, 1)


@behave.then('version {version:d} of the configuration comes into force')
def step_in_force(context: typing.Any, version: int) -> None:
    clocks.run_bounded(context, wait_for_version, context.harness, version)


@behave.then('version {version:d} of the configuration is still in force')
def step_still_in_force(context: typing.Any, version: int) -> None:
    # The VM has met the new epoch once it has read the topic again.
    reads = context.harness.store.newest_reads

    async def wait_for_read() -> None:
        while context.harness.store.newest_reads == reads:
            await anyio.lowlevel.checkpoint()

    clocks.run_bounded(context, wait_for_read)
    step_in_force(context, version)
