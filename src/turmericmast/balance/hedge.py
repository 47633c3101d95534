"""Hedging: when to send a request to a second target as well."""

from typing import final

from turmericmast.balance.candidate import Candidate
from turmericmast.balance.scoring import (
    ROUND_TRIP_BY_DISTANCE,
    RequestEstimate,
    answer_value,
    expected_latency,
    transfer_cost,
)
from turmericmast.ids import Seconds

FIRST_CHECK = 0.7
"""Multiples of the service time after which an attempt is first checked.

A hedge must still be answered within the latency goal, so a slow target has to
be detected before its answer is overdue."""
CHECK_INTERVAL = 0.02
"""Least seconds between further checks; a few round trips within a region."""
CHECK_SHARE = 0.05
"""Seconds between further checks, as a fraction of the service time."""
FRESH_DURATION = 0.03
"""Least seconds for which a report of the target is recent enough."""
FRESH_SHARE = 0.15
"""The same as a fraction of the service time.

A long request would else cost several probes until it is answered."""
OVERDUE_AFTER = 1.2
"""Multiples of the service time after which an answer is overdue."""
MIN_REMAINING = 0.25
"""Least remaining work to expect, in multiples of the service time."""
MIN_GAIN = 0.25
"""Score that a hedge has to add, since it loads a second target."""
MIN_GAIN_WHEN_LATE = 0.04
"""Score that a hedge has to add if its answer would miss the latency goal.

Less than ``MIN_GAIN``, since little can still be gained."""


@final
class Hedge:
    """Decides whether an attempt needs a hedge, from its target's load."""

    def __init__(self, candidate: Candidate, began_at: Seconds) -> None:
        """Record the slowness of the target when the request is sent."""
        self._candidate = candidate
        self._began_at = began_at
        self._slowness = candidate.view.report.slowness

    def first_check_delay(self, service_time: float) -> float:
        """Return the seconds after which the attempt is first checked."""
        return FIRST_CHECK * service_time

    def check_interval(self, service_time: float) -> float:
        """Return the seconds between further checks of the attempt."""
        return max(CHECK_INTERVAL, CHECK_SHARE * service_time)

    def needs_report(self, service_time: float, now: Seconds) -> bool:
        """Tell whether to probe the target for its current load."""
        view = self._candidate.view
        last = max(view.reported_at, view.probed_at)
        return now - last > max(FRESH_DURATION, FRESH_SHARE * service_time)

    def is_on_schedule(self, estimate: RequestEstimate, now: Seconds) -> bool:
        """Tell whether even an instant second answer would gain too little."""
        remaining = self.remaining_time(estimate.service_time, now)
        return 1 - answer_value(remaining, estimate) < MIN_GAIN_WHEN_LATE

    def remaining_time(self, service_time: float, now: Seconds) -> float:
        """Return the expected seconds until the target answers.

        The work already done is estimated from the mean of the slowness at
        sending and the current one. An overdue answer is expected to take as
        long again as it is overdue, since it may never arrive.
        """
        current_slowness = self._candidate.view.report.slowness
        mean_slowness = (self._slowness + current_slowness) / 2
        done = (now - self._began_at) / max(mean_slowness, 1)
        overdue = done - OVERDUE_AFTER * service_time
        remaining = max(-overdue, MIN_REMAINING * service_time, overdue)
        return (
            ROUND_TRIP_BY_DISTANCE[self._candidate.distance]
            + remaining * current_slowness
        )

    def should_hedge(
        self,
        second: Candidate,
        estimate: RequestEstimate,
        now: Seconds,
    ) -> bool:
        """Tell whether sending to ``second`` as well is likely to pay off."""
        second_latency = expected_latency(
            second.view, second.distance, estimate.service_time
        )
        remaining = self.remaining_time(estimate.service_time, now)
        gain = answer_value(second_latency, estimate) - answer_value(
            remaining, estimate
        )
        gain -= transfer_cost(second.distance, estimate)
        if estimate.goal_left <= second_latency:
            return gain > MIN_GAIN_WHEN_LATE
        return gain > MIN_GAIN
