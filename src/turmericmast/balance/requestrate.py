"""The rate at which requests for a service arrive at one instance."""

import math
from typing import final

from turmericmast.ids import Seconds

DECAY_TIME = 1.0
"""Time constant of the decay in seconds; bursts last a few seconds."""


@final
class RequestRate:
    """An exponentially decaying count of recent requests."""

    def __init__(self) -> None:
        """Start with a rate of 0."""
        self._count = float(0)
        self._counted_at = float(0)

    def record(self, now: Seconds) -> None:
        """Count a request that arrived now."""
        self._count = self._decayed_count(now) + 1
        self._counted_at = now

    def per_second(self, now: Seconds) -> float:
        """Return the current rate in requests a second."""
        return self._decayed_count(now) / DECAY_TIME

    def _decayed_count(self, now: Seconds) -> float:
        return self._count * math.exp((self._counted_at - now) / DECAY_TIME)
