"""When a second target should be tried beside one that has slowed down."""

from typing import final

from turmericmast.balance.pool import Candidate
from turmericmast.balance.value import (
    ROUND_TRIP_BY_DISTANCE,
    Outlook,
    expected_time,
    gain,
    octets_cost,
)
from turmericmast.ids import Seconds

FIRST_LOOK = 0.7
"""Multiples of the usual work after which to look for the first time.

A second target has to answer within the aim as well, so a slow first one must
be known before its answer is overdue."""
NEXT_LOOK = 0.02
"""Seconds between two further looks: some round trips within a region."""
FRESH_LOOK = 0.03
"""Seconds for which a report shows how the first target does now."""
LONG_WORK = 1.2
"""Multiples of the usual work that a request without answer may take."""
LEAST_LEFT = 0.25
"""Multiples of the usual work that are left at least, as far as known."""
WORTH_A_REPEAT = 0.25
"""Worth that a repeat has to add, as it loads a second target."""
WORTH_WHEN_LATE = 0.04
"""The same once the aim is missed and little is left to gain."""


@final
class Hedge:
    """Watches one attempt by what its target reports meanwhile."""

    def __init__(self, chosen: Candidate, began_at: Seconds) -> None:
        """Start with the target as it was at the sending."""
        self._chosen = chosen
        self._began_at = began_at
        self._slowness = chosen.standing.report.slowness

    def first_look(self, work: float) -> float:
        """Return the seconds until it makes sense to look."""
        return FIRST_LOOK * work

    def needs_report(self, now: Seconds) -> bool:
        """Tell whether the target has to be asked how it does."""
        standing = self._chosen.standing
        last = max(standing.reported_at, standing.probed_at)
        return now - last > FRESH_LOOK

    def is_on_course(self, outlook: Outlook, now: Seconds) -> bool:
        """Tell whether no second target could add enough."""
        left = self.left(outlook.work, now)
        return 1 - gain(left, outlook) < WORTH_WHEN_LATE

    def left(self, work: float, now: Seconds) -> float:
        """Return the expected seconds until the target answers.

        How far it is follows from how slow it was at the sending and is now.
        One that is overdue will take as long again: it may never answer.
        """
        slow_now = self._chosen.standing.report.slowness
        usual = (self._slowness + slow_now) / 2
        done = (now - self._began_at) / max(usual, 1)
        overdue = done - LONG_WORK * work
        rest = max(-overdue, LEAST_LEFT * work, overdue)
        return ROUND_TRIP_BY_DISTANCE[self._chosen.distance] + rest * slow_now

    def is_worth(
        self,
        second: Candidate,
        outlook: Outlook,
        now: Seconds,
    ) -> bool:
        """Tell whether a repeat at another target is likely to pay."""
        took = expected_time(second.standing, second.distance, outlook.work)
        left = self.left(outlook.work, now)
        added = gain(took, outlook) - gain(left, outlook)
        added -= octets_cost(second.distance, outlook)
        if outlook.aim_left <= took:
            return added > WORTH_WHEN_LATE
        return added > WORTH_A_REPEAT
