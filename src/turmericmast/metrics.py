"""Counters, gauges and latency histograms, in the Prometheus text format."""

import collections
from collections.abc import Callable, Iterable, Iterator
from typing import TypeAlias, final

from hdrh.histogram import HdrHistogram

from turmericmast.units import MICROS_PER_SECOND

MAX_DURATION_MICROS = 600_000_000
"""Microseconds; longer durations are recorded as this one."""
SIGNIFICANT_DIGITS = 2
"""Decimal digits to which a histogram keeps durations."""
QUANTILES = (0.5, 0.9, 0.99, 0.999)
"""Quantiles of each histogram that are rendered, as fractions."""

Labels: TypeAlias = tuple[tuple[str, str], ...]
"""Names and contents of labels, in the order in which they were passed."""


@final
class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        """Start without metrics; each appears when it is first used."""
        self.count_by_name: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self._histogram_by_name: dict[tuple[str, Labels], HdrHistogram] = {}
        self._gauge_by_name: dict[str, Callable[[], float]] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add ``amount`` to a counter."""
        self.count_by_name[name, tuple(labels.items())] += amount

    def record(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a latency histogram."""
        series = (name, tuple(labels.items()))
        histogram = self._histogram_by_name.get(series)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_DURATION_MICROS, SIGNIFICANT_DIGITS)
            self._histogram_by_name[series] = histogram
        micros = max(int(seconds * MICROS_PER_SECOND), 1)
        histogram.record_value(min(micros, MAX_DURATION_MICROS))

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge; ``read`` returns its value at each scrape."""
        self._gauge_by_name[name] = read

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return '\n'.join((*self._lines(), ''))

    def _lines(self) -> Iterator[str]:
        yield from self._counter_lines()
        for (name, labels), histogram in self._histograms():
            full = f'turmericmast_{name}_seconds'
            yield from (
                _quantile_line(full, labels, histogram, quantile)
                for quantile in QUANTILES
            )
            yield f'{full}_count{_label_set(labels)} {histogram.total_count}'

    def _histograms(self) -> Iterable[tuple[tuple[str, Labels], HdrHistogram]]:
        return sorted(
            self._histogram_by_name.items(),
            key=lambda pair: pair[0],
        )

    def _counter_lines(self) -> Iterator[str]:
        for (name, labels), number in sorted(self.count_by_name.items()):
            yield f'turmericmast_{name}_total{_label_set(labels)} {number}'
        for name, read in sorted(self._gauge_by_name.items()):
            yield f'turmericmast_{name} {read():g}'


def _quantile_line(
    name: str,
    labels: Labels,
    histogram: HdrHistogram,
    quantile: float,
) -> str:
    micros = histogram.get_value_at_percentile(100 * quantile)
    quantile_labels = (*labels, ('quantile', str(quantile)))
    return f'{name}{_label_set(quantile_labels)} {micros / MICROS_PER_SECOND:g}'


def _label_set(labels: Labels) -> str:
    if not labels:
        return ''
    pairs = ','.join(f'{name}="{_escape(text)}"' for name, text in labels)
    return f'{{{pairs}}}'


def _escape(text: str) -> str:
    slashed = text.replace('\\', r'\\').replace('"', r'\"')
    return slashed.replace('\n', r'\n')
