"""Whether an instance knows the state of the core as it was just now."""

import abc
from typing import final

from turmericmast.clock import LONG_AGO
from turmericmast.ids import Seconds


class Freshness(abc.ABC):
    """Tells how old the newest proof of the core's state is."""

    @abc.abstractmethod
    def is_fresh(self, now: Seconds, within: Seconds) -> bool:
        """Tell whether there is a proof from the last ``within`` seconds."""


@final
class PollFreshness(Freshness):
    """Takes the sending time of an answered poll as the proof."""

    def __init__(self) -> None:
        """Begin without a proof, as after every start."""
        self.proven_at = LONG_AGO

    def prove(self, at: Seconds) -> None:
        """Record that the state of the core at ``at`` has been applied."""
        self.proven_at = max(self.proven_at, at)

    def is_fresh(self, now: Seconds, within: Seconds) -> bool:
        """Tell whether there is a proof from the last ``within`` seconds."""
        return now - self.proven_at <= within
