"""What the requests of one route usually take, learned from answers."""

from typing import final

USUAL_WORK = 0.1
"""Seconds of work that a request is taken for until answers were seen."""
USUAL_OCTETS = 1000.0
SMOOTHING = 0.05
"""Weight of the newest answer in the mean size."""
STEP = 0.03
"""Share by which one answer moves the median of the work."""


@final
class Usual:
    """Follows the answers to the requests of one route at a service.

    Routes that share a service differ in both: orders and downloads may go
    to the same targets.
    """

    def __init__(self) -> None:
        """Start with a guess."""
        self.work = USUAL_WORK
        """Seconds of work on an undisturbed target."""
        self.octets = USUAL_OCTETS
        """Size of the bodies of a request and its answer."""

    def learn(self, took: float, slowness: float, octets: int) -> None:
        """Learn from an answer that took some seconds.

        The median is followed, not the mean: an answer whose target slowed
        down on the way takes many times as long, and says nothing of the
        work.
        """
        is_longer = took / max(slowness, 1) > self.work
        self.work *= 1 + STEP if is_longer else 1 - STEP
        self.octets += SMOOTHING * (octets - self.octets)
