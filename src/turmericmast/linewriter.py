"""Rate-limited lines on standard output that never block the process."""

import collections
import os
from types import TracebackType
from typing import Self, final

from absl import logging

from turmericmast.ids import Seconds

MAX_WAITING_BYTES = 262_144
"""Bytes that are buffered for a slow reader; lines beyond them are dropped."""
MAX_LINES_PER_SECOND = 20
"""Lines of one kind that are written in a second; the rest is counted."""


@final
class LineRateLimiter:
    """Limits the lines of each kind in a second of the clock."""

    def __init__(self) -> None:
        """Start with no lines counted."""
        self._second = 0
        self._count_by_kind: collections.Counter[str] = collections.Counter()

    def admit(self, kind: str) -> bool:
        """Count a line of a kind; tell whether it may be written."""
        self._count_by_kind[kind] += 1
        return self._count_by_kind[kind] <= MAX_LINES_PER_SECOND

    def start_second(self, now: Seconds) -> dict[str, int]:
        """Reset the counts if a new second has begun.

        Return how many lines of each kind were dropped in the last one.
        """
        if int(now) == self._second:
            return {}
        self._second = int(now)
        dropped = {
            kind: count - MAX_LINES_PER_SECOND
            for kind, count in self._count_by_kind.items()
            if count > MAX_LINES_PER_SECOND
        }
        self._count_by_kind.clear()
        return dropped


@final
class LineWriter:
    """Writes lines to a file descriptor without blocking.

    Lines wait in a bounded buffer while nobody reads; the rest is dropped.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to an open descriptor; entering makes it non-blocking."""
        self.dropped_lines = 0
        """Lines that were dropped because earlier ones had not been read."""
        self._descriptor = descriptor
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._was_blocking = True
        self._has_warned = False

    def __enter__(self) -> Self:
        """Make the descriptor non-blocking."""
        self._was_blocking = os.get_blocking(self._descriptor)
        os.set_blocking(self._descriptor, False)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Write what the reader accepts; restore the mode of the descriptor."""
        self.flush()
        os.set_blocking(self._descriptor, self._was_blocking)

    def write(self, line: str) -> None:
        """Write a line, or buffer it until the next ``write`` or ``flush``."""
        octets = f'{line}\n'.encode()
        if self._waiting_bytes + len(octets) > MAX_WAITING_BYTES:
            self.dropped_lines += 1
        else:
            self._waiting.append(octets)
            self._waiting_bytes += len(octets)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts."""
        while self._waiting:
            octets = self._waiting[0]
            try:
                written = os.write(self._descriptor, octets)
            except BlockingIOError:
                # The lines stay buffered until the next call.
                return
            except OSError as error:
                self._drop_waiting(error)
                return
            self._waiting_bytes -= written
            if written < len(octets):
                self._waiting[0] = octets[written:]
                return
            self._waiting.popleft()

    def _drop_waiting(self, error: OSError) -> None:
        """Drop the buffered lines: the descriptor takes no more of them."""
        self.dropped_lines += len(self._waiting)
        self._waiting.clear()
        self._waiting_bytes = 0
        if not self._has_warned:
            self._has_warned = True
            logging.warning(
                'standard output cannot be written, lines are dropped: %s',
                error,
            )
