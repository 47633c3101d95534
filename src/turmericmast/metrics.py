"""Counters and latency histograms, shown in the Prometheus text form."""

import collections
from collections.abc import Callable, Iterable, Iterator
from typing import TypeAlias, final

from hdrh.histogram import HdrHistogram

from turmericmast.units import MICROS_PER_SECOND

HIGHEST_MICROS = 600_000_000
PRECISION = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)

Labels: TypeAlias = tuple[tuple[str, str], ...]


@final
class Metrics:
    """Counts events and records durations of one process."""

    def __init__(self) -> None:
        """Start at zero."""
        self.count_by_name: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self._histogram_by_name: dict[tuple[str, Labels], HdrHistogram] = {}
        self._gauge_by_name: dict[str, Callable[[], float]] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        self.count_by_name[name, tuple(labels.items())] += amount

    def record(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        where = (name, tuple(labels.items()))
        histogram = self._histogram_by_name.get(where)
        if histogram is None:
            histogram = HdrHistogram(1, HIGHEST_MICROS, PRECISION)
            self._histogram_by_name[where] = histogram
        micros = max(int(seconds * MICROS_PER_SECOND), 1)
        histogram.record_value(min(micros, HIGHEST_MICROS))

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Show what ``read`` returns whenever metrics are asked for."""
        self._gauge_by_name[name] = read

    def render(self) -> str:
        """Return all metrics in the Prometheus text form."""
        return '\n'.join((*self._lines(), ''))

    def _lines(self) -> Iterator[str]:
        yield from self._counter_lines()
        for (name, labels), histogram in self._histograms():
            full = f'turmericmast_{name}_seconds'
            yield from (
                _quantile_line(full, labels, histogram, quantile)
                for quantile in QUANTILES
            )
            yield f'{full}_count{_braces(labels)} {histogram.total_count}'

    def _histograms(self) -> Iterable[tuple[tuple[str, Labels], HdrHistogram]]:
        return sorted(
            self._histogram_by_name.items(),
            key=lambda pair: pair[0],
        )

    def _counter_lines(self) -> Iterator[str]:
        for (name, labels), number in sorted(self.count_by_name.items()):
            yield f'turmericmast_{name}_total{_braces(labels)} {number}'
        for name, read in sorted(self._gauge_by_name.items()):
            yield f'turmericmast_{name} {read():g}'


def _quantile_line(
    name: str,
    labels: Labels,
    histogram: HdrHistogram,
    quantile: float,
) -> str:
    micros = histogram.get_value_at_percentile(100 * quantile)
    where = (*labels, ('quantile', str(quantile)))
    return f'{name}{_braces(where)} {micros / MICROS_PER_SECOND:g}'


def _braces(labels: Labels) -> str:
    if not labels:
        return ''
    inside = ','.join(f'{name}="{_escaped(text)}"' for name, text in labels)
    return f'{{{inside}}}'


def _escaped(text: str) -> str:
    slashed = text.replace('\\', r'\\').replace('"', r'\"')
    return slashed.replace('\n', r'\n')
