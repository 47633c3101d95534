"""The byte budget for announcements, which sets how often targets send them."""

import math
from typing import final

MIN_INTERVAL = 1.0
"""Seconds between announcements of a target when the budget allows more."""
INITIAL_MEAN_BYTES = 700.0
"""Bytes assumed for an announcement with its answer, before the first."""
SIZE_SMOOTHING = 0.05
"""Weight of the newest announcement in the mean size."""
BURST_SECONDS = 2
"""Seconds' worth of unused budget that can accumulate."""


@final
class AnnouncementBudget:
    """A token bucket in bytes per second, shared by all owned targets."""

    def __init__(self) -> None:
        """Assume the initial mean size until announcements arrive."""
        self._mean_bytes = INITIAL_MEAN_BYTES
        self._available_bytes = float(0)
        self._refilled_at = -math.inf

    def admit(self, size: int, limit: int, now: float) -> bool:
        """Charge ``size`` bytes; return false when the budget is exhausted.

        ``limit`` is the budget in bytes per second. It also holds for
        targets that announce more often than the interval they were given.
        """
        refill = (now - self._refilled_at) * limit
        self._available_bytes = min(
            self._available_bytes + refill, BURST_SECONDS * limit
        )
        self._refilled_at = now
        self._mean_bytes += SIZE_SMOOTHING * (size - self._mean_bytes)
        if size > self._available_bytes:
            return False
        self._available_bytes -= size
        return True

    def interval(self, targets: int, limit: int) -> float:
        """Return the seconds between announcements of each target.

        ``targets`` is the number of owned targets, ``limit`` the budget in
        bytes per second.
        """
        return max(MIN_INTERVAL, targets * self._mean_bytes / limit)
