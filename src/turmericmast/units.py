"""Units that constants are written in."""

MILLIS = 1000
"""Milliseconds in a second."""
MICROS = 1_000_000
"""Microseconds in a second."""
NANOS_PER_MILLI = 1_000_000
"""Nanoseconds in a millisecond."""
