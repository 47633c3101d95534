"""Log lines are limited by kind and never block the process."""

import json
import os
import time
import unittest

from parameterized import parameterized

from turmericmast.clock import HybridClock, SystemClock
from turmericmast.events import EventLog
from turmericmast.linewriter import (
    MAX_LINES_PER_SECOND,
    LineRateLimiter,
    LineWriter,
)

LINES_OVER_PIPE = 4000
"""More lines of 200 bytes than a pipe and the writer can buffer."""
MAX_WRITE_SECONDS = 0.5
"""Seconds to write them all; a blocking write would never return."""


class LineWriterTest(unittest.TestCase):
    """A reader that stops causes lost lines, but never a blocked write."""

    def setUp(self) -> None:
        reader, writer = os.pipe()
        self.reader = reader
        self.writer = writer
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def test_write_does_not_block_without_reader(self) -> None:
        with LineWriter(self.writer) as line_writer:
            began_at = time.monotonic()
            for _ in range(LINES_OVER_PIPE):
                line_writer.write('x' * 200)
            self.assertLess(time.monotonic() - began_at, MAX_WRITE_SECONDS)
            self.assertGreater(line_writer.dropped_lines, 0)

    def test_buffered_lines_arrive_whole_and_in_order(self) -> None:
        with LineWriter(self.writer) as line_writer:
            for number in range(1000):
                line_writer.write(f'{number:0100d}')
            output = b''
            while output.count(b'\n') < 1000:
                output += os.read(self.reader, 65_536)
                line_writer.flush()
        numbers = [int(line) for line in output.splitlines()]
        self.assertEqual(numbers, list(range(1000)))

    def test_lines_are_dropped_after_reader_closed(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        with LineWriter(writer) as line_writer:
            for _ in range(3):
                line_writer.write('x')
            self.assertEqual(line_writer.dropped_lines, 3)
        os.close(writer)

    def test_flood_of_one_kind_is_limited(self) -> None:
        with LineWriter(self.writer) as line_writer:
            events = EventLog(
                'p', None, HybridClock(SystemClock()), line_writer
            )
            for _ in range(200):
                events.write('request_refused', request='r')
            events.write('rare', reason='once')
        lines = [
            json.loads(line)
            for line in os.read(self.reader, 65_536).splitlines()
        ]
        kinds = [line['event'] for line in lines]
        self.assertLessEqual(
            kinds.count('request_refused'), 2 * MAX_LINES_PER_SECOND
        )
        self.assertIn('rare', kinds)


class LineRateLimiterTest(unittest.TestCase):
    """Dropped lines are reported once their second is over."""

    @parameterized.expand(
        [
            ('few', MAX_LINES_PER_SECOND, {}),
            ('flood', MAX_LINES_PER_SECOND + 7, {'k': 7}),
        ],
    )
    def test_dropped_lines_are_reported(
        self,
        _name: str,
        count: int,
        dropped: dict[str, int],
    ) -> None:
        limiter = LineRateLimiter()
        limiter.start_second(1)
        admitted = [limiter.admit('k') for _ in range(count)]
        self.assertEqual(sum(admitted), min(count, MAX_LINES_PER_SECOND))
        self.assertEqual(limiter.start_second(1.9), {})
        self.assertEqual(limiter.start_second(2), dropped)
