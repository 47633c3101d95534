"""Rollouts under load, without network: bad versions by their pattern.

Guards against a good version that is not completed, and against a bad one that
gets more requests than its exposure allows, or is completed.
"""

import unittest
from collections.abc import Callable

from parameterized import parameterized

from tests.rollout_simulation import (
    Behaviour,
    Response,
    RolloutSimulation,
    Sent,
    healthy,
    record,
)
from turmericmast.call.call import Loss
from turmericmast.cluster.commands import ReportTarget
from turmericmast.cluster.records import TargetPhase
from turmericmast.rollout.evidence import EvidenceTable, new_responses
from turmericmast.rollout.judgement import tail
from turmericmast.rollout.records import (
    EdgeEvidence,
    RolloutState,
    VersionCounts,
)

DURATION = 12
COMPLETED_BY = 0.8
"""Part of the time budget by which a good version is completed."""
ROLLBACK = 5
"""Seconds in which requests to a bad version end."""
ROUTES = ('look', 'list', 'order')


def failing(
    part: float, after: float = 0, load: float = 0, route: str = ''
) -> Behaviour:
    """Fail a part of the responses: from a time, a share, or on a route."""

    def respond(sent: Sent) -> Response:
        loss, latency = healthy(sent)
        is_bad = sent.at >= after and sent.share >= load
        is_on_route = route in {'', sent.route}
        if is_bad and is_on_route and sent.draw.random() < part:
            return Loss.failed, latency
        return loss, latency

    return respond


def slow(part: float, factor: float, after: float = 0) -> Behaviour:
    """Take longer for a part of the responses, from a time on."""

    def respond(sent: Sent) -> Response:
        loss, latency = healthy(sent)
        is_slow = sent.at >= after and sent.draw.random() < part
        return loss, latency * factor if is_slow else latency

    return respond


def counts(order: int, responses: int = 10) -> VersionCounts:
    """Return counts of the new version on one route."""
    return VersionCounts('stock', order, 'look', True, responses, 0, ())


BAD = [
    ('fails_at_once', failing(0.3), ROUTES),
    ('fails_always', failing(1), ROUTES),
    ('fails_rarely', failing(0.1), ROUTES),
    ('fails_late', failing(0.3, after=5), ROUTES),
    ('fails_later', failing(0.2, after=6.5), ROUTES),
    ('fails_under_load', failing(0.3, load=0.1), ROUTES),
    ('fails_under_heavy_load', failing(0.5, load=0.4), ROUTES),
    ('fails_on_one_route', failing(0.4, route='order'), ROUTES),
    ('slow_at_once', slow(1, 4), ROUTES),
    ('partly_slow', slow(0.4, 5), ROUTES),
    ('slow_late', slow(0.6, 4, after=5), ROUTES),
]
GOOD = [
    # name, both versions, requests a second
    ('as_the_old_one', healthy, healthy, 200),
    ('few_responses', healthy, healthy, 8),
    ('many_responses', healthy, healthy, 600),
    ('both_slow', slow(0.4, 5), slow(0.4, 5), 200),
    ('both_fail', failing(0.1), failing(0.1), 200),
    ('on_slower_hosts', slow(1, 1.35), healthy, 200),
    ('old_one_is_bad', healthy, failing(0.3), 200),
]
TAILS = [
    (10, 0, 0.1, 1),
    (1, 1, 0.5, 0.5),
    (10, 10, 0.5, 0.5**10),
    (20, 6, 0.02, 2e-6),
    (100, 10, 0.1, 1),
]


class EvidenceTest(unittest.TestCase):
    """The evidence decides, whatever the pattern of a bad version is."""

    @parameterized.expand(BAD)
    def test_bad(
        self, _name: str, behaviour: Behaviour, routes: tuple[str, ...]
    ) -> None:
        for seed in (1, 2):
            simulation = RolloutSimulation(DURATION, seed=seed)
            shown = simulation.run(behaviour, routes=routes)
            with self.subTest(seed=seed):
                self.assertIs(shown.rollout.state, RolloutState.rolled_back)
                self.assertEqual(shown.rollout.current, 'v1')
                self.assertLessEqual(shown.sent_new, 0.1 * shown.sent + 50)
                self.assertLess(shown.last_new_after_bad, ROLLBACK)
                self.assertIn('of', shown.rollout.reason)

    @parameterized.expand(GOOD)
    def test_good(
        self, _name: str, new: Behaviour, old: Behaviour, rate: float
    ) -> None:
        for seed in (1, 2, 3):
            simulation = RolloutSimulation(DURATION, rate, seed=seed)
            shown = simulation.run(new, old, ROUTES)
            with self.subTest(seed=seed, reason=shown.rollout.reason):
                self.assertIs(shown.rollout.state, RolloutState.completed)
                self.assertEqual(shown.rollout.current, 'v2')
                self.assertLess(shown.ended_at, COMPLETED_BY * DURATION)

    @parameterized.expand(TAILS)
    def test_tail(
        self, total: int, least: int, share: float, chance: float
    ) -> None:
        # Guards against evidence that is taken for chance, or the reverse.
        self.assertLessEqual(
            abs(tail(total, least, share) - chance), 0.5 * chance
        )


