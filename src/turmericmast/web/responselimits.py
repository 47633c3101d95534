"""Limits of what a peer may send beside the body of a response."""

import copy
import enum
from typing import Self, final

from turmericmast.metrics import Metrics

MAX_HEAD_BYTES = 65_536
"""Bytes of all heads and trailers of one response, interim heads included."""
MAX_HEAD_LINES = 1024
"""Lines of all heads and trailers of one response, empty lines included.

Each line costs time, and each header memory, however short it is."""
MAX_FRAMING_BYTES = 65_536
"""Bytes of one response that may follow each other without completing a line
or a part of the body, as in an extension of a chunk."""

MAX_CHUNKS_PER_TURN = 16
"""Parts of a body that a transfer passes on each time that curl reads.

A part may be one byte, while hundreds of kilobytes may have arrived."""
MAX_BYTES_PER_TURN = 65_536
"""Bytes of a body that a transfer passes on each time that curl reads."""


@final
class OversizedPart(enum.Enum):
    """What exceeds its limit in a response; a metric label."""

    head = 'head'
    trailers = 'trailers'
    framing = 'framing'


@final
class OversizedError(ValueError):
    """A response that exceeds a limit."""

    def __init__(self, part: OversizedPart) -> None:
        """Note which part of it does."""
        super().__init__(f'the {part.value} of the response are too long')
        self.part = part


@final
class HeadSize:
    """Size of the heads and trailers of one response."""

    def __init__(self) -> None:
        """Start with nothing received."""
        self.octets = 0
        """Bytes of the lines that were added."""
        self._lines = 0

    def add(self, line: bytes) -> bool:
        """Add a line; return whether the limits are kept."""
        self.octets += len(line)
        self._lines += 1
        return self.octets <= MAX_HEAD_BYTES and self._lines <= MAX_HEAD_LINES

    def fork(self) -> Self:
        """Return a copy, to which lines are added that may come once more."""
        return copy.copy(self)


@final
class TurnShare:
    """Parts of a body that one transfer has passed on in a turn."""

    def __init__(self) -> None:
        """Start in no turn."""
        self._turn = 0
        self._chunks = 0
        self._octets = 0

    def take(self, turn: int, octets: int) -> bool:
        """Take one part in ``turn``; return whether the share allows it."""
        if turn != self._turn:
            self._turn = turn
            self._chunks = 0
            self._octets = 0
        if self._octets >= MAX_BYTES_PER_TURN:
            return False
        self._chunks += 1
        self._octets += octets
        return self._chunks <= MAX_CHUNKS_PER_TURN

    def add_parts(self, count: int) -> None:
        """Count the parts of the body that the last one turned out to have."""
        self._chunks += max(count - 1, 0)


def count_oversized(metrics: Metrics, part: OversizedPart) -> None:
    """Count a response that was cut off."""
    metrics.count('responses_oversized', part=part.value)
