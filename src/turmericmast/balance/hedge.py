"""When a second target should be tried beside one that has slowed down."""

from typing import final

from turmericmast.balance.pool import Candidate
from turmericmast.balance.scoring import (
    ROUND_TRIP_BY_DISTANCE,
    RequestEstimate,
    answer_value,
    expected_latency,
    transfer_cost,
)
from turmericmast.ids import Seconds

FIRST_CHECK = 0.7
"""Multiples of the usual work after which to look for the first time.

A second target has to answer within the aim as well, so a slow first one must
be known before its answer is overdue."""
CHECK_INTERVAL = 0.02
"""Seconds between two further looks: some round trips within a region."""
FRESH_DURATION = 0.03
"""Seconds for which a report shows how the first target does now."""
OVERDUE_AFTER = 1.2
"""Multiples of the usual work that a request without answer may take."""
MIN_REMAINING = 0.25
"""Multiples of the usual work that are left at least, as far as known."""
MIN_GAIN = 0.25
"""Worth that a repeat has to add, as it loads a second target."""
MIN_GAIN_WHEN_LATE = 0.04
"""The same once the aim is missed and little is left to gain."""


@final
class Hedge:
    """Watches one attempt by what its target reports meanwhile."""

    def __init__(self, chosen: Candidate, began_at: Seconds) -> None:
        """Start with the target as it was at the sending."""
        self._chosen = chosen
        self._began_at = began_at
        self._slowness = chosen.view.report.slowness

    def first_check_delay(self, service_time: float) -> float:
        """Return the seconds until it makes sense to look."""
        return FIRST_CHECK * service_time

    def needs_report(self, now: Seconds) -> bool:
        """Tell whether the target has to be asked how it does."""
        view = self._chosen.view
        last = max(view.reported_at, view.probed_at)
        return now - last > FRESH_DURATION

    def is_on_schedule(self, estimate: RequestEstimate, now: Seconds) -> bool:
        """Tell whether no second target could add enough."""
        remaining = self.remaining_time(estimate.service_time, now)
        return 1 - answer_value(remaining, estimate) < MIN_GAIN_WHEN_LATE

    def remaining_time(self, service_time: float, now: Seconds) -> float:
        """Return the expected seconds until the target answers.

        How far it is follows from how slow it was at the sending and is now.
        One that is overdue will take as long again: it may never answer.
        """
        current_slowness = self._chosen.view.report.slowness
        mean_slowness = (self._slowness + current_slowness) / 2
        done = (now - self._began_at) / max(mean_slowness, 1)
        overdue = done - OVERDUE_AFTER * service_time
        remaining = max(-overdue, MIN_REMAINING * service_time, overdue)
        return (
            ROUND_TRIP_BY_DISTANCE[self._chosen.distance]
            + remaining * current_slowness
        )

    def should_hedge(
        self,
        second: Candidate,
        estimate: RequestEstimate,
        now: Seconds,
    ) -> bool:
        """Tell whether a repeat at another target is likely to pay."""
        took = expected_latency(
            second.view, second.distance, estimate.service_time
        )
        remaining = self.remaining_time(estimate.service_time, now)
        added = answer_value(took, estimate) - answer_value(remaining, estimate)
        added -= transfer_cost(second.distance, estimate)
        if estimate.goal_left <= took:
            return added > MIN_GAIN_WHEN_LATE
        return added > MIN_GAIN
