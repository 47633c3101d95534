"""The replication core under faults in any order."""

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
    """Rules that any group of three must bear."""

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

    @rule(one=MEMBERS, seed=st.integers(0, 2**32))
    def random_faults_with_isolated_member(self, one: int, seed: int) -> None:
        self.isolate(one)
        self.simulation.run_with_faults(4, random.Random(seed))
        self.heal()

    @rule(one=MEMBERS, other=MEMBERS, seed=st.integers(0, 2**32))
    def random_faults_with_cut_link(
        self, one: int, other: int, seed: int
    ) -> None:
        pair = (self.simulation.names[one], self.simulation.names[other])
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

    @rule(one=MEMBERS)
    def isolate(self, one: int) -> None:
        names = self.simulation.names
        for other in names:
            self.simulation.cut_links |= {
                (names[one], other),
                (other, names[one]),
            }

    @rule()
    def heal(self) -> None:
        self.simulation.cut_links.clear()

    @rule(one=MEMBERS, unsynced_kept=st.integers(0, 2))
    def crash(self, one: int, unsynced_kept: int) -> None:
        self.simulation.crash(
            self.simulation.names[one], unsynced_kept=unsynced_kept
        )

    @rule(one=MEMBERS)
    def crash_before_sync(self, one: int) -> None:
        self.simulation.crash_at_next_flush = self.simulation.names[one]

    @rule()
    def transfer_leadership(self) -> None:
        self.simulation.transfer_leadership()

    @rule(one=MEMBERS)
    def restart(self, one: int) -> None:
        self.simulation.restart(self.simulation.names[one])

    @rule(one=MEMBERS)
    def compact(self, one: int) -> None:
        self.simulation.compact(self.simulation.names[one])

    @precondition(lambda self: self.simulation.is_fully_restored())
    @rule(one=MEMBERS)
    def lose_disk(self, one: int) -> None:
        self.simulation.lose_disk(self.simulation.names[one])

    @invariant()
    def at_most_one_lease(self) -> None:
        self.simulation.check_leases()

    def teardown(self) -> None:
        """Heal everything: nothing acknowledged may be missing."""
        self.simulation.cut_links.clear()
        for name in self.simulation.names:
            self.simulation.restart(name)
        self.simulation.run(12)


class _FaultMachineWithWitness(_FaultMachine):
    """The same for two full members and a witness."""

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
    """Election safety, log matching, no lost entry, one lease."""

    settings = _SETTINGS


class TwoFullMembersAndWitnessTest(
    _FaultMachineWithWitness.TestCase,
    unittest.TestCase,
):
    """The same with a witness that keeps no payload."""

    settings = _SETTINGS
