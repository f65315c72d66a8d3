"""Deployments of engines and their load reports, for decisions."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep import targets

MODEL = 'planner'
KV_TOKENS = 10_000


def make_deployment(
    engines: int = 4,
    kv_tokens: int = KV_TOKENS,
    far: int = 0,
    link: float | None = None,
    **changes: typing.Any,
) -> core.Deployment:
    """Return engines in Lima, `far` of them in Piura, and one service."""
    found: dict[str, core.Target] = {}
    for number in range(engines):
        name = f'engine-{number}'
        data_centre = 'piura-1' if number < far else 'lima-1'
        found[name] = core.EngineTarget(
            name, data_centre, '127.0.0.1:1', [MODEL], kv_tokens, True
        )
    for number in range(2):
        name = f'booking-{number}'
        found[name] = core.ServiceTarget(
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
        found,
        links=core.LinkBudget(budget),
        **changes,
    )


def make_report(
    measured_at: float,
    running: int = 0,
    kv_used: int = 0,
    kv_total: int = KV_TOKENS,
    **changes: typing.Any,
) -> targets.LoadReport:
    """Return a report of an engine that has the model loaded."""
    values = {'waiting': 0, 'preemptions': 0, 'models': [MODEL], **changes}
    return targets.LoadReport(
        measured_at, running, kv_used=kv_used, kv_total=kv_total, **values
    )


def make_request(
    name: str = 'r', prompt_tokens: int = 100, **changes: typing.Any
) -> targets.PlacementRequest:
    """Return a request for a place."""
    return targets.PlacementRequest(
        name, 'foremen', MODEL, prompt_tokens, **changes
    )


def teach_lengths(tokens: int, workspace: str = 'foremen') -> typing.Any:
    """Return an estimator that has only seen answers of one length."""
    lengths = targets.LengthEstimator()
    for _ in range(200):
        lengths.observe(workspace, MODEL, tokens)
    return lengths
