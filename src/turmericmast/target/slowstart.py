"""Slow start: the limit of concurrent requests while a target warms up."""

from typing import final

SUCCESSES_PER_STEP = 4
"""Successes that raise the limit by one, as a multiple of the limit."""


@final
class SlowStart:
    """A limit that starts at ``cold_slots`` and grows with each success."""

    def __init__(self, cold_slots: int, slots: int) -> None:
        """Start at the cold limit; ``slots`` is the limit of a warm target."""
        self._cold_slots = cold_slots
        self._slots = slots
        self.limit = cold_slots
        self._successes = 0

    @property
    def is_warm(self) -> bool:
        """Tell whether the limit has reached the full number of slots."""
        return self.limit >= self._slots

    def record_success(self) -> None:
        """Count a success that took no longer than usual."""
        if self.is_warm:
            return
        self._successes += 1
        if self._successes >= SUCCESSES_PER_STEP * self.limit:
            self._successes = 0
            self.limit += 1

    def reset(self) -> None:
        """Return to the cold limit, as after a restart of the target."""
        self.limit = self._cold_slots
        self._successes = 0
