"""The budget for hearing of load: it sets how often targets announce."""

import math
from typing import final

SHORTEST_INTERVAL = 1.0
"""Seconds between two announcements of a target, when there is room."""
TYPICAL_BYTES = 700.0
"""Octets of an announcement and its answer, until some were seen."""
SMOOTHING = 0.05
BURST_SECONDS = 2
"""Seconds of the budget that may be saved up."""


@final
class AnnouncementBudget:
    """Spreads a budget in octets per second over the owned targets."""

    def __init__(self) -> None:
        """Start with a typical size."""
        self._mean_bytes = TYPICAL_BYTES
        self._left = float(0)
        self._filled_at = -math.inf

    def admit(self, size: int, limit: int, now: float) -> bool:
        """Take the octets of an announcement from the budget, if it has them.

        Targets that announce more often than they were asked are heard no
        more than the budget allows.
        """
        refill = (now - self._filled_at) * limit
        self._left = min(self._left + refill, BURST_SECONDS * limit)
        self._filled_at = now
        self._mean_bytes += SMOOTHING * (size - self._mean_bytes)
        if size > self._left:
            return False
        self._left -= size
        return True

    def interval(self, targets: int, limit: int) -> float:
        """Return the seconds between two announcements of one target."""
        return max(SHORTEST_INTERVAL, targets * self._mean_bytes / limit)
