"""Typical service time and size of a route's requests."""

from typing import final

INITIAL_SERVICE_TIME = 0.1
"""Service time in seconds that is assumed before the first answer."""
INITIAL_OCTETS = 1000.0
"""Size in bytes that is assumed before the first answer."""
SIZE_WEIGHT = 0.05
"""Weight of the newest answer in the moving average of the size."""
SERVICE_TIME_STEP = 0.03
"""Fraction by which one answer moves the estimated median service time."""


@final
class RouteProfile:
    """Estimates of the requests of one route to one service.

    Routes are kept apart, since routes that share the targets of a service
    may differ in both estimates, such as orders and downloads.
    """

    def __init__(self) -> None:
        """Begin with default estimates."""
        self.service_time = INITIAL_SERVICE_TIME
        """Median seconds that a target takes when it is not slowed down."""
        self.octets = INITIAL_OCTETS
        """Mean size of the bodies of a request and its answer, in bytes."""

    def learn(self, latency: float, slowness: float, octets: int) -> None:
        """Update the estimates from an answer after ``latency`` seconds.

        ``slowness`` is that of the target when the request was sent. The
        median is estimated, not the mean: an answer whose target slowed down
        in between takes many times as long, and would distort a mean.
        """
        is_longer = latency / max(slowness, 1) > self.service_time
        self.service_time *= (
            1 + SERVICE_TIME_STEP if is_longer else 1 - SERVICE_TIME_STEP
        )
        self.octets += SIZE_WEIGHT * (octets - self.octets)
