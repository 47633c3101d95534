"""How far to look for a target when requests take long.

Pattern: requests of half a second and more, as downloads and orders on loaded
hosts, where every answer is expected so late that any load report is old.
"""

import unittest.mock

from parameterized import parameterized

from tests.edge_samples import NOW, target_view
from turmericmast.balance.candidate import Locality, Requirements
from turmericmast.balance.pool import Pool
from turmericmast.balance.retrybudget import SharedRetryBudget
from turmericmast.balance.targetview import TargetView
from turmericmast.web.targetselection import TargetSelector

LOADS = [
    ('short_idle', 0.09, 0.25, 1, 0, 0),
    ('short_slow_domain', 0.09, 0.25, 7, 0, 1),
    ('order_idle', 0.76, 2.0, 1, 0, 0),
    ('order_half_full', 0.76, 2.0, 1, 2, 0),
    ('look_up_idle', 0.59, 1.5, 1, 0, 0),
    ('look_up_slow_domain', 0.59, 1.5, 7, 0, 1),
    ('look_up_full_domain', 0.59, 1.5, 1, 12, 1),
]
"""Service time, latency goal, slowness and requests at the near targets, and
how many farther distances are probed for it: the region suffices."""


class LongRequestTest(unittest.IsolatedAsyncioTestCase):
    """A near target that is idle is used without probing far ones."""

    @parameterized.expand(LOADS)
    async def test_distances_probed(
        self,
        _name: str,
        service_time: float,
        goal: float,
        slowness: float,
        busy: int,
        distances: int,
    ) -> None:
        pool = _pool(service_time, slowness, busy)
        context = unittest.mock.Mock()
        context.clock.now.return_value = NOW
        context.prober.probe = unittest.mock.AsyncMock()
        requirements = Requirements(
            'look', goal, NOW + goal, NOW + 4 * goal, ()
        )
        chosen = await TargetSelector(context, pool).select(requirements)
        self.assertIsNotNone(chosen)
        probed = {
            view.record.domain
            for call in context.prober.probe.call_args_list
            for view in call.args[0]
        }
        self.assertEqual(len(probed - {'tirol-a'}), distances)


def _pool(service_time: float, slowness: float, busy: int) -> Pool:
    """Return a pool with fresh near targets and old reports of far ones."""
    near = [target_view(name, 'tirol-a', slowness, busy) for name in '12']
    far: list[TargetView] = [
        target_view('3', 'tirol-b', age=0.5),
        target_view('4', 'wien-a', age=0.5),
    ]
    pool = Pool('stock', Locality('tirol-a', 'tirol'), SharedRetryBudget(0.2))
    for view in (*near, *far):
        pool.add(view)
    pool.profile('look', 0.25).service_time = service_time
    return pool
