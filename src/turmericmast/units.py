"""Factors between units of time."""

MILLIS_PER_SECOND = 1000
"""Milliseconds in a second."""
MICROS_PER_SECOND = 1_000_000
"""Microseconds in a second."""
NANOS_PER_MILLI = 1_000_000
"""Nanoseconds in a millisecond."""
