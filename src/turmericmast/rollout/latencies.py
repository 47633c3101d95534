"""Latencies in classes that are equally wide on a logarithmic scale."""

import math
from typing import Final

from turmericmast.ids import Seconds

SHORTEST: Final = 0.001
"""Seconds; shorter latencies are in the first class."""
CLASSES_PER_DOUBLING: Final = 2
BUCKETS: Final = 30
"""Number of classes; the last one begins at 16 s."""


def bucket_of(latency: Seconds) -> int:
    """Return the class of a latency, from 0 to ``BUCKETS`` - 1."""
    if latency <= SHORTEST:
        return 0
    position = CLASSES_PER_DOUBLING * math.log2(latency / SHORTEST)
    return min(int(position) + 1, BUCKETS - 1)


def bucket_start(bucket: int) -> Seconds:
    """Return the shortest latency of a class."""
    return Seconds(SHORTEST * 2 ** ((bucket - 1) / CLASSES_PER_DOUBLING))
