"""How many requests for a service arrive at one instance."""

import math
from typing import final

from turmericmast.ids import Seconds

MEMORY = 1.0
"""Seconds over which requests are counted: bursts last some seconds."""


@final
class Demand:
    """A rate that follows the requests of the last moment."""

    def __init__(self) -> None:
        """Start without requests."""
        self._count = float(0)
        self._counted_at = float(0)

    def note(self, now: Seconds) -> None:
        """Count a request."""
        self._count = self._remembered(now) + 1
        self._counted_at = now

    def rate(self, now: Seconds) -> float:
        """Return requests a second."""
        return self._remembered(now) / MEMORY

    def _remembered(self, now: Seconds) -> float:
        return self._count * math.exp((self._counted_at - now) / MEMORY)
