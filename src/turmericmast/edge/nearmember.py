"""How a starting edge finds the core member in its failure domain."""

import math
from typing import final

from turmericmast.clock import LONG_AGO
from turmericmast.ids import Seconds

PATIENCE = 3.0
"""Seconds after the first start of the system for which an edge waits.

The members outside of the contacts join within 1 to 2 s."""
ASK_INTERVAL = 0.3
"""Seconds between two questions whether the member has joined."""


@final
class NearMemberSearch:
    """Decides how long an edge waits for a member in its own domain.

    When the whole system starts for the first time, only the contacts are
    members, and most edges are in another failure domain than each of them.
    Hundreds of edges that got every change from there would overload the
    links between domains. No caller waits yet, so an edge asks only whether a
    member in its own domain has joined. A process that starts later takes the
    first member that answers, since its callers wait.
    """

    def __init__(self, started_at: Seconds, *, is_first_start: bool) -> None:
        """Wait from ``started_at`` on if the whole system starts."""
        self._ends_at = started_at + PATIENCE if is_first_start else LONG_AGO

    def is_on(self, now: Seconds) -> bool:
        """Tell whether to wait for a member in the own domain."""
        return now < self._ends_at

    def end(self) -> None:
        """Stop waiting, since the member was found."""
        self._ends_at = -math.inf
