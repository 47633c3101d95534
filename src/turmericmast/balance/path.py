"""Whether one instance itself reaches a target, whatever others do."""

import math
from typing import final

from turmericmast.ids import Seconds

CONFIRMATION_LIFETIME = 2.0
"""Seconds for which an answer to this instance shows that a path works."""


@final
class Path:
    """What the own connections and probes of an instance tell of a target."""

    def __init__(self) -> None:
        """Begin without evidence."""
        self.is_lost = False
        """Whether the last connection or probe did not get through."""
        self._lost_until = -math.inf
        self._confirmed_at = -math.inf

    def confirm(self, now: Seconds) -> None:
        """Record that the target answered at ``now``."""
        self.is_lost = False
        self._confirmed_at = now

    def lose(self, until: float) -> None:
        """Record that a connection or probe did not get through.

        New connections are expected to fail ``until`` then.
        """
        self.is_lost = True
        self._lost_until = until

    def is_confirmed(self, now: Seconds) -> bool:
        """Tell whether the target has just answered."""
        is_recent = now - self._confirmed_at < CONFIRMATION_LIFETIME
        return is_recent and not self.is_lost

    def is_doubtful(self, now: Seconds) -> bool:
        """Tell whether new connections are expected to fail.

        Open connections may be answered all the same.
        """
        return self.is_lost or now < self._lost_until
