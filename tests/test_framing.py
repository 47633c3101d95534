"""When a target that stuttered gets kept connections again."""

import unittest
from collections.abc import Sequence

from parameterized import parameterized

from turmericmast.balance.framing import (
    FIRST_DOUBT,
    MAX_ADDRESSES,
    MAX_DOUBT,
    MAX_GAP,
    ConnectionUse,
    Framing,
    Framings,
)
from turmericmast.ids import Seconds

STEP = 0.5
"""Seconds between two responses of a target in use."""


def _respond(framing: Framing, since: float, seconds: float) -> float:
    """Respond for some time; return when that ends."""
    for number in range(int(seconds / STEP)):
        framing.respond(Seconds(since + (number + 1) * STEP))
    return since + int(seconds / STEP) * STEP


class FramingTest(unittest.TestCase):
    """Trust ends at once and returns with use."""

    @parameterized.expand(
        [
            ('never', [], 0, ConnectionUse.kept),
            ('just_now', [100], 0, ConnectionUse.single),
            ('a_while_ago', [100], FIRST_DOUBT - STEP, ConnectionUse.single),
            ('long_ago', [100], FIRST_DOUBT, ConnectionUse.kept),
            ('several_at_once', [100, 100, 101], 0, ConnectionUse.single),
            ('one_doubt', [100, 100, 101], FIRST_DOUBT, ConnectionUse.kept),
        ]
    )
    def test_use_after_stutters(
        self,
        _name: str,
        stutters: Sequence[float],
        used: float,
        expected: ConnectionUse,
    ) -> None:
        framing = Framing()
        for now in stutters:
            framing.stutter(Seconds(now))
        _respond(framing, max(stutters, default=100), used)
        self.assertIs(framing.use, expected)

    @parameterized.expand(
        [
            ('idle', 0, ConnectionUse.single),
            ('one_response_much_later', 1, ConnectionUse.single),
            ('as_many_as_gaps', int(FIRST_DOUBT / MAX_GAP), ConnectionUse.kept),
        ]
    )
    def test_time_without_use_does_not_count(
        self, _name: str, responses: int, expected: ConnectionUse
    ) -> None:
        framing = Framing()
        framing.stutter(Seconds(0))
        for number in range(responses):
            framing.respond(Seconds((number + 1) * 3600))
        self.assertIs(framing.use, expected)

    @parameterized.expand(
        [
            ('first', 0, FIRST_DOUBT),
            ('second', 1, 2 * FIRST_DOUBT),
            ('third', 2, 4 * FIRST_DOUBT),
            ('many', 20, MAX_DOUBT),
        ]
    )
    def test_doubt_grows(
        self, _name: str, earlier: int, expected: float
    ) -> None:
        framing = Framing()
        now = float(0)
        for _ in range(earlier):
            framing.stutter(Seconds(now))
            now = _respond(framing, now, framing.doubt)
        framing.stutter(Seconds(now))
        self.assertEqual(framing.doubt, expected)

    def test_changes_are_told_once(self) -> None:
        framing = Framing()
        told = [framing.stutter(Seconds(now)) for now in (0, 1)]
        told += [framing.respond(Seconds(now)) for now in range(2, 14)]
        self.assertEqual(told.count(True), 2)


class FramingsTest(unittest.TestCase):
    """Only addresses that stuttered are remembered, and not for ever."""

    @parameterized.expand(
        [
            ('shorter', MAX_DOUBT / 2, 2),
            ('long_enough', MAX_DOUBT, 1),
        ]
    )
    def test_doubt_begins_anew_after_long_use(
        self, _name: str, used: float, factor: int
    ) -> None:
        framings = Framings()
        framings.stutter('a:1', Seconds(0))
        steps = int((FIRST_DOUBT + used) / STEP)
        for number in range(1, steps + 1):
            framings.respond('a:1', Seconds(number * STEP))
        changed = framings.stutter('a:1', Seconds(steps * STEP))
        assert changed
        self.assertEqual(changed.doubt, factor * FIRST_DOUBT)

    def test_addresses_are_told_apart(self) -> None:
        framings = Framings()
        framings.stutter('a:1', Seconds(0))
        framings.respond('a:2', Seconds(0))
        self.assertEqual(
            [framings.keeps_connections(f'a:{port}') for port in (1, 2)],
            [False, True],
        )
        self.assertEqual(framings.doubted(), 1)

    def test_memory_is_limited(self) -> None:
        framings = Framings()
        for number in range(MAX_ADDRESSES + 5):
            framings.stutter(f'a:{number}', Seconds(0))
        self.assertEqual(framings.doubted(), MAX_ADDRESSES)
        self.assertTrue(framings.keeps_connections('a:0'))
