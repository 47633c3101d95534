"""Slow start: how fast one instance sends to a cold target."""

import math
from typing import final

from turmericmast.balance.assignment import MAX_COLD_SENDERS
from turmericmast.ids import Seconds

RATE_SHARE = 0.75
"""Fraction of a cold target's permitted request rate that is used."""
UNCONFIRMED_SHARE = 0.75
"""Requests to a warm target between two confirmations that it is warm, as a
fraction of those that it accepts in a second while it is cold.

They may all come in one second with those that it gets as a cold target."""


def most_unconfirmed(rate: float) -> float:
    """Return how many requests a target may get without a confirmation.

    ``rate`` is the number of requests a second that it accepts from all
    instances together while it is cold, 0 if it is always warm.
    """
    return max(rate * UNCONFIRMED_SHARE, 1) if rate > 0 else math.inf


@final
class ColdRateLimiter:
    """Spaces one instance's requests to a cold target evenly."""

    def __init__(self) -> None:
        """Permit the first request at once."""
        self._free_at = float(0)

    def allows(self, now: Seconds) -> bool:
        """Tell whether a request may be sent now."""
        return now >= self._free_at

    def record_send(self, rate: float, now: Seconds) -> None:
        """Delay the next request after one was sent.

        ``rate`` is the number of requests a second that the cold target
        accepts from all instances together.
        """
        own_rate = max(rate, 1) * RATE_SHARE / MAX_COLD_SENDERS
        self._free_at = now + 1 / own_rate
