"""Targets that say in their answers that they are leaving."""

import enum
import math
from typing import final

from turmericmast.ids import Seconds

LAST_RESORT_MARGIN = 0.25
"""Seconds before the end of the drain time from which nothing more is sent.

A target may stop right at the end, and a request takes a while to arrive."""


@final
class DepartureStage(enum.Enum):
    """How far the departure of a target has come."""

    staying = 'staying'
    """It has not said that it leaves."""
    last_resort = 'last_resort'
    """It gets requests that no other target can serve."""
    closed = 'closed'
    """It gets no requests."""


@final
class Departure:
    """What one incarnation of a target has said about leaving.

    It cannot be taken back: the next incarnation begins anew.
    """

    def __init__(self, drain: Seconds) -> None:
        """Begin with a target that stays.

        From its first answer that says otherwise, it takes requests for
        ``drain`` seconds.
        """
        self._drain = drain
        self.has_begun = False
        """Whether the target has said that it leaves."""
        self._began_at = math.inf
        self._ends_at = math.inf

    def begin(self, began_at: Seconds) -> bool:
        """Record an answer that was received at ``began_at``.

        The earliest answer counts. Return whether the departure was unknown.
        """
        was_unknown = not self.has_begun
        self.has_begun = True
        self._began_at = min(self._began_at, began_at)
        self._ends_at = self._began_at + max(
            self._drain - LAST_RESORT_MARGIN, 0
        )
        return was_unknown

    def stage(self, now: Seconds) -> DepartureStage:
        """Return how far the departure has come."""
        if not self.has_begun:
            return DepartureStage.staying
        is_closed = now >= self._ends_at
        return (
            DepartureStage.closed if is_closed else DepartureStage.last_resort
        )

    def age(self, now: Seconds) -> float:
        """Return the seconds since the first answer, negative without one."""
        return now - self._began_at

    def time_left(self, now: Seconds) -> float:
        """Return the seconds for which it is the last resort, 0 if closed."""
        return max(self._ends_at - now, 0)
