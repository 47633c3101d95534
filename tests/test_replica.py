"""The replica aggregate in sequences that its rules are made for."""

import dataclasses
import unittest
from typing import Any

from parameterized import parameterized

from tests.replica_world import World
from turmericmast.ids import Incarnation, MemberId, Term
from turmericmast.replica.core import Role
from turmericmast.replica.leading import MAX_ENTRIES
from turmericmast.replica.messages import (
    Append,
    Install,
    Message,
    VoteReply,
    VoteRequest,
)

GROUPS = [('three_full', 3, 0), ('two_full_and_witness', 2, 1)]


def _elect(world: World, name: MemberId, lost: type[Message]) -> None:
    """Let time pass until a member leads, losing one kind of message.

    No other member gets to ask for votes.
    """
    member = world.member_by_name[name]
    for _ in range(400):
        world.tick()
        world.in_flight = [
            one
            for one in world.in_flight
            if not isinstance(one[2], lost)
            and (one[0] == name or not isinstance(one[2], VoteRequest))
        ]
        for _message in range(len(world.in_flight)):
            world.deliver(0)
        if member.replica and member.replica.role is Role.leader:
            world.flush(member)
            return
        world.flush_all()
    raise AssertionError(f'{name} was not elected')


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
    def test_lead_is_handed_over_without_a_timeout(
        self,
        _name: str,
        full: int,
        witnesses: int,
    ) -> None:
        world = _settled(full, witnesses)
        first = world.leader()
        assert first is not None
        world.hand_over()
        world.run(0.3)
        second = world.leader()
        assert second is not None
        self.assertIsNot(first, second)
        world.check_leases()
        world.propose(b'after')
        world.run(0.5)
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

    def test_member_that_misses_the_leader_does_not_depose_it(self) -> None:
        world = _settled(3, 0)
        leader = world.leader()
        assert leader is not None
        name = leader.seating.me
        other = next(one for one in world.names if one != name)
        world.cuts = {(name, other), (other, name)}
        for _ in range(200):
            world.tick()
            world.deliver_all()
            self.assertIs(leader, world.leader())

    def test_entries_of_earlier_terms_are_not_committed_by_count(self) -> None:
        world = _settled(3, 0)
        first = world.leader()
        assert first is not None
        name = first.seating.me
        others = [one for one in world.names if one != name]
        third = others[1]
        world.cuts = {(name, one) for one in others}
        for number in range(2 * MAX_ENTRIES):
            world.propose(b'old %d' % number)
        world.crash(name)
        world.cuts.clear()
        # The third member is elected, but its entry reaches nobody.
        _elect(world, third, Append)
        world.in_flight.clear()
        world.crash(third)
        world.restart(name)
        _elect(world, name, Install)
        # The leader finds where to start, then one batch of old entries
        # arrives and is answered, no more.
        for _ in range(4):
            for _message in range(len(world.in_flight)):
                world.deliver(0)
            world.flush_all()
        world.in_flight.clear()
        world.crash(name)
        world.restart(third)
        world.run(6)
        self.assertEqual(third, world.leader_by_term[max(world.leader_by_term)])

    @parameterized.expand(
        [
            ('earlier_term', {'term': Term(1)}, Role.candidate),
            ('other_incarnation', {'incarnation': 'm1.9'}, Role.candidate),
            ('refused', {'granted': False}, Role.candidate),
            ('good', {}, Role.leader),
        ],
    )
    def test_vote_counts_once_its_term_and_voter_fit(
        self,
        _name: str,
        changes: dict[str, Any],
        expected: Role,
    ) -> None:
        world = _settled(3, 0)
        name = MemberId('m0')
        for other in world.names[1:]:
            world.crash(other)
        replica = world.member_by_name[name].replica
        assert replica is not None
        vote = VoteReply(
            term=Term(0),
            voter=MemberId('m1'),
            incarnation=Incarnation('m1.1'),
            granted=True,
            trial=True,
        )
        while replica.role is not Role.candidate:
            world.tick()
            if replica.role is Role.trial:
                replica.receive(vote, world.now)
        real = dataclasses.replace(
            vote,
            trial=False,
            term=replica.core.vote.term,
        )
        replica.receive(dataclasses.replace(real, **changes), world.now)
        self.assertIs(expected, replica.role)

    @parameterized.expand(GROUPS)
    def test_restart_knows_what_was_committed_before_any_election(
        self,
        _name: str,
        full: int,
        witnesses: int,
    ) -> None:
        world = _settled(full, witnesses)
        last = max(world.acknowledged)
        for name in world.names:
            world.crash(name)
        for name in world.names:
            world.restart(name)
        applied = [
            member.last_applied
            for member in world.running
            if not member.seating.is_witness
        ]
        self.assertIsNone(world.leader())
        self.assertGreaterEqual(min(applied), last)

    def test_group_of_one_founds_itself(self) -> None:
        world = _settled(1, 0)
        self.assertEqual(5, len(world.acknowledged))
        world.crash(world.names[0])
        world.restart(world.names[0])
        world.run(4)
        leader = world.leader()
        assert leader is not None
        self.assertEqual(5, len(world.acknowledged))

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
