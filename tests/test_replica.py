"""Replica: elections, leases, repair and bootstrap in fixed scenarios."""

import dataclasses
import unittest
from typing import Any

from parameterized import parameterized

from tests.replica_simulation import Simulation
from turmericmast.ids import Incarnation, MemberId, Term
from turmericmast.replica.leadership import MAX_BATCH_ENTRIES
from turmericmast.replica.messages import (
    Append,
    Install,
    Message,
    VoteReply,
    VoteRequest,
)
from turmericmast.replica.state import Role

GROUPS = [('three_full', 3, 0), ('two_full_and_witness', 2, 1)]


def _elect(
    simulation: Simulation, name: MemberId, dropped: type[Message]
) -> None:
    """Run until a member leads, dropping all messages of one class.

    Vote requests of other members are dropped too, so that none of them wins.
    """
    member = simulation.member_by_name[name]
    for _ in range(400):
        simulation.tick()
        simulation.in_flight = [
            sent
            for sent in simulation.in_flight
            if not isinstance(sent[2], dropped)
            and (sent[0] == name or not isinstance(sent[2], VoteRequest))
        ]
        for _message in range(len(simulation.in_flight)):
            simulation.deliver(0)
        if member.replica and member.replica.role is Role.leader:
            simulation.flush(member)
            return
        simulation.flush_all()
    raise AssertionError(f'{name} was not elected')


def _committed_simulation(full: int, witnesses: int) -> Simulation:
    simulation = Simulation(full, witnesses)
    simulation.run(6)
    for number in range(5):
        simulation.propose(b'p%d' % number)
        simulation.run(0.3)
    return simulation


