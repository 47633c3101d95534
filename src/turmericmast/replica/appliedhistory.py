"""What a member of a replicated group had applied a while ago."""

import collections
import math
from typing import final

from turmericmast.ids import Index, Seconds

MAX_SAMPLES = 400
"""Samples that are kept: 20 s at intervals of 50 ms."""


@final
class AppliedHistory:
    """Samples of the applied index, taken at regular intervals.

    After a pause of the process, the last sample but one is from before it,
    even if messages that arrived meanwhile were handled first.
    """

    def __init__(self) -> None:
        """Begin with nothing applied."""
        self._samples: collections.deque[tuple[float, Index]] = (
            collections.deque(
                [(-math.inf, Index(0)), (-math.inf, Index(0))],
                maxlen=MAX_SAMPLES,
            )
        )

    @property
    def settled(self) -> Index:
        """Return the index that was applied before the last interval."""
        return self._samples[-2][1]

    def record(self, now: Seconds, index: Index) -> None:
        """Take a sample."""
        self._samples.append((now, index))

    def applied_at(self, time: float) -> Index:
        """Return the index that was applied at a time, 0 if it is unknown."""
        return next(
            (
                index
                for sampled_at, index in reversed(self._samples)
                if sampled_at <= time
            ),
            Index(0),
        )
