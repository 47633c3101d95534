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

from tests.replica_world import World

MEMBERS = st.integers(0, 2)


class _Faults(RuleBasedStateMachine):
    """Rules that any group of three must bear."""

    full = 3
    witnesses = 0

    def __init__(self) -> None:
        super().__init__()
        self.world = World(self.full, self.witnesses)
        self.proposals = 0

    @initialize()
    def found(self) -> None:
        self.world.run(6)
        assert self.world.leader() is not None

    @rule()
    def propose(self) -> None:
        self.proposals += 1
        self.world.propose(b'p%d' % self.proposals)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.1, 2.5]))
    def let_pass(self, seconds: float) -> None:
        self.world.tick(seconds)

    @rule()
    def deliver_all(self) -> None:
        self.world.deliver_all()

    @rule(seconds=st.sampled_from([0.5, 4.0]), seed=st.integers(0, 2**32))
    def storm(self, seconds: float, seed: int) -> None:
        self.world.storm(seconds, random.Random(seed))

    @rule(one=MEMBERS, seed=st.integers(0, 2**32))
    def storm_without_one(self, one: int, seed: int) -> None:
        self.isolate(one)
        self.world.storm(4, random.Random(seed))
        self.heal()

    @rule(one=MEMBERS, other=MEMBERS, seed=st.integers(0, 2**32))
    def storm_without_link(self, one: int, other: int, seed: int) -> None:
        pair = (self.world.names[one], self.world.names[other])
        self.world.cuts |= {pair, (pair[1], pair[0])}
        self.world.storm(6, random.Random(seed))
        self.heal()

    @rule(seconds=st.sampled_from([0.5, 3.0]))
    def run_on(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule()
    def flush_all(self) -> None:
        self.world.flush_all()

    @precondition(lambda self: self.world.in_flight)
    @rule(draw=st.integers(0, 10_000), keep=st.booleans())
    def deliver_one(self, draw: int, *, keep: bool) -> None:
        self.world.deliver(draw % len(self.world.in_flight), keep=keep)

    @precondition(lambda self: self.world.in_flight)
    @rule(draw=st.integers(0, 10_000))
    def drop_one(self, draw: int) -> None:
        self.world.in_flight.pop(draw % len(self.world.in_flight))

    @rule(sender=MEMBERS, receiver=MEMBERS)
    def cut(self, sender: int, receiver: int) -> None:
        names = self.world.names
        self.world.cuts.add((names[sender], names[receiver]))

    @rule(one=MEMBERS)
    def isolate(self, one: int) -> None:
        names = self.world.names
        for other in names:
            self.world.cuts |= {(names[one], other), (other, names[one])}

    @rule()
    def heal(self) -> None:
        self.world.cuts.clear()

    @rule(one=MEMBERS, torn=st.integers(0, 2))
    def crash(self, one: int, torn: int) -> None:
        self.world.crash(self.world.names[one], torn=torn)

    @rule(one=MEMBERS)
    def crash_before_sync(self, one: int) -> None:
        self.world.crashing = self.world.names[one]

    @rule()
    def hand_over(self) -> None:
        self.world.hand_over()

    @rule(one=MEMBERS)
    def restart(self, one: int) -> None:
        self.world.restart(self.world.names[one])

    @rule(one=MEMBERS)
    def compact(self, one: int) -> None:
        self.world.compact(self.world.names[one])

    @precondition(lambda self: self.world.is_whole())
    @rule(one=MEMBERS)
    def lose_disk(self, one: int) -> None:
        self.world.lose_disk(self.world.names[one])

    @invariant()
    def one_lease(self) -> None:
        self.world.check_leases()

    def teardown(self) -> None:
        """Heal everything: nothing acknowledged may be missing."""
        self.world.cuts.clear()
        for name in self.world.names:
            self.world.restart(name)
        self.world.run(12)


class _FaultsWithWitness(_Faults):
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


class ThreeFullMembersTest(_Faults.TestCase, unittest.TestCase):
    """Election safety, log matching, no lost entry, one lease."""

    settings = _SETTINGS


class TwoFullMembersAndWitnessTest(
    _FaultsWithWitness.TestCase,
    unittest.TestCase,
):
    """The same with a witness that keeps no payload."""

    settings = _SETTINGS
