"""Reproducible schedules of the times at which a target works slowly.

With the same seed, an emulated target and the computation of the ideal
latencies in ``bench.bench`` get the same schedule.
"""

import bisect
import dataclasses
import random
from typing import final

HORIZON = 600.0
"""Length of a schedule in seconds; after it, a target is never slow."""


@final
@dataclasses.dataclass(frozen=True)
class SlowdownProfile:
    """Distribution of slowdowns: their intervals and lengths in seconds.

    A slowdown multiplies the service time by a factor.
    """

    mean_interval: float = 3.0
    min_length: float = 0.05
    max_length: float = 0.5
    min_factor: float = 10.0
    max_factor: float = 50.0


@final
class SlowdownSchedule:
    """Slowdowns of one target, drawn at random from a seed."""

    def __init__(self, seed: str, profile: SlowdownProfile) -> None:
        """Draw slowdowns until the horizon."""
        generator = random.Random(seed)
        self._starts: list[float] = []
        self._slowdowns: list[tuple[float, float]] = []
        at = generator.expovariate(1 / profile.mean_interval)
        while at < HORIZON:
            length = generator.uniform(profile.min_length, profile.max_length)
            factor = generator.uniform(profile.min_factor, profile.max_factor)
            self._starts.append(at)
            self._slowdowns.append((at + length, factor))
            at += length + generator.expovariate(1 / profile.mean_interval)

    def finish_time(self, start: float, work: float) -> float:
        """Return when ``work`` seconds of work begun at ``start`` are done.

        Times are seconds since the start of the schedule.
        """
        now = start
        work_left = work
        position = max(bisect.bisect_right(self._starts, now) - 1, 0)
        while position < len(self._starts):
            slowdown_start = self._starts[position]
            slowdown_end, factor = self._slowdowns[position]
            if now < slowdown_start:
                if work_left <= slowdown_start - now:
                    return now + work_left
                work_left -= slowdown_start - now
                now = slowdown_start
            if now < slowdown_end:
                work_done = (slowdown_end - now) / factor
                if work_left <= work_done:
                    return now + work_left * factor
                work_left -= work_done
                now = slowdown_end
            position += 1
        return now + work_left
