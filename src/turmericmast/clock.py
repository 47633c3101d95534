"""Clocks: elapsed time, wall time and the hybrid logical clock."""

import abc
import dataclasses
import time
from typing import final

from turmericmast.ids import Millis, Seconds
from turmericmast.units import NANOS_PER_MILLI

COUNT_BITS = 16
"""Bits of a packed stamp that count events within a millisecond."""


class Clock(abc.ABC):
    """Source of elapsed and wall time."""

    @abc.abstractmethod
    def now(self) -> Seconds:
        """Return seconds on a clock that never jumps and never stops."""

    @abc.abstractmethod
    def wall(self) -> Millis:
        """Return milliseconds since the epoch."""


@final
class SystemClock(Clock):
    """The clocks of the operating system.

    Elapsed time comes from ``CLOCK_BOOTTIME``: it goes on while the process
    is stopped and while the machine sleeps, so a lease cannot outlive either.
    """

    def now(self) -> Seconds:
        """Return seconds since boot."""
        return Seconds(time.clock_gettime(time.CLOCK_BOOTTIME))

    def wall(self) -> Millis:
        """Return milliseconds since the epoch."""
        return Millis(time.time_ns() // NANOS_PER_MILLI)


@final
@dataclasses.dataclass(frozen=True, order=True)
class Stamp:
    """A reading of the hybrid logical clock."""

    wall: int
    """Milliseconds since the epoch."""
    count: int
    """Orders events within one millisecond."""

    def pack(self) -> int:
        """Return the stamp as one 64-bit integer."""
        return (self.wall << COUNT_BITS) | self.count

    @classmethod
    def unpack(cls, packed: int) -> 'Stamp':
        """Return the stamp that ``pack`` made."""
        return cls(packed >> COUNT_BITS, packed % (1 << COUNT_BITS))


@final
class HybridClock:
    """A hybrid logical clock: close to wall time, and never behind a peer."""

    def __init__(self, clock: Clock) -> None:
        """Start at the wall time of ``clock``."""
        self._clock = clock
        self._last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return the stamp of a local event or of a message sent."""
        return self._advance(self._last)

    def update(self, packed: int) -> Stamp:
        """Return the stamp of the receipt of a message stamped ``packed``."""
        return self._advance(max(self._last, Stamp.unpack(packed)))

    def _advance(self, floor: Stamp) -> Stamp:
        wall = self._clock.wall()
        self._last = (
            Stamp(wall, 0)
            if wall > floor.wall
            else Stamp(floor.wall, floor.count + 1)
        )
        return self._last