def cut_off(simulation: RolloutSimulation) -> Callable[[float], None]:
    """Let every other instance lose the core at 4 s."""

    def act(at: float) -> None:
        if at == 4:
            simulation.unreached |= set(range(0, len(simulation.gates), 2))

    return act


def lose_leader(simulation: RolloutSimulation) -> Callable[[float], None]:
    """Have no leader from 3 to 4 s, then one without its evidence."""

    def act(at: float) -> None:
        simulation.is_leaderless = 3 <= at < 4
        if at == 3:
            simulation.lose_member()

    return act


def restart_all(simulation: RolloutSimulation) -> Callable[[float], None]:
    """Lose the power of all members at 3 s, for a second."""

    def act(at: float) -> None:
        simulation.is_leaderless = 3 <= at < 4
        if at == 3:
            simulation.restore_snapshot()

    return act


def lose_region(simulation: RolloutSimulation) -> Callable[[float], None]:
    """Lose half of the instances and an old target at 4 s."""

    def act(at: float) -> None:
        if at == 4:
            half = len(simulation.gates) // 2
            simulation.gates = simulation.gates[:half]
            gone = record('2', 'v1', TargetPhase.draining, sequence=2)
            simulation.apply(ReportTarget(gone))

    return act


FAULTS = [
    ('region_lost', lose_region),
    ('instances_out_of_touch', cut_off),
    ('leader_lost', lose_leader),
    ('power_lost', restart_all),
]


class EvidenceTableTest(unittest.TestCase):
    """The newest counts of each rollout are kept, whatever else runs."""

    def test_other_rollout_ends(self) -> None:
        # Guards against evidence that is taken for old, since an instance no
        # longer sends the counts of another service's rollout with it.
        table = EvidenceTable()
        ended, running = counts(order=3, responses=90), counts(order=4)
        table.record(EdgeEvidence('e', '1', (ended, running)))
        table.record(EdgeEvidence('e', '1', (counts(4, responses=30),)))
        table.record(EdgeEvidence('e', '1', (counts(4, responses=20),)))
        table.record(EdgeEvidence('e', '2', (counts(4, responses=5),)))
        self.assertEqual(new_responses(table.total(4)), 35)
        table.forget_except((4,))
        self.assertEqual(table.total(3), {})


class FaultTest(unittest.TestCase):
    """A rollout ends as it would have ended, whatever fails in between."""

    @parameterized.expand(FAULTS)
    def test_good(
        self,
        _name: str,
        fault: Callable[[RolloutSimulation], Callable[[float], None]],
    ) -> None:
        simulation = RolloutSimulation(DURATION)
        shown = simulation.run(
            healthy, routes=ROUTES, on_time=fault(simulation)
        )
        self.assertIs(shown.rollout.state, RolloutState.completed)
        self.assertLess(shown.ended_at, DURATION)

    @parameterized.expand(FAULTS)
    def test_bad(
        self,
        _name: str,
        fault: Callable[[RolloutSimulation], Callable[[float], None]],
    ) -> None:
        simulation = RolloutSimulation(DURATION)
        shown = simulation.run(
            failing(0.4, after=4.5), routes=ROUTES, on_time=fault(simulation)
        )
        self.assertIs(shown.rollout.state, RolloutState.rolled_back)
        self.assertLess(shown.last_new_after_bad, ROLLBACK)

    def test_instance_out_of_touch_stops(self) -> None:
        # Guards against an instance that goes on sending to a version whose
        # rollback it cannot learn of.
        simulation = RolloutSimulation(DURATION)
        simulation.run(
            failing(1, after=4.5), routes=ROUTES, on_time=cut_off(simulation)
        )
        gate = simulation.gates[0]
        self.assertTrue(gate.rollout and gate.rollout.is_running)
        self.assertFalse(gate.may_send('v2', simulation.now))
        self.assertTrue(gate.may_send('v1', simulation.now))
