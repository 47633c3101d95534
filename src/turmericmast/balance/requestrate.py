"""How many requests for a service arrive at one instance."""

import math
from typing import final

from turmericmast.ids import Seconds

DECAY_TIME = 1.0
"""Seconds over which requests are counted: bursts last some seconds."""


@final
class RequestRate:
    """A rate that follows the requests of the last moment."""

    def __init__(self) -> None:
        """Start without requests."""
        self._count = float(0)
        self._counted_at = float(0)

    def record(self, now: Seconds) -> None:
        """Count a request."""
        self._count = self._decayed_count(now) + 1
        self._counted_at = now

    def per_second(self, now: Seconds) -> float:
        """Return requests a second."""
        return self._decayed_count(now) / DECAY_TIME

    def _decayed_count(self, now: Seconds) -> float:
        return self._count * math.exp((self._counted_at - now) / DECAY_TIME)
