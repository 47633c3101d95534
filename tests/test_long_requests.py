"""How far to look for a target when requests take long.

Pattern: requests of half a second and more, as downloads and orders on loaded
hosts, where every answer is expected so late that any load report is old.
"""

import unittest.mock

from parameterized import parameterized

from tests.edge_samples import NOW, target_view
from turmericmast.balance.candidate import Candidate, Locality, Requirements
from turmericmast.balance.hedge import Hedge
from turmericmast.balance.pool import Pool
from turmericmast.balance.retrybudget import SharedRetryBudget
from turmericmast.balance.scoring import Distance
from turmericmast.balance.targetview import TargetView
from turmericmast.ids import Seconds
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


class LongRequestProbeTest(unittest.IsolatedAsyncioTestCase):
    """Watching a long request takes no more probes than watching a short."""

    @parameterized.expand(
        [('look_up', 0.09), ('order', 0.76), ('look_up_on_slow_hosts', 0.59)]
    )
    def test_probes_of_an_attempt(
        self, _name: str, service_time: float
    ) -> None:
        view = target_view('1')
        hedge = Hedge(Candidate(view, Distance.domain, 1), Seconds(NOW))
        now = NOW + hedge.first_check_delay(service_time)
        probes = 0
        while now < NOW + service_time:
            if hedge.needs_report(service_time, Seconds(now)):
                probes += 1
                view.probed_at = now
            now += hedge.check_interval(service_time)
        self.assertLessEqual(probes, 2)

    @parameterized.expand(
        [
            ('short_and_old', 0.09, 0.15, True),
            ('short_and_new', 0.09, 0.05, False),
            ('long_and_old', 0.59, 0.3, True),
            ('long_and_new', 0.59, 0.15, False),
        ]
    )
    def test_probe_before_sending(
        self, _name: str, service_time: float, age: float, is_probed: bool
    ) -> None:
        pool = _pool(service_time, 1, 0, age)
        goal = 2.5 * service_time
        requirements = Requirements(
            'look', goal, NOW + goal, NOW + 4 * goal, ()
        )
        due = pool.targets_to_probe(requirements, Distance.domain, NOW)
        self.assertIs(bool(due), is_probed)


def _pool(
    service_time: float, slowness: float, busy: int, age: float = 0
) -> Pool:
    """Return a pool with reports of near targets, and old ones of far ones."""
    near = [
        target_view(name, 'tirol-a', slowness, busy, age=age) for name in '12'
    ]
    far: list[TargetView] = [
        target_view('3', 'tirol-b', age=0.5),
        target_view('4', 'wien-a', age=0.5),
    ]
    pool = Pool('stock', Locality('tirol-a', 'tirol'), SharedRetryBudget(0.2))
    for view in (*near, *far):
        pool.add(view)
    pool.profile('look', 0.25).service_time = service_time
    return pool
