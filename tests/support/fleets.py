"""Builds the input of placement decisions: deployments and load reports."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep import targets

MODEL = 'planner'
KV_TOKENS = 10_000
PREFILL_TOKENS_PER_SECOND = 14_000.0
"""Rate at which simulated engines of speed 1 prefill, in tokens a second."""


def make_deployment(
    engines: int = 4,
    kv_tokens: int = KV_TOKENS,
    remote: int = 0,
    link: float | None = None,
    **changes: typing.Any,
) -> core.Deployment:
    """Return a deployment with engines and two servers of one service.

    Args:
        engines: Number of engines.
        kv_tokens: Size of each engine's KV cache, in tokens.
        remote: Number of engines in the remote region Piura; the others and
            the servers are in Lima.
        link: Limit of each direction between the regions, in bytes a
            second; None for no limit.
        changes: Other fields of the deployment.
    """
    members: dict[str, core.Target] = {}
    for number in range(engines):
        name = f'engine-{number}'
        data_centre = 'piura-1' if number < remote else 'lima-1'
        members[name] = core.EngineTarget(
            name, data_centre, '127.0.0.1:1', [MODEL], kv_tokens, True
        )
    for number in range(2):
        name = f'booking-{number}'
        members[name] = core.ServiceTarget(
            name, 'lima-1', '127.0.0.1:1', 'booking'
        )
    budget = {}
    if link is not None:
        budget = {'lima>piura': link, 'piura>lima': link}
    return core.Deployment(
        'cuadrilla',
        {
            'lima': core.Place('lima', ['lima-1', 'lima-2']),
            'piura': core.Place('piura', ['piura-1']),
        },
        members,
        links=core.LinkBudget(budget),
        **changes,
    )


def make_views(
    clock: core.Clock, deployment: core.Deployment, count: int
) -> list[targets.FleetView]:
    """Return the views of VMs in Lima that know the same deployment.

    Args:
        clock: Clock of the views.
        deployment: The deployment.
        count: Number of VMs.
    """
    views = []
    for _ in range(count):
        view = targets.FleetView(clock, 'lima-1')
        view.apply_deployment(deployment)
        views.append(view)
    return views


def make_report(
    measured_at: float,
    running: int = 0,
    kv_used: int = 0,
    kv_total: int = KV_TOKENS,
    **changes: typing.Any,
) -> targets.LoadReport:
    """Return the load report of an engine that has `MODEL` loaded.

    Args:
        measured_at: Time of the report, in epoch seconds.
        running: Number of running generations.
        kv_used: Tokens in the KV cache.
        kv_total: Size of the KV cache, in tokens.
        changes: Other fields of the report.
    """
    values = {'waiting': 0, 'preemptions': 0, 'models': [MODEL], **changes}
    return targets.LoadReport(
        measured_at, running, kv_used=kv_used, kv_total=kv_total, **values
    )


def make_request(
    name: str = 'r', prompt_tokens: int = 100, **changes: typing.Any
) -> targets.PlacementRequest:
    """Return a request to place a generation of `MODEL`.

    Args:
        name: Name of the request.
        prompt_tokens: Length of the prompt.
        changes: Other fields of the request.
    """
    return targets.PlacementRequest(
        name, 'foremen', MODEL, prompt_tokens, **changes
    )


def make_length_estimator(
    tokens: int, workspace: str = 'foremen'
) -> typing.Any:
    """Return a length estimator that has observed answers of one length.

    Args:
        tokens: Length of the answers.
        workspace: Workspace of the answers.
    """
    lengths = targets.LengthEstimator()
    for _ in range(200):
        lengths.observe(workspace, MODEL, tokens)
    return lengths
