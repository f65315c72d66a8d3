"""Tables and figures on standard output."""

from __future__ import annotations

import math
import typing

import attrs


@attrs.frozen
class Figure:
    """One line of the result."""

    name: str
    """Stable name."""
    value: float | None
    """None when no run produced it."""
    unit: str
    """Unit, or `-` for a ratio or a count."""


def print_figure(figure: Figure) -> None:
    """Print `name value unit`."""
    if figure.value is None or math.isnan(figure.value):
        print(f'{figure.name} unmeasured -', flush=True)
    else:
        print(f'{figure.name} {figure.value:.4g} {figure.unit}', flush=True)


def print_table(
    title: str, rows: typing.Sequence[attrs.AttrsInstance]
) -> None:
    """Print rows of one class under the names of its attributes."""
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


def find_ratio(own: float, best: float) -> float:
    """Return a ratio; with nothing to compare to, 0 or infinity."""
    if best == 0:
        return 0.0 if own == 0 else math.inf
    return own / best


def _format(value: typing.Any) -> str:
    return f'{value:.3g}' if isinstance(value, float) else str(value)
