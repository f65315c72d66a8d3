"""The load tool: `python -m laburnumstep_standins.bench --quick 0|1`.

The last lines are figures, one a line: `name value unit`. A figure that no
run produced is printed as `name unmeasured -`.
"""

from __future__ import annotations

import time

import anyio
import typer

from laburnumstep import core
from laburnumstep_standins.bench import decisions
from laburnumstep_standins.bench import figures
from laburnumstep_standins.bench import records
from laburnumstep_standins.bench import routing

_QUICK_SECONDS = 10.0
"""Duration of a run in quick mode."""
_FULL_SECONDS = 20.0
"""Duration of a run otherwise."""
_FULL_SEEDS = 3
_TARGETS = 500
"""Targets of the fleet whose decisions are timed."""
_DECISIONS = 5000
_SPARSE_LOAD = 60
_NORMAL_LOAD = 90
_OVERLOAD = 120


async def compare_policies(quick: bool, seed: int) -> list[figures.Figure]:
    """Run the comparisons and return their figures."""
    seconds = _QUICK_SECONDS if quick else _FULL_SECONDS
    seeds = [seed] if quick else [seed + i for i in range(_FULL_SEEDS)]
    steady = routing.Steady()
    if not quick:
        await routing.run_medians(_SPARSE_LOAD, seconds, seeds, steady)
    normal = await routing.run_medians(_NORMAL_LOAD, seconds, seeds, steady)
    over = await routing.run_medians(_OVERLOAD, seconds, seeds, steady)
    if not quick:
        for disturbance in (
            routing.HalfLost(at=0.4),
            routing.RegionCut(start=0.3, end=0.6),
        ):
            await routing.run_medians(
                _SPARSE_LOAD, seconds, seeds, disturbance
            )
    return _derive(normal, over)


def _derive(
    normal: list[records.Summary], over: list[records.Summary]
) -> list[figures.Figure]:
    own = routing.find_own(normal)
    others = routing.find_baselines(normal)
    stall = min(row.stall_seconds for row in others)
    preemptions = min(row.preemptions for row in others)
    goodput = routing.find_own(over).goodput / own.goodput
    return [
        figures.Figure(
            'stall_ratio_90',
            figures.find_ratio(own.stall_seconds, stall),
            'ratio',
        ),
        figures.Figure(
            'preemption_ratio_90',
            figures.find_ratio(own.preemptions, preemptions),
            'ratio',
        ),
        figures.Figure('first_token_p95_90', own.first_token_p95, 's'),
        figures.Figure('inter_token_p95_90', own.inter_token_p95, 'ms'),
        figures.Figure('goodput_ratio_120', goodput, 'ratio'),
    ]


def main(quick: int = 0, seed: int = 1) -> None:
    """Run all scenario groups and print tables and figures."""
    core.configure_logging('error', 'text')
    started = time.monotonic()
    found = anyio.run(compare_policies, bool(quick), seed)
    row = decisions.measure_decisions((_TARGETS,), _DECISIONS)[0]
    found.append(
        figures.Figure('decision_time_500', row.p99_seconds * 1e6, 'us')
    )
    elapsed = time.monotonic() - started
    print(f'\nFigures, seed {seed}, quick {quick}, after {elapsed:.0f} s')
    for figure in found:
        figures.print_figure(figure)


if __name__ == '__main__':
    typer.run(main)
