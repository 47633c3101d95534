"""Lines on standard output that never hold up the process that writes them."""

import collections
import os
from types import TracebackType
from typing import Self, final

from absl import logging

from turmericmast.ids import Seconds

MAX_WAITING_BYTES = 262_144
"""Octets kept for a reader that is slow; what comes beyond is left out."""
MAX_LINES_PER_SECOND = 20
"""Lines of one kind that are written in a second; the others are counted."""


@final
class LineRateLimiter:
    """Counts the lines of each kind in the present second."""

    def __init__(self) -> None:
        """Start a first second."""
        self._second = 0
        self._count_by_kind: collections.Counter[str] = collections.Counter()

    def admit(self, kind: str) -> bool:
        """Tell whether a line of a kind may be written."""
        self._count_by_kind[kind] += 1
        return self._count_by_kind[kind] <= MAX_LINES_PER_SECOND

    def start_second(self, now: Seconds) -> dict[str, int]:
        """Begin a new second; return how many lines were left out by kind."""
        if int(now) == self._second:
            return {}
        self._second = int(now)
        left_out = {
            kind: count - MAX_LINES_PER_SECOND
            for kind, count in self._count_by_kind.items()
            if count > MAX_LINES_PER_SECOND
        }
        self._count_by_kind.clear()
        return left_out


@final
class LineWriter:
    """Writes lines to a descriptor, or counts them while nobody reads."""

    def __init__(self, descriptor: int) -> None:
        """Write to an open descriptor, which is made not to block."""
        self.dropped_lines = 0
        """Lines left out because nobody read the earlier ones."""
        self._descriptor = descriptor
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._was_blocking = True
        self._has_complained = False

    def __enter__(self) -> Self:
        """Make writes return at once."""
        self._was_blocking = os.get_blocking(self._descriptor)
        os.set_blocking(self._descriptor, False)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Write what fits, and leave the descriptor as it was."""
        self.flush()
        os.set_blocking(self._descriptor, self._was_blocking)

    def write(self, line: str) -> None:
        """Write one line, now or when the reader is ready for it."""
        octets = f'{line}\n'.encode()
        if self._waiting_bytes + len(octets) > MAX_WAITING_BYTES:
            self.dropped_lines += 1
        else:
            self._waiting.append(octets)
            self._waiting_bytes += len(octets)
        self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes."""
        while self._waiting:
            octets = self._waiting[0]
            try:
                written = os.write(self._descriptor, octets)
            except BlockingIOError:
                # The lines wait; what finds no room is counted as lost.
                return
            except OSError as error:
                self._give_up(error)
                return
            self._waiting_bytes -= written
            if written < len(octets):
                self._waiting[0] = octets[written:]
                return
            self._waiting.popleft()

    def _give_up(self, error: OSError) -> None:
        """Lose what waits: nobody will ever read it here."""
        self.dropped_lines += len(self._waiting)
        self._waiting.clear()
        self._waiting_bytes = 0
        if not self._has_complained:
            self._has_complained = True
            logging.warning('standard output cannot be written: %s', error)
