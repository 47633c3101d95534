"""Dynamic membership: bootstrap, join and replacement of members."""

import dataclasses
import itertools
import unittest

from parameterized import parameterized

from tests.replica_simulation import Simulation
from turmericmast.ids import DomainId, MemberId
from turmericmast.replica.reconfiguration import REPLACEMENT_TIMEOUT
from turmericmast.replica.state import ReplicaConfig

CONTACTS = (MemberId('m0'), MemberId('m1'), MemberId('m2'))


def _config(number: int, domain: int, *, is_first_start: bool) -> ReplicaConfig:
    own_id = MemberId(f'm{number}')
    return ReplicaConfig(
        own_id,
        CONTACTS,
        domain=DomainId(f'd{domain}'),
        has_dynamic_membership=True,
        may_bootstrap=is_first_start and own_id in CONTACTS,
    )


def _simulation(*, is_first_start: bool = True) -> Simulation:
    return Simulation(
        0,
        0,
        [
            _config(number, number, is_first_start=is_first_start)
            for number in range(6)
        ],
    )


def _committed_simulation() -> Simulation:
    simulation = _simulation()
    simulation.run(8)
    for number in range(5):
        simulation.propose(b'p%d' % number)
        simulation.run(0.3)
    return simulation


def _seats(simulation: Simulation) -> list[str]:
    member = simulation.leader()
    if member is None or member.replica is None:
        return []
    state = member.replica.state
    return sorted(seat.member for seat in state.log.seats_at(state.commit))


def _restart_without_bootstrap(simulation: Simulation, name: MemberId) -> None:
    """Restart a process; only its first start may bootstrap the group."""
    member = simulation.member_by_name[name]
    member.config = dataclasses.replace(member.config, may_bootstrap=False)
    simulation.restart(name)


class DynamicMembershipTest(unittest.TestCase):
    """Changes of membership as machines come, go and fail."""

    def test_six_members_join_through_three_contacts(self) -> None:
        simulation = _committed_simulation()
        self.assertEqual(
            _seats(simulation), [f'm{number}' for number in range(6)]
        )
        self.assertEqual(len(simulation.acknowledged), 5)

    def test_only_a_first_start_bootstraps(self) -> None:
        simulation = _simulation(is_first_start=False)
        simulation.run(10)
        self.assertEqual(_seats(simulation), [])

    # Guards against a group that never forms, since its first log entry names
    # incarnations that are gone.
    @parameterized.expand([('first_start', True), ('later_start', False)])
    def test_all_are_killed_when_one_has_the_first_entry(
        self, _name: str, is_first_start: bool
    ) -> None:
        simulation = _simulation()
        founder = simulation.member_by_name[CONTACTS[0]]
        while not founder.store.load().entries:
            simulation.tick()
            for _ in range(len(simulation.in_flight)):
                simulation.deliver(0)
            simulation.flush(founder)
        for name, member in simulation.member_by_name.items():
            simulation.crash(name)
            has_entry = bool(member.store.load().entries)
            self.assertIs(has_entry, member is founder)
        simulation.in_flight.clear()
        for restarted in CONTACTS:
            if is_first_start:
                simulation.restart(restarted)
            else:
                _restart_without_bootstrap(simulation, restarted)
        simulation.run(6)
        self.assertEqual(_seats(simulation), sorted(CONTACTS))
        self.assertTrue(simulation.propose(b'first'))

    @parameterized.expand(
        [(f'm{number}', number) for number in range(6)],
    )
    def test_replacement_takes_over_seat(
        self,
        name: str,
        domain: int,
    ) -> None:
        simulation = _committed_simulation()
        simulation.crash(MemberId(name))
        simulation.run(1)
        simulation.add(_config(6, domain, is_first_start=False))
        simulation.run(2 * REPLACEMENT_TIMEOUT + 4)
        kept = {f'm{number}' for number in range(7)} - {name}
        self.assertEqual(_seats(simulation), sorted(kept))
        self.assertTrue(simulation.propose(b'after'))

    def test_planned_replacement_adds_before_it_removes(self) -> None:
        simulation = _committed_simulation()
        simulation.add(_config(6, 5, is_first_start=False))
        simulation.run(4)
        self.assertEqual(len(_seats(simulation)), 7)
        simulation.crash(MemberId('m5'))
        simulation.run(REPLACEMENT_TIMEOUT + 3)
        self.assertEqual(len(_seats(simulation)), 6)
        self.assertNotIn('m5', _seats(simulation))

    def test_restart_keeps_seat(self) -> None:
        simulation = _committed_simulation()
        simulation.add(_config(6, 5, is_first_start=False))
        simulation.run(4)
        simulation.crash(MemberId('m5'))
        simulation.run(REPLACEMENT_TIMEOUT / 2)
        _restart_without_bootstrap(simulation, MemberId('m5'))
        simulation.run(4)
        self.assertEqual(len(_seats(simulation)), 7)

    @parameterized.expand(
        [
            (f'{first}_{second}', MemberId(f'm{first}'), MemberId(f'm{second}'))
            for first, second in itertools.combinations(range(6), 2)
        ],
    )
    def test_two_lost_disks_and_crash_of_all_others(
        self,
        _name: str,
        first: MemberId,
        second: MemberId,
    ) -> None:
        simulation = _committed_simulation()
        simulation.propose(b'last')
        simulation.deliver_all()
        simulation.run(0.2)
        acknowledged = dict(simulation.acknowledged)
        for name in list(simulation.member_by_name):
            if name in {first, second}:
                simulation.lose_disk(name)
            else:
                simulation.crash(name)
        for name in list(simulation.member_by_name):
            _restart_without_bootstrap(simulation, name)
        simulation.run(6)
        leader = simulation.leader()
        self.assertIsNotNone(leader)
        self.assertEqual(len(_seats(simulation)), 6)
        applied = leader.applied if leader else {}
        self.assertEqual(
            {
                index: applied[index].payload
                for index in acknowledged
                if index in applied
            },
            acknowledged,
        )
        self.assertTrue(simulation.is_fully_restored())

    def test_half_of_the_group_commits_nothing(self) -> None:
        simulation = _committed_simulation()
        halves = [
            [f'm{number}' for number in half] for half in ((0, 1, 2), (3, 4, 5))
        ]
        simulation.cut_links = {
            (MemberId(sender), MemberId(receiver))
            for near, far in itertools.permutations(halves)
            for sender, receiver in itertools.product(near, far)
        }
        simulation.run(4)
        before = len(simulation.acknowledged)
        simulation.propose(b'split')
        simulation.run(2)
        self.assertEqual(len(simulation.acknowledged), before)
        simulation.cut_links = set()
        simulation.run(4)
        self.assertTrue(simulation.propose(b'healed'))
