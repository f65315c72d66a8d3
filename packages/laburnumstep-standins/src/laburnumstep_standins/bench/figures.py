"""Prints tables and figures to standard output."""

from __future__ import annotations

import math
import typing

import attrs


@attrs.frozen
class Figure:
    """A named result of the benchmarks."""

    name: str
    """Name, the same in all versions."""
    value: float | None
    """Measured value; None without a measurement."""
    unit: str
    """Unit of the value, `ratio` or `count`."""


def print_figure(figure: Figure) -> None:
    """Print a figure as `name value unit`.

    None and NaN are printed as `name unmeasured -`.
    """
    if figure.value is None or math.isnan(figure.value):
        print(f'{figure.name} unmeasured -', flush=True)
    else:
        print(f'{figure.name} {figure.value:.4g} {figure.unit}', flush=True)


def print_table(
    title: str, rows: typing.Sequence[attrs.AttrsInstance]
) -> None:
    """Print a table with a column for each attribute of the rows.

    Args:
        title: Line above the table.
        rows: Instances of one class; its attribute names are the header.
    """
    print(f'\n{title}')
    if not rows:
        print('no rows', flush=True)
        return
    names = [field.name for field in attrs.fields(type(rows[0]))]
    cells = [names] + [
        [_format(getattr(row, name)) for name in names] for row in rows
    ]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    for line in cells:
        joined = '  '.join(
            cell.rjust(width) for cell, width in zip(line, widths, strict=True)
        )
        print(joined, flush=True)


def compute_ratio(own: float, best: float) -> float:
    """Return the ratio of a value to the best baseline.

    Args:
        own: Value of the project's policy.
        best: Best value of the baselines. When it is 0, the ratio is 0 if
            `own` is 0 too, and infinite otherwise.
    """
    if best == 0:
        return 0.0 if own == 0 else math.inf
    return own / best


def _format(value: typing.Any) -> str:
    return f'{value:.3g}' if isinstance(value, float) else str(value)
