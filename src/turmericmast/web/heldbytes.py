"""Room for long bodies that are held before anything is sent."""

from typing import final

MAX_HELD_BYTES = 16_777_216
"""Bytes that one instance holds, of all bodies together."""


@final
class HeldBytes:
    """Counts the bytes that one instance holds."""

    def __init__(self, limit: int = MAX_HELD_BYTES) -> None:
        """Hold ``limit`` bytes at most."""
        self._limit = limit
        self.size = 0
        """Bytes that are held."""

    def try_take(self, size: int) -> bool:
        """Hold ``size`` more bytes; return whether there was room."""
        if self.size + size > self._limit:
            return False
        self.size += size
        return True

    def release(self, size: int) -> None:
        """Return bytes that are no longer held."""
        self.size -= size
