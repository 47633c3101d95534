"""Typical service time and size of a route's requests."""

import collections
from typing import final

INITIAL_GOAL_SHARE = 0.4
"""Service time before the first answer, as a fraction of the latency goal.

It matters after a restart, when callers that waited come back all at once."""
INITIAL_OCTETS = 1000.0
"""Size in bytes that is assumed before the first answer."""
INITIAL_DOWNLOAD_OCTETS = 100_000.0
"""The same in bytes for a download.

Without it, the first downloads of each instance cross slow, billed links."""
SIZE_WEIGHT = 0.05
"""Least weight of the newest answer in the average of the size."""
MEDIAN_WINDOW = 25
"""Newest answers whose median is the service time."""


@final
class RouteProfile:
    """Estimates of the requests of one route to one service.

    Routes are kept apart, since routes that share the targets of a service
    may differ in both estimates, such as orders and downloads. An instance of
    a large fleet gets few requests of each, so a few answers must suffice.
    """

    def __init__(
        self, latency_goal: float, *, is_download: bool = False
    ) -> None:
        """Begin with what the latency goal in seconds and the kind suggest."""
        self.service_time = INITIAL_GOAL_SHARE * latency_goal
        """Median seconds that a target takes when it is not slowed down."""
        self.octets = INITIAL_DOWNLOAD_OCTETS if is_download else INITIAL_OCTETS
        """Mean size of the bodies of a request and its answer, in bytes."""
        self._answers = 0
        self._service_times: collections.deque[float] = collections.deque(
            maxlen=MEDIAN_WINDOW
        )

    def learn(self, latency: float, slowness: float, octets: int) -> None:
        """Update the estimates from an answer after ``latency`` seconds.

        ``slowness`` is that of the target when the request was sent. The
        median is estimated, not the mean: an answer whose target slowed down
        in between takes many times as long, and would distort a mean.
        """
        self._service_times.append(latency / max(slowness, 1))
        ordered = sorted(self._service_times)
        self.service_time = ordered[(len(ordered) - 1) // 2]
        self.learn_size(octets)

    def learn_size(self, octets: int) -> None:
        """Update the size from the bodies of a request and its answer.

        That is all that an answer tells whose request waited for a slot: in an
        overload, the service time would grow with the queues.
        """
        self._answers += 1
        weight = max(SIZE_WEIGHT, 1 / self._answers)
        self.octets += weight * (octets - self.octets)
