"""Pauses that double while a fault goes on."""

from typing import final

MAX_DOUBLINGS = 8
"""Bound of the exponent; each pause has reached its maximum long before."""


@final
class Backoff:
    """Counts the faults of one kind that came one after the other."""

    def __init__(self) -> None:
        """Start without a fault."""
        self._faults = 0

    def pause(self, first: float, longest: float) -> float:
        """Count a fault; return the pause that it causes, in seconds."""
        doublings = min(self._faults, MAX_DOUBLINGS)
        self._faults += 1
        return min(first * 2**doublings, longest)

    def reset(self) -> None:
        """Forget the faults, since what had them works again."""
        self._faults = 0
