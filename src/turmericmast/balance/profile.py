"""What the requests of one route usually take, learned from answers."""

from typing import final

INITIAL_SERVICE_TIME = 0.1
"""Seconds of work that a request is taken for until answers were seen."""
INITIAL_OCTETS = 1000.0
SIZE_WEIGHT = 0.05
"""Weight of the newest answer in the mean size."""
SERVICE_TIME_STEP = 0.03
"""Share by which one answer moves the median of the work."""


@final
class RouteProfile:
    """Follows the answers to the requests of one route at a service.

    Routes that share a service differ in both: orders and downloads may go
    to the same targets.
    """

    def __init__(self) -> None:
        """Start with a guess."""
        self.service_time = INITIAL_SERVICE_TIME
        """Seconds of work on an undisturbed target."""
        self.octets = INITIAL_OCTETS
        """Size of the bodies of a request and its answer."""

    def learn(self, took: float, slowness: float, octets: int) -> None:
        """Learn from an answer that took some seconds.

        The median is followed, not the mean: an answer whose target slowed
        down on the way takes many times as long, and says nothing of the
        work.
        """
        is_longer = took / max(slowness, 1) > self.service_time
        self.service_time *= (
            1 + SERVICE_TIME_STEP if is_longer else 1 - SERVICE_TIME_STEP
        )
        self.octets += SIZE_WEIGHT * (octets - self.octets)
