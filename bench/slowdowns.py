"""How fast a target works from moment to moment, known beforehand.

The same seed gives the same weather to a stand-in and to the computation
of the bound.
"""

import bisect
import dataclasses
import random
from typing import final

HORIZON = 600.0
"""Seconds for which weather is made."""


@final
@dataclasses.dataclass(frozen=True)
class SlowdownProfile:
    """What kind of slow spells targets have; times in seconds."""

    mean_interval: float = 3.0
    min_length: float = 0.05
    max_length: float = 0.5
    min_factor: float = 10.0
    max_factor: float = 50.0


@final
class SlowdownSchedule:
    """Slow spells of one target."""

    def __init__(self, seed: str, profile: SlowdownProfile) -> None:
        """Draw spells until the horizon."""
        source = random.Random(seed)
        self._starts: list[float] = []
        self._slowdowns: list[tuple[float, float]] = []
        at = source.expovariate(1 / profile.mean_interval)
        while at < HORIZON:
            length = source.uniform(profile.min_length, profile.max_length)
            factor = source.uniform(profile.min_factor, profile.max_factor)
            self._starts.append(at)
            self._slowdowns.append((at + length, factor))
            at += length + source.expovariate(1 / profile.mean_interval)

    def finish_time(self, start: float, work: float) -> float:
        """Return when work that begins at ``start`` is done."""
        now = start
        left = work
        position = max(bisect.bisect_right(self._starts, now) - 1, 0)
        while position < len(self._starts):
            slowdown_start = self._starts[position]
            slowdown_end, factor = self._slowdowns[position]
            if now < slowdown_start:
                if left <= slowdown_start - now:
                    return now + left
                left -= slowdown_start - now
                now = slowdown_start
            if now < slowdown_end:
                done = (slowdown_end - now) / factor
                if left <= done:
                    return now + left * factor
                left -= done
                now = slowdown_end
            position += 1
        return now + left
