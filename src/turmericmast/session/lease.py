"""The lease of an entry, as the entry itself measures it."""

import math
from typing import final

from turmericmast.ids import Epoch, Seconds


@final
class Lease:
    """Permission to send requests until a time after the newest renewal.

    The lease is measured from when the renewal was sent, not answered. So it
    ends before the leader reassigns the targets, however late the answer is.
    """

    def __init__(self) -> None:
        """Start with a lease that is not valid and belongs to no session."""
        self.epoch = Epoch(0)
        self._ends_at = -math.inf

    def renew(self, epoch: Epoch, sent_at: Seconds, length: float) -> None:
        """Extend the lease to ``length`` seconds after ``sent_at``.

        ``sent_at`` is when the answered renewal was sent. A new epoch is a
        new session and ends the lease of the old one; late answers within an
        epoch never shorten the lease.
        """
        if epoch != self.epoch:
            self.epoch = epoch
            self._ends_at = -math.inf
        self._ends_at = max(self._ends_at, sent_at + length)

    def drop(self) -> None:
        """End the lease at once."""
        self._ends_at = -math.inf

    def is_valid(self, now: Seconds) -> bool:
        """Tell whether requests may be sent to owned targets now."""
        return now < self._ends_at
