"""The budget for hearing of load: it sets how often targets announce."""

from typing import final

SHORTEST_INTERVAL = 1.0
"""Seconds between two announcements of a target, when there is room."""
TYPICAL_BYTES = 700.0
"""Octets of an announcement and its answer, until some were seen."""
SMOOTHING = 0.05


@final
class MeasureBudget:
    """Spreads a budget in octets per second over the owned targets."""

    def __init__(self) -> None:
        """Start with a typical size."""
        self._mean_bytes = TYPICAL_BYTES

    def learn(self, size: int) -> None:
        """Note the size of an announcement with its answer."""
        self._mean_bytes += SMOOTHING * (size - self._mean_bytes)

    def interval(self, targets: int, limit: int) -> float:
        """Return the seconds between two announcements of one target."""
        return max(SHORTEST_INTERVAL, targets * self._mean_bytes / limit)
