"""Groups whose members find each other: founding, joining, replacement."""

import dataclasses
import itertools
import unittest

from parameterized import parameterized

from tests.replica_world import World
from turmericmast.ids import DomainId, MemberId
from turmericmast.replica.core import Seating
from turmericmast.replica.seating import SEAT_PATIENCE

SEEDS = (MemberId('m0'), MemberId('m1'), MemberId('m2'))


def _seating(number: int, domain: int, *, first: bool) -> Seating:
    me = MemberId(f'm{number}')
    return Seating(
        me,
        SEEDS,
        domain=DomainId(f'd{domain}'),
        is_open=True,
        may_found=first and me in SEEDS,
    )


def _world(*, first: bool = True) -> World:
    return World(
        0,
        0,
        [_seating(number, number, first=first) for number in range(6)],
    )


def _settled() -> World:
    world = _world()
    world.run(8)
    for number in range(5):
        world.propose(b'p%d' % number)
        world.run(0.3)
    return world


def _seats(world: World) -> list[str]:
    member = world.leader()
    if member is None or member.replica is None:
        return []
    core = member.replica.core
    return sorted(seat.member for seat in core.log.seats(core.commit))


def _come_back(world: World, name: MemberId) -> None:
    """Start a process again, as at every start but the first."""
    member = world.member_by_name[name]
    member.seating = dataclasses.replace(member.seating, may_found=False)
    world.restart(name)


class OpenGroupTest(unittest.TestCase):
    """Seats follow the machines, and never more than the rules allow."""

    def test_six_members_come_together_from_three_seeds(self) -> None:
        world = _settled()
        self.assertEqual(_seats(world), [f'm{one}' for one in range(6)])
        self.assertEqual(len(world.acknowledged), 5)

    def test_nothing_is_founded_but_at_the_first_start(self) -> None:
        world = _world(first=False)
        world.run(10)
        self.assertEqual(_seats(world), [])

    @parameterized.expand(
        [(f'm{one}', one) for one in range(6)],
    )
    def test_replaced_machine_passes_its_seat_on(
        self,
        name: str,
        domain: int,
    ) -> None:
        world = _settled()
        world.crash(MemberId(name))
        world.run(1)
        world.add(_seating(6, domain, first=False))
        world.run(2 * SEAT_PATIENCE + 4)
        kept = {f'm{one}' for one in range(7)} - {name}
        self.assertEqual(_seats(world), sorted(kept))
        self.assertTrue(world.propose(b'after'))

    def test_planned_replacement_adds_before_it_removes(self) -> None:
        world = _settled()
        world.add(_seating(6, 5, first=False))
        world.run(4)
        self.assertEqual(len(_seats(world)), 7)
        world.crash(MemberId('m5'))
        world.run(SEAT_PATIENCE + 3)
        self.assertEqual(len(_seats(world)), 6)
        self.assertNotIn('m5', _seats(world))

    def test_restart_costs_no_seat(self) -> None:
        world = _settled()
        world.add(_seating(6, 5, first=False))
        world.run(4)
        world.crash(MemberId('m5'))
        world.run(SEAT_PATIENCE / 2)
        _come_back(world, MemberId('m5'))
        world.run(4)
        self.assertEqual(len(_seats(world)), 7)

    @parameterized.expand(
        [
            (f'{one}_{two}', MemberId(f'm{one}'), MemberId(f'm{two}'))
            for one, two in itertools.combinations(range(6), 2)
        ],
    )
    def test_two_lost_disks_while_all_others_lose_power(
        self,
        _name: str,
        one: MemberId,
        two: MemberId,
    ) -> None:
        world = _settled()
        world.propose(b'last')
        world.deliver_all()
        world.run(0.2)
        acknowledged = dict(world.acknowledged)
        for name in list(world.member_by_name):
            if name in {one, two}:
                world.lose_disk(name)
            else:
                world.crash(name)
        for name in list(world.member_by_name):
            _come_back(world, name)
        world.run(6)
        leader = world.leader()
        self.assertIsNotNone(leader)
        self.assertEqual(len(_seats(world)), 6)
        applied = leader.applied if leader else {}
        self.assertEqual(
            {
                index: applied[index].payload
                for index in acknowledged
                if index in applied
            },
            acknowledged,
        )
        self.assertTrue(world.is_whole())

    def test_half_of_the_group_accepts_nothing(self) -> None:
        world = _settled()
        halves = [
            [f'm{one}' for one in part] for part in ((0, 1, 2), (3, 4, 5))
        ]
        world.cuts = {
            (MemberId(one), MemberId(other))
            for near, far in itertools.permutations(halves)
            for one, other in itertools.product(near, far)
        }
        world.run(4)
        before = len(world.acknowledged)
        world.propose(b'split')
        world.run(2)
        self.assertEqual(len(world.acknowledged), before)
        world.cuts = set()
        world.run(4)
        self.assertTrue(world.propose(b'healed'))
