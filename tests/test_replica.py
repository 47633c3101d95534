"""The replica aggregate in sequences that its rules are made for."""

import unittest

from parameterized import parameterized

from tests.replica_world import World
from turmericmast.replica.core import Role

GROUPS = [('three_full', 3, 0), ('two_full_and_witness', 2, 1)]


def _settled(full: int, witnesses: int) -> World:
    world = World(full, witnesses)
    world.run(6)
    for number in range(5):
        world.propose(b'p%d' % number)
        world.run(0.3)
    return world


class ReplicaTest(unittest.TestCase):
    """Sequences of failures, each for both kinds of groups."""

    @parameterized.expand(GROUPS)
    def test_everything_proposed_is_applied(
        self,
        _name: str,
        full: int,
        witnesses: int,
    ) -> None:
        world = _settled(full, witnesses)
        self.assertEqual(5, len(world.acknowledged))
        for member in world.running:
            self.assertEqual(max(world.committed), member.last_applied)

    @parameterized.expand(GROUPS)
    def test_survivor_goes_on_after_loss_of_leader(
        self,
        _name: str,
        full: int,
        witnesses: int,
    ) -> None:
        world = _settled(full, witnesses)
        lost = world.leader()
        assert lost is not None
        world.crash(lost.seating.me)
        world.run(5)
        self.assertTrue(world.propose(b'after'))
        world.run(2.5)
        self.assertIn(b'after', world.acknowledged.values())

    @parameterized.expand(GROUPS)
    def test_second_loss_right_after_a_repair_forgets_nothing(
        self,
        _name: str,
        full: int,
        witnesses: int,
    ) -> None:
        world = _settled(full, witnesses)
        first = world.names[0]
        second = world.names[1]
        world.lose_disk(first)
        world.run(4)
        world.propose(b'while away')
        world.run(2)
        world.restart(first)
        world.run(4)
        self.assertTrue(world.is_whole())
        world.lose_disk(second)
        world.run(6)
        leader = world.leader()
        assert leader is not None
        self.assertIn(
            b'while away',
            [entry.payload for entry in leader.applied.values()],
        )
        world.restart(second)
        world.run(4)
        self.assertTrue(world.is_whole())

    @parameterized.expand(GROUPS)
    def test_lost_disk_does_not_vote_before_it_is_repaired(
        self,
        _name: str,
        full: int,
        witnesses: int,
    ) -> None:
        world = _settled(full, witnesses)
        world.lose_disk(world.names[0])
        world.crash(world.names[1])
        world.restart(world.names[0])
        world.run(6)
        replica = world.member_by_name[world.names[0]].replica
        assert replica is not None
        self.assertIs(Role.learner, replica.role)
        self.assertIsNone(world.leader())

    @parameterized.expand(GROUPS)
    def test_isolated_leader_loses_its_lease_before_another_leads(
        self,
        _name: str,
        full: int,
        witnesses: int,
    ) -> None:
        world = _settled(full, witnesses)
        old = world.leader()
        assert old is not None
        name = old.seating.me
        world.cuts = {(name, one) for one in world.names} | {
            (one, name) for one in world.names
        }
        for _ in range(120):
            world.tick()
            world.deliver_all()
            world.check_leases()
        new = world.leader()
        assert new is not None
        self.assertNotEqual(name, new.seating.me)

    @parameterized.expand(GROUPS)
    def test_late_member_is_caught_up_by_snapshot(
        self,
        _name: str,
        full: int,
        witnesses: int,
    ) -> None:
        world = _settled(full, witnesses)
        leader = world.leader()
        assert leader is not None
        away = next(
            one
            for one in world.names
            if one != leader.seating.me
            and not world.member_by_name[one].seating.is_witness
        )
        world.crash(away)
        world.run(2)
        for number in range(300):
            world.propose(b'q%d' % number)
        world.run(3)
        world.compact(leader.seating.me)
        world.restart(away)
        world.run(3)
        member = world.member_by_name[away]
        self.assertEqual(leader.last_applied, member.last_applied)

    def test_witness_never_gets_ahead_of_a_member_in_touch(self) -> None:
        world = _settled(2, 1)
        leader = world.leader()
        assert leader is not None
        name = leader.seating.me
        other = next(one for one in world.names[:2] if one != name)
        world.cuts = {(name, other)}
        for number in range(3):
            world.propose(b'slow %d' % number)
            world.run(0.2)
        world.crash(name)
        world.run(5)
        survivor = world.leader()
        assert survivor is not None
        self.assertEqual(other, survivor.seating.me)

    def test_group_is_not_founded_while_a_member_is_missing(self) -> None:
        world = World(3, 0)
        world.crash(world.names[2])
        world.run(6)
        self.assertIsNone(world.leader())
        world.restart(world.names[2])
        world.run(6)
        self.assertIsNotNone(world.leader())

    def test_member_without_disk_cannot_found_a_second_group(self) -> None:
        world = _settled(3, 0)
        for name in world.names[1:]:
            world.crash(name)
        world.lose_disk(world.names[0])
        world.restart(world.names[0])
        world.run(10)
        self.assertIsNone(world.leader())
        world.restart(world.names[1])
        world.restart(world.names[2])
        world.run(10)
        self.assertTrue(world.is_whole())
