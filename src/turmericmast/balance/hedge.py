"""When a second target should be tried beside one that has slowed down."""

from typing import final

from turmericmast.balance.pool import Candidate
from turmericmast.balance.value import (
    ROUND_TRIP_BY_DISTANCE,
    Outlook,
    expected_time,
    gain,
)
from turmericmast.ids import Seconds

FIRST_LOOK = 1.25
"""Multiples of the usual work after which most answers have arrived."""
NEXT_LOOK = 0.04
"""Seconds between two further looks."""
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
        if outlook.aim_left <= took:
            return added > WORTH_WHEN_LATE
        return added > WORTH_A_REPEAT
