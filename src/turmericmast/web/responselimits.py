"""Limits of what a peer may send beside the body of a response."""

import enum
from typing import final

from turmericmast.metrics import Metrics

MAX_HEAD_BYTES = 65_536
"""Bytes of all heads and trailers of one response, interim heads included."""
MAX_HEAD_LINES = 1024
"""Lines of all heads and trailers of one response, empty lines included.

Each line costs time, and each header memory, however short it is."""
MAX_FRAMING_BYTES = 65_536
"""Bytes of one response that may follow each other without completing a line
or a part of the body, as in an extension of a chunk."""


@final
class OversizedPart(enum.Enum):
    """What exceeds its limit in a response; a metric label."""

    head = 'head'
    trailers = 'trailers'
    framing = 'framing'


@final
class HeadSize:
    """Size of the heads and trailers of one response."""

    def __init__(self) -> None:
        """Start with nothing received."""
        self._octets = 0
        self._lines = 0

    def add(self, line: bytes) -> bool:
        """Add a line; return whether the limits are kept."""
        self._octets += len(line)
        self._lines += 1
        return self._octets <= MAX_HEAD_BYTES and self._lines <= MAX_HEAD_LINES


def count_oversized(metrics: Metrics, part: OversizedPart) -> None:
    """Count a response that was cut off."""
    metrics.count('responses_oversized', part=part.value)
