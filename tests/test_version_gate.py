"""Which versions an instance sends requests to, and how many."""

import dataclasses
import unittest.mock
from typing import Any

from parameterized import parameterized

from tests.edge_samples import NOW, edge, feed, instance, pool, requirements
from tests.edge_samples import target_view as view
from tests.rollout_simulation import record
from turmericmast.balance.scoring import Distance
from turmericmast.edge.freshness import Freshness
from turmericmast.ids import ServiceId
from turmericmast.rollout.gate import FRESH_WITHIN, VersionGate
from turmericmast.rollout.latencies import BUCKETS, bucket_of, bucket_start
from turmericmast.rollout.records import RolloutState, ServiceRollout

RUNNING, COMPLETED, ROLLED_BACK = (
    RolloutState.running,
    RolloutState.completed,
    RolloutState.rolled_back,
)


def known(state: RolloutState, share: int = 0, **fields: Any) -> ServiceRollout:
    """Return a rollout from v1 to v2."""
    current = 'v2' if state is COMPLETED else 'v1'
    return dataclasses.replace(
        ServiceRollout('stock', current, state, 'v2', 3, 12000, share),
        **fields,
    )


PERMITTED = [
    # name, record, age of the proof, versions sent to
    ('nothing_known', None, 0, ['', 'v1', 'v2']),
    ('no_rollout', ServiceRollout('stock', 'v1'), 0, ['', 'v1']),
    ('ordered', known(RUNNING), 0, ['v1']),
    ('running', known(RUNNING, 50), 0, ['v1', 'v2']),
    ('out_of_touch', known(RUNNING, 50), FRESH_WITHIN + 0.1, ['v1']),
    ('all_moved', known(RUNNING, 1000), 0, ['v1', 'v2']),
    ('completed', known(COMPLETED, 1000), 0, ['v2']),
    ('completed_out_of_touch', known(COMPLETED, 1000), 60, ['v2']),
    ('rolled_back', known(ROLLED_BACK), 0, ['v1']),
]


class GateTest(unittest.TestCase):
    """An instance sends to the versions that its record and proof allow."""

    # Guards against requests to a version before its order, after its
    # rollback, or from an instance that cannot learn of that.
    @parameterized.expand(PERMITTED)
    def test_versions(
        self,
        _name: str,
        rollout: ServiceRollout | None,
        age: float,
        versions: list[str],
    ) -> None:
        gate = self._gate(age)
        if rollout:
            gate.update(rollout)
        sent_to = [
            version
            for version in ('', 'v1', 'v2')
            if gate.may_send(version, NOW)
        ]
        self.assertEqual(sent_to, versions)

    @parameterized.expand([(50, 2), (50, 120), (150, 120), (400, 7)])
    def test_share_over_all_instances(self, share: int, edges: int) -> None:
        # Guards against a share that only holds over many requests of one
        # instance, where each has one or two a second.
        drawn = 0
        for number in range(edges):
            start = number / edges
            start_of = unittest.mock.Mock(return_value=start)
            gate = VersionGate(self._proof(0), start_of)
            gate.update(known(RUNNING, share))
            drawn += sum(gate.draw_new(NOW) for _ in range(20))
        self.assertAlmostEqual(drawn, edges * 20 * share / 1000, delta=1)

    def test_draw_is_withdrawn_once(self) -> None:
        gate = self._gate(0)
        gate.update(known(RUNNING, 500))
        for _ in range(9):
            if gate.draw_new(NOW):
                gate.withdraw_draw()
        self.assertTrue(gate.draw_new(NOW))
        self.assertLessEqual(sum(gate.draw_new(NOW) for _ in range(4)), 2)

    def test_pool_keeps_to_the_version(self) -> None:
        # Guards against retries and hedges beside the share.
        views = [view('1'), view('2')]
        for one, version in zip(views, ('v1', 'v2'), strict=True):
            one.record = dataclasses.replace(one.record, version=version)
        sample = pool(*views)
        sample.gate = self._gate(0)
        sample.gate.update(known(RUNNING, 50))
        drawn = dataclasses.replace(requirements(), takes_new=True)
        for required, target in ((drawn, '2'), (requirements(), '1')):
            best = sample.best(required, Distance.remote, NOW)
            self.assertEqual(best and best.view.record.target, target)
        self.assertIsNone(sample.best(requirements('1'), Distance.remote, NOW))

    def test_edge_without_rollouts_in_force(self) -> None:
        # Guards against a deployment that is served otherwise than before.
        sample = edge(
            instance('a'),
            dataclasses.replace(
                feed(
                    instance('a'),
                    targets=(record('1', 'v1'), record('2', 'v2')),
                ),
                rollouts=(known(COMPLETED),),
            ),
        )
        served = sample.pool_by_service[ServiceId('stock')]
        self.assertIsNone(served.gate)
        permitted = served.permitted_targets(requirements())
        self.assertEqual(len(list(permitted)), 2)

    @parameterized.expand([(0.0005, 0), (0.001, 0), (0.06, 12), (99, 29)])
    def test_latency_classes(self, latency: float, bucket: int) -> None:
        self.assertEqual(bucket_of(latency), bucket)
        if 0 < bucket < BUCKETS - 1:
            self.assertLessEqual(bucket_start(bucket), latency)
            self.assertLess(latency, bucket_start(bucket + 1))

    def _gate(self, age: float) -> VersionGate:
        return VersionGate(self._proof(age), lambda _: 0)

    def _proof(self, age: float) -> Freshness:
        proof = Freshness()
        proof.record_proof(NOW - age, 0, NOW)
        return proof
