"""Which connections are closed when a process holds too much for them."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized

from turmericmast.ids import Seconds
from turmericmast.limits.bodyholding import (
    STREAMED_OCTETS,
    BodyHolding,
    CollectedBody,
    StreamedBody,
)
from turmericmast.limits.connectionbudget import (
    Closing,
    ConnectionBudget,
    ConnectionId,
    Shortage,
    Standing,
)
from turmericmast.limits.processlimits import MIN_HELD_OCTETS, divide

BASE = 10
"""Bytes that each connection of the tests holds without a request."""


def _opened(
    count: int, max_octets: int = 0, max_connections: int = 0
) -> ConnectionBudget:
    budget = ConnectionBudget(max_octets, max_connections, BASE)
    for number in range(count):
        budget.open(ConnectionId(number), Seconds(number))
    return budget


def _numbers(closings: tuple[Closing, ...]) -> list[int]:
    return [closing.connection for closing in closings]


class MemoryTest(unittest.TestCase):
    """The largest holdings go first, those over a request's limits before."""

    # Guards against ordinary clients that are closed for what others send.
    @parameterized.expand(
        [
            ('within', {0: 30, 1: 30}, (), []),
            ('largest_first', {0: 30, 1: 60, 2: 20}, (), [1]),
            ('exceeding_first', {0: 30, 1: 60, 2: 20}, (2, 0), [0, 2]),
            ('then_largest', {0: 5, 1: 95, 2: 20}, (0,), [0, 1]),
            ('oldest_of_equals', {0: 45, 1: 45}, (), [0]),
        ]
    )
    def test_order(
        self,
        _name: str,
        held: dict[int, int],
        exceeding: tuple[int, ...],
        closed: list[int],
    ) -> None:
        budget = _opened(len(held), max_octets=100)
        for number, octets in held.items():
            budget.begin(ConnectionId(number), octets)
        for number in exceeding:
            budget.mark_exceeding(ConnectionId(number))
        self.assertEqual(_numbers(budget.take_excess()), closed)

    # Guards against bytes that stay counted once nothing holds them.
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    ('open', 'close', 'begin', 'end', 'hold', 'write', 'mark')
                ),
                st.integers(0, 4),
                st.integers(0, 60),
            )
        )
    )
    def test_limits_hold_and_nothing_is_lost(
        self, steps: list[tuple[str, int, int]]
    ) -> None:
        budget = _opened(0, max_octets=150, max_connections=3)
        is_open: set[int] = set()
        for step, number, octets in steps:
            if step != 'open' or number not in is_open:
                _take_step(budget, step, ConnectionId(number), octets)
            if step == 'open':
                is_open.add(number)
            elif step == 'close':
                is_open.discard(number)
            is_open.difference_update(_numbers(budget.take_excess()))
            self.assertLessEqual(budget.octets, 150)
            self.assertLessEqual(len(budget), 3)
            self.assertEqual(len(budget), len(is_open))
        for number in is_open:
            budget.close(ConnectionId(number))
        self.assertEqual(budget.octets, 0)


def _take_step(
    budget: ConnectionBudget, step: str, number: ConnectionId, octets: int
) -> None:
    {
        'open': lambda: budget.open(number, Seconds(0)),
        'close': lambda: budget.close(number),
        'begin': lambda: budget.begin(number, octets),
        'end': lambda: budget.end(number, Seconds(0)),
        'hold': lambda: budget.hold(number, octets),
        'write': lambda: budget.add_writing(number, octets),
        'mark': lambda: budget.mark_exceeding(number),
    }[step]()


class DescriptorTest(unittest.TestCase):
    """The oldest idle connection goes first, an active one never."""

    # Guards against requests that are cut off by clients that send nothing.
    @parameterized.expand(
        [
            ('oldest_idle', (), (), [0]),
            ('active_stay', (0, 1), (), [2]),
            ('newest_without_idle_ones', (0, 1, 2, 3), (), [3]),
            ('exceeding_before_idle', (0, 1), (1,), [1]),
        ]
    )
    def test_order(
        self,
        _name: str,
        active: tuple[int, ...],
        exceeding: tuple[int, ...],
        closed: list[int],
    ) -> None:
        budget = _opened(4, max_connections=3)
        for number in active:
            budget.begin(ConnectionId(number), 1)
        for number in exceeding:
            budget.mark_exceeding(ConnectionId(number))
        closings = budget.take_excess()
        self.assertEqual(_numbers(closings), closed)
        self.assertIs(closings[0].shortage, Shortage.descriptors)

    # Guards against clients that were just served and count as the oldest.
    def test_idle_since_the_last_response(self) -> None:
        budget = _opened(4, max_connections=3)
        budget.begin(ConnectionId(0), 1)
        budget.end(ConnectionId(0), Seconds(9))
        closing = budget.take_excess()[0]
        self.assertEqual(closing.connection, 1)
        self.assertIs(closing.standing, Standing.idle)


class ShareTest(unittest.TestCase):
    """Memory and descriptors of a host are divided."""

    # Guards against limits where the settings know of none.
    @parameterized.expand(
        [
            ('unknown', 0, 70, 0, 0, 0),
            ('known', 200_000_000, 70_000_000, 4100, 65_000_000, 1536),
            ('no_room', 60_000_000, 70_000_000, 1, MIN_HELD_OCTETS, 1),
        ]
    )
    def test_divide(
        self,
        _name: str,
        memory: int,
        used: int,
        descriptors: int,
        octets: int,
        connections: int,
    ) -> None:
        limits = divide(memory, used, descriptors)
        self.assertEqual(limits.held_octets, octets)
        self.assertEqual(limits.connections, connections)

    @parameterized.expand(
        [
            ('short', StreamedBody(), 100, 100),
            ('long', StreamedBody(), 10**9, STREAMED_OCTETS),
            ('collected', CollectedBody(), 10**6, 2 * 10**6),
        ]
    )
    def test_held_of_a_body(
        self, _name: str, holding: BodyHolding, received: int, held: int
    ) -> None:
        self.assertEqual(holding.octets(received), held)
