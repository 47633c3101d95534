"""Replication under randomly chosen sequences of faults."""

import random
import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from tests.replica_simulation import Simulation

MEMBERS = st.integers(0, 2)


class _FaultMachine(RuleBasedStateMachine):
    """Faults that a group of three members has to survive."""

    full = 3
    witnesses = 0

    def __init__(self) -> None:
        super().__init__()
        self.simulation = Simulation(self.full, self.witnesses)
        self.proposals = 0

    @initialize()
    def bootstrap(self) -> None:
        self.simulation.run(6)
        assert self.simulation.leader() is not None

    @rule()
    def propose(self) -> None:
        self.proposals += 1
        self.simulation.propose(b'p%d' % self.proposals)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.1, 2.5]))
    def advance_clock(self, seconds: float) -> None:
        self.simulation.tick(seconds)

    @rule()
    def deliver_all(self) -> None:
        self.simulation.deliver_all()

    @rule(seconds=st.sampled_from([0.5, 4.0]), seed=st.integers(0, 2**32))
    def random_faults(self, seconds: float, seed: int) -> None:
        self.simulation.run_with_faults(seconds, random.Random(seed))

    @rule(member=MEMBERS, seed=st.integers(0, 2**32))
    def random_faults_with_isolated_member(
        self, member: int, seed: int
    ) -> None:
        self.isolate(member)
        self.simulation.run_with_faults(4, random.Random(seed))
        self.heal()

    @rule(member=MEMBERS, other=MEMBERS, seed=st.integers(0, 2**32))
    def random_faults_with_cut_link(
        self, member: int, other: int, seed: int
    ) -> None:
        pair = (self.simulation.names[member], self.simulation.names[other])
        self.simulation.cut_links |= {pair, (pair[1], pair[0])}
        self.simulation.run_with_faults(6, random.Random(seed))
        self.heal()

    @rule(seconds=st.sampled_from([0.5, 3.0]))
    def run_without_faults(self, seconds: float) -> None:
        self.simulation.run(seconds)

    @rule()
    def flush_all(self) -> None:
        self.simulation.flush_all()

    @precondition(lambda self: self.simulation.in_flight)
    @rule(draw=st.integers(0, 10_000), keep=st.booleans())
    def deliver_one(self, draw: int, *, keep: bool) -> None:
        self.simulation.deliver(
            draw % len(self.simulation.in_flight), keep=keep
        )

    @precondition(lambda self: self.simulation.in_flight)
    @rule(draw=st.integers(0, 10_000))
    def drop_one(self, draw: int) -> None:
        self.simulation.in_flight.pop(draw % len(self.simulation.in_flight))

    @rule(sender=MEMBERS, receiver=MEMBERS)
    def cut(self, sender: int, receiver: int) -> None:
        names = self.simulation.names
        self.simulation.cut_links.add((names[sender], names[receiver]))

    @rule(member=MEMBERS)
    def isolate(self, member: int) -> None:
        names = self.simulation.names
        for other in names:
            self.simulation.cut_links |= {
                (names[member], other),
                (other, names[member]),
            }

    @rule()
    def heal(self) -> None:
        self.simulation.cut_links.clear()

    @rule(member=MEMBERS, unsynced_kept=st.integers(0, 2))
    def crash(self, member: int, unsynced_kept: int) -> None:
        self.simulation.crash(
            self.simulation.names[member], unsynced_kept=unsynced_kept
        )

    @rule(member=MEMBERS)
    def crash_before_sync(self, member: int) -> None:
        self.simulation.crash_at_next_flush = self.simulation.names[member]

    @rule()
    def transfer_leadership(self) -> None:
        self.simulation.transfer_leadership()

    @rule(member=MEMBERS)
    def restart(self, member: int) -> None:
        self.simulation.restart(self.simulation.names[member])

    @rule(member=MEMBERS)
    def compact(self, member: int) -> None:
        self.simulation.compact(self.simulation.names[member])

    @precondition(lambda self: self.simulation.is_fully_restored())
    @rule(member=MEMBERS)
    def lose_disk(self, member: int) -> None:
        self.simulation.lose_disk(self.simulation.names[member])

    @invariant()
    def at_most_one_lease(self) -> None:
        self.simulation.check_leases()

    def teardown(self) -> None:
        """Repair all faults; no acknowledged entry may be missing."""
        self.simulation.cut_links.clear()
        for name in self.simulation.names:
            self.simulation.restart(name)
        self.simulation.run(12)


class _FaultMachineWithWitness(_FaultMachine):
    """The same faults for two full members and a witness."""

    full = 2
    witnesses = 1


_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)


class ThreeFullMembersTest(_FaultMachine.TestCase, unittest.TestCase):
    """Election safety, log matching, durability, at most one lease."""

    settings = _SETTINGS


class TwoFullMembersAndWitnessTest(
    _FaultMachineWithWitness.TestCase,
    unittest.TestCase,
):
    """The same properties with a witness, which stores no payloads."""

    settings = _SETTINGS
