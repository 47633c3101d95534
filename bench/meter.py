"""What processes spend: processor time, memory, octets."""

import dataclasses
import os
import pathlib
import time
from collections.abc import Iterable, Sequence
from typing import final

from hdrh.histogram import HdrHistogram

from bench.fleet import Fleet
from bench.pages import request

TICKS = os.sysconf('SC_CLK_TCK')
HIGHEST_MICROS = 600_000_000
PERCENTILES = (50, 90, 99, 99.9)
MICROS = 1_000_000


@final
@dataclasses.dataclass(frozen=True)
class Reading:
    """One look at a process."""

    at: float
    cpu: float
    """Seconds of processor time since its start."""
    rss: float
    """Resident memory in MiB."""
    sent: int
    """Octets that it sent to other processes of the system."""


@final
@dataclasses.dataclass(frozen=True)
class Spent:
    """What a process spent between two looks."""

    core: float
    """Share of a core, in percent."""
    rss: float
    """Resident memory in MiB at the end."""
    sent: float
    """Octets a second to other processes of the system."""


def read_process(fleet: Fleet, name: str) -> Reading:
    """Look at a process."""
    process = pathlib.Path('/proc') / str(fleet.process_by_name[name].pid)
    fields = (process / 'stat').read_text().rpartition(')')[2].split()
    pages = int((process / 'statm').read_text().split()[1])
    plan = fleet.plan_by_name.get(name)
    counters = read_counters(plan.http) if plan else {}
    return Reading(
        time.monotonic(),
        (int(fields[11]) + int(fields[12])) / TICKS,
        pages * os.sysconf('SC_PAGE_SIZE') / 1024**2,
        int(counters.get('turmericmast_bytes_sent_total', 0)),
    )


def spent(before: Reading, after: Reading) -> Spent:
    """Return what was spent between two looks."""
    seconds = after.at - before.at
    return Spent(
        core=100 * (after.cpu - before.cpu) / seconds,
        rss=after.rss,
        sent=(after.sent - before.sent) / seconds,
    )


def read_counters(address: str) -> dict[str, float]:
    """Return the metrics of a process by name and labels."""
    _, _, octets = request('GET', f'http://{address}/-/metrics')
    lines = (line.rpartition(' ') for line in octets.decode().splitlines())
    return {name: float(number) for name, _, number in lines if name}


def percentiles(seconds: Iterable[float]) -> list[float]:
    """Return percentiles in milliseconds."""
    histogram = HdrHistogram(1, HIGHEST_MICROS, 3)
    for one in seconds:
        micros = max(int(one * MICROS), 1)
        histogram.record_value(min(micros, HIGHEST_MICROS))
    return [
        histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    ]


def slope(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return the line through points by least squares: per unit, at zero."""
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_cost = sum(cost for _, cost in points) / count
    spread = sum((size - mean_size) ** 2 for size, _ in points)
    rise = sum((size - mean_size) * (cost - mean_cost) for size, cost in points)
    per_unit = rise / spread if spread else 0
    return per_unit, mean_cost - per_unit * mean_size
