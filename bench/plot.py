"""Plots of benchmark results; needs matplotlib."""

import pathlib
from collections.abc import Mapping, Sequence
from typing import Any

import matplotlib as mpl

mpl.use('Agg')

from matplotlib import pyplot as plt  # noqa: E402

QUANTILES = ('p50', 'p90', 'p99', 'p99.9')


def draw_rows(
    name: str,
    rows: Sequence[Mapping[str, Any]],
    path: pathlib.Path,
) -> None:
    """Plot the percentiles of each row to a PNG file.

    A row without percentiles is plotted with all of its numbers.
    """
    figure, axes = plt.subplots(figsize=(8, 4))
    for row in rows:
        label = str(next(iter(row.values())))
        columns = [column for column in QUANTILES if column in row] or [
            column
            for column, number in row.items()
            if isinstance(number, (int, float))
        ]
        axes.plot(
            columns,
            [row[column] for column in columns],
            marker='o',
            label=label,
        )
    axes.set_yscale('symlog')
    axes.set_title(name)
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
