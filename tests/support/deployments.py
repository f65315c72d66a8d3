"""Builds small deployments and appends records of their configuration."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep import log

APPEND_INTERVAL_SECONDS = 10.0
"""Time between appended records. It is long enough that the retention of one
record can end before that of the next.
"""


def get_stream(context: typing.Any) -> typing.Any:
    """Return the configuration stream of the scenario's log."""
    return context.log.get_stream(log.CONFIGURATION_STREAM)


def append_record(context: typing.Any, record: typing.Any) -> None:
    """Advance the clock by `APPEND_INTERVAL_SECONDS` and append a record."""
    context.portal.call(context.clock.advance, APPEND_INTERVAL_SECONDS)
    context.portal.call(get_stream(context).append, [record])


def make_workspace(name: str) -> core.Workspace:
    """Return a valid workspace."""
    digest = core.digest_secret(f'{name}-secret')
    return core.Workspace(name, digest, 50.0, 20, 5000.0)


def make_deployment(
    name: str = 'cuadrilla', workspaces: int = 1
) -> core.Deployment:
    """Return a valid deployment.

    Args:
        name: Name of the deployment.
        workspaces: Number of its workspaces.
    """
    names = [f'workspace-{number}' for number in range(workspaces)]
    targets: dict[str, core.Target] = {
        'gang-1': core.EngineTarget(
            'gang-1', 'lima-1', '127.0.0.1:7001', ['plan'], 100_000, True
        ),
        'booking-1': core.ServiceTarget(
            'booking-1', 'lima-1', '127.0.0.1:7002', 'booking'
        ),
    }
    services = {'booking': core.Service({'confirm': core.Operation(False)})}
    return core.Deployment(
        name,
        {'lima': core.Place('lima', ['lima-1', 'lima-2'])},
        targets,
        services,
        {name: make_workspace(name) for name in names},
    )
