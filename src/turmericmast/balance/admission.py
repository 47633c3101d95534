"""Which requests are refused, and when their callers should come back."""

import math
from typing import final

from turmericmast.balance.candidate import Candidate
from turmericmast.balance.scoring import RequestEstimate, expected_latency

MIN_DELAY = 0.05
"""Shortest time in seconds after which a refused caller may retry."""
MAX_DELAY = 1.0
"""Longest time in seconds after which a refused caller may retry."""
MIN_SPREAD = 0.5
"""Shortest delay, as a fraction of the time until there is room."""
OPENING_SPREAD = 0.5
"""Seconds over which callers return once a target takes requests again."""
GOLDEN_RATIO = 0.618
"""Step between the delays of two callers, so that any few are spread evenly."""


def is_admitted(
    best: Candidate, estimate: RequestEstimate, *, was_sent: bool
) -> bool:
    """Tell whether to send a request to its best target, or to refuse it.

    It is refused if it cannot be answered before its deadline, or if it would
    wait for a slot and then miss its latency goal: it would make all behind
    it late as well. One that was sent before is not given up for a queue.
    """
    latency = _latency(best, estimate)
    may_queue = was_sent or latency < estimate.goal_left
    is_useful = may_queue or best.view.has_free_slot()
    return is_useful and latency < estimate.time_left


def excess_latency(candidate: Candidate, estimate: RequestEstimate) -> float:
    """Return the seconds by which an idle target would respond earlier."""
    return _latency(candidate, estimate) - estimate.service_time


@final
class RetryDelays:
    """Spreads the return of refused callers over the time until there is room.

    Callers of a burst that all came back at once would be refused again.
    """

    def __init__(self, rank: float = 0) -> None:
        """Begin without a refused caller.

        ``rank``, from 0 to 1, is different at each instance: many instances
        may each refuse only a few callers.
        """
        self._rank = rank
        self._refused = 0

    def next_delay(self, until_room: float) -> float:
        """Return the delay of another caller, in seconds.

        ``until_room`` is the time until the best target has room.
        """
        return limited_delay(until_room * (MIN_SPREAD + self._next_spread()))

    def delay_after(self, until_open: float) -> float:
        """Return the delay of another caller, in seconds.

        It does not end before ``until_open``, when the first target takes
        requests again.
        """
        return limited_delay(until_open + OPENING_SPREAD * self._next_spread())

    def _next_spread(self) -> float:
        """Return a number from 0 to 1, far from the previous ones."""
        self._refused += 1
        spread, _ = math.modf(self._rank + self._refused * GOLDEN_RATIO)
        return spread


def limited_delay(delay: float) -> float:
    """Return a delay within ``MIN_DELAY`` and ``MAX_DELAY``."""
    return min(max(delay, MIN_DELAY), MAX_DELAY)


def _latency(candidate: Candidate, estimate: RequestEstimate) -> float:
    return expected_latency(
        candidate.view, candidate.distance, estimate.service_time
    )
