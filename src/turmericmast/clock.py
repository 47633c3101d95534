"""Clocks: elapsed time, wall time and the hybrid logical clock."""

import abc
import dataclasses
import math
import time
from typing import final

from turmericmast.ids import Millis, Seconds
from turmericmast.units import NANOS_PER_MILLI

LONG_AGO = Seconds(-math.inf)
"""A time before any other on the clock of a process."""
NEVER = Seconds(math.inf)
"""A time after any other on the clock of a process."""
COUNT_BITS = 16
"""Number of low bits of a packed stamp that hold its ``count``."""


class Clock(abc.ABC):
    """A source of elapsed time and wall time."""

    @abc.abstractmethod
    def now(self) -> Seconds:
        """Return seconds on a monotonic clock that never stops."""

    @abc.abstractmethod
    def wall(self) -> Millis:
        """Return the wall time, milliseconds since the epoch."""


@final
class SystemClock(Clock):
    """The clocks of the operating system.

    Elapsed time comes from ``CLOCK_BOOTTIME``, which goes on while the process
    is stopped and while the host is suspended: a lease expires in both cases.
    """

    def now(self) -> Seconds:
        """Return seconds since boot."""
        return Seconds(time.clock_gettime(time.CLOCK_BOOTTIME))

    def wall(self) -> Millis:
        """Return the wall time, milliseconds since the epoch."""
        return Millis(time.time_ns() // NANOS_PER_MILLI)


@final
@dataclasses.dataclass(frozen=True, order=True)
class Stamp:
    """A timestamp of the hybrid logical clock."""

    wall: int
    """Milliseconds since the epoch."""
    count: int
    """Number of the event among those with the same ``wall``."""

    def pack(self) -> int:
        """Return the stamp as one 64-bit integer."""
        return (self.wall << COUNT_BITS) | self.count

    @classmethod
    def unpack(cls, packed: int) -> 'Stamp':
        """Return the stamp that ``pack`` encoded."""
        return cls(packed >> COUNT_BITS, packed % (1 << COUNT_BITS))


@final
class HybridClock:
    """A hybrid logical clock.

    Its stamps stay close to wall time, always increase, and exceed the stamps
    of all messages received before.
    """

    def __init__(self, clock: Clock) -> None:
        """Take wall time from ``clock``."""
        self._clock = clock
        self._last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return the stamp of a local event or of a message to send."""
        return self._advance(self._last)

    def update(self, packed: int) -> Stamp:
        """Advance beyond a received stamp; return the stamp of the receipt."""
        return self._advance(max(self._last, Stamp.unpack(packed)))

    def _advance(self, floor: Stamp) -> Stamp:
        wall = self._clock.wall()
        self._last = (
            Stamp(wall, 0)
            if wall > floor.wall
            else Stamp(floor.wall, floor.count + 1)
        )
        return self._last
