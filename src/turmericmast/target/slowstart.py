"""How many requests a target may hold while it warms up."""

from typing import final

SUCCESSES_PER_STEP = 4
"""Successes, for each request of the present limit, that raise it by one."""


@final
class SlowStart:
    """A limit that starts at the cold limit and grows by successes."""

    def __init__(self, cold_slots: int, slots: int) -> None:
        """Start cold."""
        self._cold_slots = cold_slots
        self._slots = slots
        self.limit = cold_slots
        self._successes = 0

    @property
    def is_warm(self) -> bool:
        """Tell whether the full number of slots is reached."""
        return self.limit >= self._slots

    def record_success(self) -> None:
        """Count a success at normal speed."""
        if self.is_warm:
            return
        self._successes += 1
        if self._successes >= SUCCESSES_PER_STEP * self.limit:
            self._successes = 0
            self.limit += 1

    def reset(self) -> None:
        """Start over at the cold limit."""
        self.limit = self._cold_slots
        self._successes = 0
