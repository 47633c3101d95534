"""The lease of an entry, as the entry itself counts it."""

import math
from typing import final

from turmericmast.ids import Epoch, Seconds


@final
class Lease:
    """Valid until a fixed time after the newest renewal was *sent*.

    Counting from the sending makes the entry stop before the leader gives
    its targets away, however long the answer took.
    """

    def __init__(self) -> None:
        """Start without a lease."""
        self.epoch = Epoch(0)
        self._ends_at = -math.inf

    def renew(self, epoch: Epoch, sent_at: Seconds, length: float) -> None:
        """Take an answer to a renewal sent at ``sent_at``."""
        if epoch != self.epoch:
            self.epoch = epoch
            self._ends_at = -math.inf
        self._ends_at = max(self._ends_at, sent_at + length)

    def drop(self) -> None:
        """Give the lease up."""
        self._ends_at = -math.inf

    def is_valid(self, now: Seconds) -> bool:
        """Tell whether work may start now."""
        return now < self._ends_at
