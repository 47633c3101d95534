"""Resource usage of processes, latency percentiles and linear fits."""

import dataclasses
import os
import pathlib
import time
from collections.abc import Iterable, Sequence
from typing import final

from hdrh.histogram import HdrHistogram

from bench.blockinghttp import request
from bench.fleet import Fleet

TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
"""Clock ticks per second, the unit in which /proc counts CPU time."""
MAX_LATENCY_MICROS = 600_000_000
"""Highest latency that the histogram tells apart, in microseconds."""
PERCENTILES = (50, 90, 99, 99.9)
MICROS_PER_SECOND = 1_000_000


@final
@dataclasses.dataclass(frozen=True)
class ProcessSample:
    """Resource counters of a process at one time."""

    taken_at: float
    """Monotonic time in seconds."""
    cpu_seconds: float
    """CPU time since the start of the process, in seconds."""
    rss_mib: float
    """Resident memory in MiB."""
    bytes_sent: int
    """Octets sent to other processes of the system."""


@final
@dataclasses.dataclass(frozen=True)
class ResourceUsage:
    """Resources that a process used between two samples."""

    cpu_percent: float
    """CPU time in percent of one core."""
    rss_mib: float
    """Resident memory in MiB at the end."""
    bytes_per_second: float
    """Octets a second sent to other processes of the system."""


def sample_process(fleet: Fleet, name: str) -> ProcessSample:
    """Read the counters of a running process.

    Octets sent are 0 for targets, which have no metrics.
    """
    pid = fleet.process_by_name[name].pid
    process = pathlib.Path('/proc') / str(pid)
    pages = int((process / 'statm').read_text().split()[1])
    plan = fleet.plan_by_name.get(name)
    counters = fetch_metrics(plan.http) if plan else {}
    return ProcessSample(
        time.monotonic(),
        processor_seconds(pid),
        pages * os.sysconf('SC_PAGE_SIZE') / 1024**2,
        int(counters.get('turmericmast_bytes_sent_total', 0)),
    )


def processor_seconds(pid: int) -> float:
    """Return the CPU time of a running process since its start."""
    stat = pathlib.Path('/proc') / str(pid) / 'stat'
    # The fields after the name of the program; 11 and 12 of them are the CPU
    # time in user and in system mode.
    fields = stat.read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def usage_between(before: ProcessSample, after: ProcessSample) -> ResourceUsage:
    """Return the resources used between two samples."""
    seconds = after.taken_at - before.taken_at
    return ResourceUsage(
        cpu_percent=100 * (after.cpu_seconds - before.cpu_seconds) / seconds,
        rss_mib=after.rss_mib,
        bytes_per_second=(after.bytes_sent - before.bytes_sent) / seconds,
    )


def fetch_metrics(address: str) -> dict[str, float]:
    """Return the metrics of a process by their name with labels."""
    _, _, octets = request('GET', f'http://{address}/-/metrics')
    lines = (line.rpartition(' ') for line in octets.decode().splitlines())
    return {name: float(number) for name, _, number in lines if name}


def percentiles(latencies: Iterable[float]) -> list[float]:
    """Return the ``PERCENTILES`` of latencies in seconds, in milliseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_MICROS, 3)
    for latency in latencies:
        micros = max(int(latency * MICROS_PER_SECOND), 1)
        histogram.record_value(min(micros, MAX_LATENCY_MICROS))
    return [
        histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    ]


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Fit a line by least squares; return its slope and its value at zero."""
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_cost = sum(cost for _, cost in points) / count
    spread = sum((size - mean_size) ** 2 for size, _ in points)
    rise = sum((size - mean_size) * (cost - mean_cost) for size, cost in points)
    per_unit = rise / spread if spread else 0
    return per_unit, mean_cost - per_unit * mean_size
