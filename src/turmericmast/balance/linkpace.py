"""The pace of large bodies on the link of an instance."""

import math
from typing import final

from turmericmast.ids import Seconds

BODY_SHARE = 0.85
"""Share of the link that large bodies may use together.

The rest is for small requests, health checks and polls of the core. 5 MB on
4.25 Mbit/s take 11.1 s, within the time budget of 11.7 s of the largest
uploads; with 0.75 they would take 12.5 s."""
CATCH_UP = 0.05
"""Seconds of the pace that a body may make up for after a late timer.

Without it, timers that are 5 ms late cost a tenth of the rate."""


@final
class LinkPace:
    """Shares the link among large bodies, each way at its rate.

    A body that is received is sent on over the same link, the other way, so
    that one pace for what is received holds for both ways.
    """

    def __init__(self, link_rate: float = 0) -> None:
        """Pace by the octets a second of the link; 0: no pace."""
        self.rate = link_rate * BODY_SHARE
        """Octets a second of all large bodies together, 0 if not limited."""
        self.is_needed = True
        """Whether the routes have uploads, beside which others wait."""
        self._free_at = -math.inf

    @property
    def is_limited(self) -> bool:
        """Tell whether bodies are paced, at a rate that is known."""
        return self.rate > 0 and self.is_needed

    def pass_on(self, octets: int, now: Seconds) -> Seconds:
        """Count a part of a body; return when its body may go on.

        Bodies take turns by part: each waits until the parts of all bodies
        before it have left the link.
        """
        if not self.is_limited:
            return now
        self._free_at = max(self._free_at, now - CATCH_UP) + octets / self.rate
        return Seconds(self._free_at)
