"""Lines: bounded by kind, and never in the way of the process."""

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

PIPE_IS_FULL = 4000
"""Lines that no pipe takes while nobody reads."""
LONGEST_WRITE = 0.5
"""Seconds for all of them; a blocked one would never return."""


class SinkTest(unittest.TestCase):
    """A reader that stops costs lines, never time."""

    def setUp(self) -> None:
        reader, writer = os.pipe()
        self.reader = reader
        self.writer = writer
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def test_nobody_reads(self) -> None:
        with LineWriter(self.writer) as sink:
            began_at = time.monotonic()
            for _ in range(PIPE_IS_FULL):
                sink.write('x' * 200)
            self.assertLess(time.monotonic() - began_at, LONGEST_WRITE)
            self.assertGreater(sink.dropped_lines, 0)

    def test_lines_that_waited_come_whole_and_in_order(self) -> None:
        with LineWriter(self.writer) as sink:
            for number in range(1000):
                sink.write(f'{number:0100d}')
            found = b''
            while found.count(b'\n') < 1000:
                found += os.read(self.reader, 65_536)
                sink.flush()
        numbers = [int(line) for line in found.splitlines()]
        self.assertEqual(numbers, list(range(1000)))

    def test_reader_that_is_gone_costs_lines_only(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        with LineWriter(writer) as sink:
            for _ in range(3):
                sink.write('x')
            self.assertEqual(sink.dropped_lines, 3)
        os.close(writer)

    def test_flood_of_one_kind_is_counted(self) -> None:
        with LineWriter(self.writer) as sink:
            events = EventLog('p', None, HybridClock(SystemClock()), sink)
            for _ in range(200):
                events.write('request_refused', request='r')
            events.write('rare', reason='once')
        lines = [
            json.loads(one) for one in os.read(self.reader, 65_536).splitlines()
        ]
        kinds = [line['event'] for line in lines]
        self.assertLessEqual(
            kinds.count('request_refused'), 2 * MAX_LINES_PER_SECOND
        )
        self.assertIn('rare', kinds)


class BudgetTest(unittest.TestCase):
    """What was left out is told once its second is over."""

    @parameterized.expand(
        [
            ('few', MAX_LINES_PER_SECOND, {}),
            ('flood', MAX_LINES_PER_SECOND + 7, {'k': 7}),
        ],
    )
    def test_left_out(
        self,
        _name: str,
        count: int,
        left_out: dict[str, int],
    ) -> None:
        budget = LineRateLimiter()
        budget.start_second(1)
        admitted = [budget.admit('k') for _ in range(count)]
        self.assertEqual(sum(admitted), min(count, MAX_LINES_PER_SECOND))
        self.assertEqual(budget.start_second(1.9), {})
        self.assertEqual(budget.start_second(2), left_out)
