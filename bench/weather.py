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
class Climate:
    """What kind of slow spells targets have; times in seconds."""

    every: float = 3.0
    shortest: float = 0.05
    longest: float = 0.5
    factor_low: float = 10.0
    factor_high: float = 50.0


@final
class Weather:
    """Slow spells of one target."""

    def __init__(self, seed: str, climate: Climate) -> None:
        """Draw spells until the horizon."""
        source = random.Random(seed)
        self._starts: list[float] = []
        self._spells: list[tuple[float, float]] = []
        at = source.expovariate(1 / climate.every)
        while at < HORIZON:
            length = source.uniform(climate.shortest, climate.longest)
            factor = source.uniform(climate.factor_low, climate.factor_high)
            self._starts.append(at)
            self._spells.append((at + length, factor))
            at += length + source.expovariate(1 / climate.every)

    def finish(self, start: float, work: float) -> float:
        """Return when work that begins at ``start`` is done."""
        now = start
        left = work
        position = max(bisect.bisect_right(self._starts, now) - 1, 0)
        while position < len(self._starts):
            spell_start = self._starts[position]
            spell_end, factor = self._spells[position]
            if now < spell_start:
                if left <= spell_start - now:
                    return now + left
                left -= spell_start - now
                now = spell_start
            if now < spell_end:
                done = (spell_end - now) / factor
                if left <= done:
                    return now + left * factor
                left -= done
                now = spell_end
            position += 1
        return now + left