class ReplicaTest(unittest.TestCase):
    """Failure scenarios, most of them with and without a witness."""

    @parameterized.expand(GROUPS)
    def test_all_proposals_are_applied(
        self,
        _name: str,
        full: int,
        witnesses: int,
    ) -> None:
        simulation = _committed_simulation(full, witnesses)
        self.assertEqual(5, len(simulation.acknowledged))
        for member in simulation.running_members:
            self.assertEqual(max(simulation.committed), member.last_applied)

    @parameterized.expand(GROUPS)
    def test_group_recovers_from_leader_crash(
        self,
        _name: str,
        full: int,
        witnesses: int,
    ) -> None:
        simulation = _committed_simulation(full, witnesses)
        lost = simulation.leader()
        assert lost is not None
        simulation.crash(lost.config.own_id)
        simulation.run(5)
        self.assertTrue(simulation.propose(b'after'))
        simulation.run(2.5)
        self.assertIn(b'after', simulation.acknowledged.values())

    @parameterized.expand(GROUPS)
    def test_leadership_transfer_needs_no_election_timeout(
        self,
        _name: str,
        full: int,
        witnesses: int,
    ) -> None:
        simulation = _committed_simulation(full, witnesses)
        first = simulation.leader()
        assert first is not None
        simulation.transfer_leadership()
        simulation.run(0.3)
        second = simulation.leader()
        assert second is not None
        self.assertIsNot(first, second)
        simulation.check_leases()
        simulation.propose(b'after')
        simulation.run(0.5)
        self.assertIn(b'after', simulation.acknowledged.values())

    @parameterized.expand(GROUPS)
    def test_second_lost_disk_after_repair_loses_no_entry(
        self,
        _name: str,
        full: int,
        witnesses: int,
    ) -> None:
        simulation = _committed_simulation(full, witnesses)
        first = simulation.names[0]
        second = simulation.names[1]
        simulation.lose_disk(first)
        simulation.run(4)
        simulation.propose(b'while away')
        simulation.run(2)
        simulation.restart(first)
        simulation.run(4)
        self.assertTrue(simulation.is_fully_restored())
        simulation.lose_disk(second)
        simulation.run(6)
        leader = simulation.leader()
        assert leader is not None
        self.assertIn(
            b'while away',
            [entry.payload for entry in leader.applied.values()],
        )
        simulation.restart(second)
        simulation.run(4)
        self.assertTrue(simulation.is_fully_restored())

    @parameterized.expand(GROUPS)
    def test_member_with_lost_disk_does_not_vote(
        self,
        _name: str,
        full: int,
        witnesses: int,
    ) -> None:
        simulation = _committed_simulation(full, witnesses)
        simulation.lose_disk(simulation.names[0])
        simulation.crash(simulation.names[1])
        simulation.restart(simulation.names[0])
        simulation.run(6)
        replica = simulation.member_by_name[simulation.names[0]].replica
        assert replica is not None
        self.assertIs(Role.learner, replica.role)
        self.assertIsNone(simulation.leader())

    @parameterized.expand(GROUPS)
    def test_lease_ends_before_another_member_leads(
        self,
        _name: str,
        full: int,
        witnesses: int,
    ) -> None:
        simulation = _committed_simulation(full, witnesses)
        old = simulation.leader()
        assert old is not None
        name = old.config.own_id
        simulation.cut_links = {(name, other) for other in simulation.names} | {
            (other, name) for other in simulation.names
        }
        for _ in range(120):
            simulation.tick()
            simulation.deliver_all()
            simulation.check_leases()
        new = simulation.leader()
        assert new is not None
        self.assertNotEqual(name, new.config.own_id)

    @parameterized.expand(GROUPS)
    def test_lagging_member_catches_up_after_compaction(
        self,
        _name: str,
        full: int,
        witnesses: int,
    ) -> None:
        simulation = _committed_simulation(full, witnesses)
        leader = simulation.leader()
        assert leader is not None
        lagging = next(
            name
            for name in simulation.names
            if name != leader.config.own_id
            and not simulation.member_by_name[name].config.is_witness
        )
        simulation.crash(lagging)
        simulation.run(2)
        for number in range(300):
            simulation.propose(b'q%d' % number)
        simulation.run(3)
        simulation.compact(leader.config.own_id)
        simulation.restart(lagging)
        simulation.run(3)
        member = simulation.member_by_name[lagging]
        self.assertEqual(leader.last_applied, member.last_applied)

    def test_witness_never_gets_ahead_of_reachable_member(self) -> None:
        simulation = _committed_simulation(2, 1)
        leader = simulation.leader()
        assert leader is not None
        name = leader.config.own_id
        other = next(
            member for member in simulation.names[:2] if member != name
        )
        simulation.cut_links = {(name, other)}
        for number in range(3):
            simulation.propose(b'slow %d' % number)
            simulation.run(0.2)
        simulation.crash(name)
        simulation.run(5)
        survivor = simulation.leader()
        assert survivor is not None
        self.assertEqual(other, survivor.config.own_id)

    def test_member_cut_off_from_leader_does_not_depose_it(self) -> None:
        simulation = _committed_simulation(3, 0)
        leader = simulation.leader()
        assert leader is not None
        name = leader.config.own_id
        other = next(member for member in simulation.names if member != name)
        simulation.cut_links = {(name, other), (other, name)}
        for _ in range(200):
            simulation.tick()
            simulation.deliver_all()
            self.assertIs(leader, simulation.leader())

    def test_earlier_terms_are_not_committed_by_counting_replicas(self) -> None:
        simulation = _committed_simulation(3, 0)
        first = simulation.leader()
        assert first is not None
        name = first.config.own_id
        others = [member for member in simulation.names if member != name]
        third = others[1]
        simulation.cut_links = {(name, other) for other in others}
        for number in range(2 * MAX_BATCH_ENTRIES):
            simulation.propose(b'old %d' % number)
        simulation.crash(name)
        simulation.cut_links.clear()
        # The third member is elected, but its no-op entry reaches no other.
        _elect(simulation, third, Append)
        simulation.in_flight.clear()
        simulation.crash(third)
        simulation.restart(name)
        _elect(simulation, name, Install)
        # The leader finds the matching index, then exactly one batch of
        # entries of the earlier term is delivered and acknowledged.
        for _ in range(4):
            for _message in range(len(simulation.in_flight)):
                simulation.deliver(0)
            simulation.flush_all()
        simulation.in_flight.clear()
        simulation.crash(name)
        simulation.restart(third)
        simulation.run(6)
        self.assertEqual(
            third, simulation.leader_by_term[max(simulation.leader_by_term)]
        )

    @parameterized.expand(
        [
            ('earlier_term', {'term': Term(1)}, Role.candidate),
            ('other_incarnation', {'incarnation': 'm1.9'}, Role.candidate),
            ('refused', {'granted': False}, Role.candidate),
            ('matching', {}, Role.leader),
        ],
    )
    def test_vote_counts_only_with_matching_term_and_voter(
        self,
        _name: str,
        changes: dict[str, Any],
        expected: Role,
    ) -> None:
        simulation = _committed_simulation(3, 0)
        name = MemberId('m0')
        for other in simulation.names[1:]:
            simulation.crash(other)
        replica = simulation.member_by_name[name].replica
        assert replica is not None
        pre_vote = VoteReply(
            term=Term(0),
            voter=MemberId('m1'),
            incarnation=Incarnation('m1.1'),
            granted=True,
            trial=True,
        )
        while replica.role is not Role.candidate:
            simulation.tick()
            if replica.role is Role.pre_candidate:
                replica.receive(pre_vote, simulation.now)
        binding_vote = dataclasses.replace(
            pre_vote,
            trial=False,
            term=replica.state.vote.term,
        )
        replica.receive(
            dataclasses.replace(binding_vote, **changes), simulation.now
        )
        self.assertIs(expected, replica.role)

    @parameterized.expand(GROUPS)
    def test_restart_recovers_commit_index_without_leader(
        self,
        _name: str,
        full: int,
        witnesses: int,
    ) -> None:
        simulation = _committed_simulation(full, witnesses)
        last = max(simulation.acknowledged)
        for name in simulation.names:
            simulation.crash(name)
        for name in simulation.names:
            simulation.restart(name)
        applied = [
            member.last_applied
            for member in simulation.running_members
            if not member.config.is_witness
        ]
        self.assertIsNone(simulation.leader())
        self.assertGreaterEqual(min(applied), last)

    def test_group_of_one_bootstraps(self) -> None:
        simulation = _committed_simulation(1, 0)
        self.assertEqual(5, len(simulation.acknowledged))
        simulation.crash(simulation.names[0])
        simulation.restart(simulation.names[0])
        simulation.run(4)
        leader = simulation.leader()
        assert leader is not None
        self.assertEqual(5, len(simulation.acknowledged))

    def test_bootstrap_waits_for_all_members(self) -> None:
        simulation = Simulation(3, 0)
        simulation.crash(simulation.names[2])
        simulation.run(6)
        self.assertIsNone(simulation.leader())
        simulation.restart(simulation.names[2])
        simulation.run(6)
        self.assertIsNotNone(simulation.leader())

    def test_member_with_lost_disk_does_not_bootstrap(self) -> None:
        simulation = _committed_simulation(3, 0)
        for name in simulation.names[1:]:
            simulation.crash(name)
        simulation.lose_disk(simulation.names[0])
        simulation.restart(simulation.names[0])
        simulation.run(10)
        self.assertIsNone(simulation.leader())
        simulation.restart(simulation.names[1])
        simulation.restart(simulation.names[2])
        simulation.run(10)
        self.assertTrue(simulation.is_fully_restored())
