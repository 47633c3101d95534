"""Target selection, slow start, retry budget and hedging, without a network."""

import collections
import dataclasses
import itertools
import unittest

from parameterized import parameterized

from tests.edge_samples import (
    NOW,
    instance,
    pool,
    requirements,
    target,
    target_view,
)
from turmericmast.balance.affinity import affinity
from turmericmast.balance.assignment import AssignmentTable
from turmericmast.balance.candidate import Candidate
from turmericmast.balance.coldlimit import ColdRateLimiter
from turmericmast.balance.confirmation import VERIFICATION_LIFETIME
from turmericmast.balance.hedge import Hedge
from turmericmast.balance.load import LoadReport
from turmericmast.balance.news import describe_load, merge_load
from turmericmast.balance.pool import Pool
from turmericmast.balance.profile import RouteProfile
from turmericmast.balance.scoring import Distance, RequestEstimate
from turmericmast.balance.targetview import (
    Eligibility,
    TargetView,
)
from turmericmast.call.call import Loss

INSTANCES = 16
FAR_TARGETS = 6

SELECTIONS = [
    (
        'idle_targets_prefer_the_nearest',
        [
            target_view('1'),
            target_view('2', 'tirol-b'),
            target_view('3', 'wien-a'),
        ],
        '1',
    ),
    (
        'slow_target_avoided_within_the_domain',
        [target_view('1', slowness=7), target_view('2')],
        '2',
    ),
    (
        'slow_domain_falls_back_to_the_region',
        [
            target_view('1', slowness=7),
            target_view('2', 'tirol-b'),
            target_view('3', 'wien-a'),
        ],
        '2',
    ),
    (
        'slow_region_falls_back_to_another_region',
        [
            target_view('1', slowness=7),
            target_view('2', 'tirol-b', slowness=7),
            target_view('3', 'wien-a'),
        ],
        '3',
    ),
    (
        'queueing_target_avoided_within_the_domain',
        [target_view('1', busy=12), target_view('2', busy=1)],
        '2',
    ),
    (
        'queueing_domain_falls_back_to_the_region',
        [target_view('1', busy=12), target_view('2', 'tirol-b')],
        '2',
    ),
    (
        'fresh_report_beats_a_stale_one_of_a_nearer_target',
        [target_view('1', age=0.3), target_view('2', 'tirol-b')],
        '2',
    ),
    (
        'full_near_target_falls_back_to_the_region',
        [target_view('1', busy=4), target_view('2', 'tirol-b')],
        '2',
    ),
    (
        'half_full_near_target_is_kept',
        [target_view('1', busy=2), target_view('2', 'tirol-b')],
        '1',
    ),
    (
        'slightly_slow_near_target_is_kept',
        [target_view('1', slowness=1.2), target_view('2', 'tirol-b')],
        '1',
    ),
    (
        'slowdown_by_half_outweighs_the_transfer_cost',
        [target_view('1', slowness=1.5), target_view('2', 'tirol-b')],
        '2',
    ),
]

OUTCOMES = [
    ('refused_connection', Loss.never_sent, 0, Eligibility.ejected),
    (
        'probe_required_after_the_ejection',
        Loss.never_sent,
        0.25,
        Eligibility.unreachable,
    ),
    ('lost_connection', Loss.connection_lost, 0.25, Eligibility.unverified),
    ('shed', Loss.shed, 0, Eligibility.ejected),
    ('shed_a_moment_later', Loss.shed, 0.06, Eligibility.warm),
    ('failed_answer', Loss.failed, 0, Eligibility.warm),
    ('success', None, 0, Eligibility.warm),
    (
        'verification_expires',
        None,
        VERIFICATION_LIFETIME + 0.01,
        Eligibility.unverified,
    ),
]

SERVICE_TIMES = [
    ('as_assumed_initially', [0.1], 0.1),
    ('shorter', [0.06], 0.06),
    ('one_in_ten_slowed_down_while_running', [0.1] * 9 + [0.6], 0.1),
    ('one_in_ten_refused_at_once', [0.1] * 9 + [0.001], 0.1),
]

FEW_ANSWERS = [
    ('the_first_answer', [0.59], 0.59),
    ('orders_of_a_large_fleet', [0.7, 0.85, 0.6, 0.9, 0.75], 0.76),
    ('the_first_target_slowed_down', [3.5, 0.59, 0.62, 0.55, 0.6], 0.6),
    ('the_first_answer_was_short', [0.2, 0.59, 0.62, 0.7, 0.6], 0.6),
    ('downloads_on_a_small_link', [0.8, 1.1, 0.9], 0.9),
]
"""Latencies of the first answers, and their median.

Pattern: hundreds of instances, of which each gets a request of a route every
few seconds.
"""

ON_SCHEDULE = [
    ('normal_speed', 1, 0.07, True),
    ('slowed_down_with_time_left_for_a_hedge', 7, 0.07, False),
    ('overdue_although_it_reports_no_load', 1, 0.22, False),
]

HEDGES = [
    ('first_runs_at_normal_speed', 1, 1, 0.12, 1, False),
    ('first_has_slowed_down', 1, 7, 0.12, 1, True),
    ('first_was_slow_all_along', 7, 7, 0.12, 1, True),
    ('first_is_nearly_done', 7, 1, 0.12, 1, False),
    ('second_is_slow_too', 1, 7, 0.12, 7, False),
    ('first_is_a_little_late', 1, 1, 0.2, 1, False),
    ('first_hangs_although_it_reports_no_load', 1, 1, 0.8, 1, True),
]


class PoolTest(unittest.TestCase):
    """The pool selects the target with the best score."""

    @parameterized.expand(SELECTIONS)
    def test_best_target(
        self,
        _name: str,
        views: list[TargetView],
        expected: str,
    ) -> None:
        best = pool(*views).best(requirements(), Distance.remote, NOW)
        self.assertEqual(best and best.view.record.target, expected)

    def test_download_stays_in_its_domain(self) -> None:
        stock_pool = pool(
            target_view('1', slowness=3), target_view('2', 'tirol-b')
        )
        for _ in range(200):
            stock_pool.profile('plans', 0.25).learn(0.1, 1, 90_000)
        plans = dataclasses.replace(requirements(), route='plans')
        best = stock_pool.best(plans, Distance.remote, NOW)
        self.assertEqual(best and best.view.record.target, '1')

    @parameterized.expand([('look_up', False, '2'), ('download', True, '1')])
    def test_first_download_of_an_instance_stays_in_its_domain(
        self, _name: str, is_download: bool, expected: str
    ) -> None:
        stock_pool = pool(
            target_view('1', slowness=4), target_view('2', 'wien-a')
        )
        first = dataclasses.replace(requirements(), is_download=is_download)
        best = stock_pool.best(first, Distance.remote, NOW)
        self.assertEqual(best and best.view.record.target, expected)

    @parameterized.expand(
        [
            ('look_up_at_a_slow_target', 800, 7, True),
            ('look_up_at_a_fast_target', 800, 1, False),
            ('download_at_a_slow_target', 90_000, 7, False),
            ('download_at_a_fast_target', 90_000, 1, False),
        ],
    )
    def test_far_targets_are_considered_only_if_they_could_win(
        self,
        _name: str,
        octets: int,
        slowness: float,
        could_win: bool,
    ) -> None:
        stock_pool = pool(
            target_view('1', slowness=slowness), target_view('2', 'tirol-b')
        )
        for _ in range(200):
            stock_pool.profile('look', 0.25).learn(0.1, 1, octets)
        best = stock_pool.best(requirements(), Distance.domain, NOW)
        assert best is not None
        could_beat = stock_pool.could_beat(
            requirements(), Distance.region, best, NOW
        )
        self.assertIs(could_beat, could_win)

    def test_routes_of_one_service_have_separate_estimates(self) -> None:
        stock_pool = pool(
            target_view('1', slowness=3), target_view('2', 'tirol-b')
        )
        for _ in range(200):
            stock_pool.profile('plans', 0.25).learn(0.07, 1, 90_000)
            stock_pool.profile('orders', 0.25).learn(0.12, 1, 400)
        candidates = [
            stock_pool.best(
                dataclasses.replace(requirements(), route=route),
                Distance.remote,
                NOW,
            )
            for route in ('plans', 'orders')
        ]
        self.assertEqual(
            ['1', '2'],
            [best.view.record.target for best in candidates if best],
        )

    @parameterized.expand(
        [
            ('evacuated_domain', 'evacuated', frozenset(('tirol-a',))),
            ('already_tried', 'avoid', ('1',)),
            ('other_home_region', 'homes', ('wien',)),
        ],
    )
    def test_target_is_excluded(
        self, _name: str, constraint: str, values: tuple
    ) -> None:
        stock_pool = pool(target_view('1'))
        if constraint == 'evacuated':
            stock_pool.evacuated = values
        constraints = (
            requirements(*values) if constraint == 'avoid' else requirements()
        )
        constraints = (
            requirements(homes=values) if constraint == 'homes' else constraints
        )
        self.assertIsNone(stock_pool.best(constraints, Distance.remote, NOW))

    def test_burst_spreads_over_equal_targets(self) -> None:
        views = [target_view('1'), target_view('2'), target_view('3')]
        stock_pool = pool(*views)
        for _ in range(9):
            best = stock_pool.best(requirements(), Distance.remote, NOW)
            assert best is not None
            stock_pool.begin_request(best.view, NOW)
        spread = [view.in_flight for view in views]
        self.assertEqual(spread, [3, 3, 3])

    def test_new_target_gets_requests_at_low_load(self) -> None:
        stock_pool = pool(target_view('1'), target_view('2'))
        added = target_view('3')
        stock_pool.add(added)
        used = []
        for step in range(6):
            best = stock_pool.best(requirements(), Distance.remote, NOW)
            assert best is not None
            stock_pool.begin_request(best.view, NOW + step / 100)
            best.view.drop_request()
            best.view.update_load(LoadReport(0, 0, 4), NOW)
            used.append(best.view.record.target)
        self.assertEqual(used, ['1', '2', '3', '1', '2', '3'])

    def test_retry_delay_ends_with_the_ejection(self) -> None:
        ejected = target_view('1')
        ejected.begin_request()
        ejected.end_request(Loss.connection_lost, NOW)
        self.assertAlmostEqual(
            pool(ejected).retry_delay(requirements(), NOW), 0.2
        )


class ThunderingHerdTest(unittest.TestCase):
    """Instances with the same knowledge do not all choose the same target."""

    @parameterized.expand(
        [
            ('fallback_to_the_region', 'tirol-b', 1),
            ('fallback_to_another_region', 'wien-a', 1),
            ('half_full_targets_elsewhere', 'wien-a', 3),
        ],
    )
    def test_fallback_requests_are_spread(
        self,
        _name: str,
        domain: str,
        busy: int,
    ) -> None:
        chosen = collections.Counter(
            self._choose(f'edge-{number}', domain, busy)
            for number in range(INSTANCES)
        )
        self.assertGreaterEqual(len(chosen), FAR_TARGETS - 2)
        self.assertLessEqual(max(chosen.values()), INSTANCES / 3)

    def test_instances_probe_different_targets(self) -> None:
        probed = collections.Counter(
            view.record.target
            for number in range(INSTANCES)
            for view in self._pool(
                f'edge-{number}', 'wien-a', 0, age=1
            ).targets_to_probe(
                requirements(),
                Distance.remote,
                NOW,
            )
        )
        self.assertGreaterEqual(len(probed), FAR_TARGETS - 2)

    def test_requests_of_a_moment_are_spread_over_near_targets(self) -> None:
        chosen = collections.Counter(
            self._choose(f'edge-{number}', 'tirol-a', 0)
            for number in range(INSTANCES)
        )
        self.assertGreaterEqual(len(chosen), FAR_TARGETS - 2)
        self.assertLessEqual(max(chosen.values()), INSTANCES / 3)

    @parameterized.expand([('slow', 4, 0), ('full', 1, 4), ('old', 1, 0)])
    def test_near_target_with_a_load_is_not_preferred(
        self, name: str, slowness: float, busy: int
    ) -> None:
        age = 0.3 if name == 'old' else 0
        loaded = target_view('1', slowness=slowness, busy=busy, age=age)
        idle = target_view('2')
        idle.spread_rank = 1
        best = pool(loaded, idle).best(requirements(), Distance.remote, NOW)
        self.assertEqual(best and best.view.record.target, '2')

    def _choose(self, edge: str, domain: str, busy: int) -> str:
        stock_pool = self._pool(edge, domain, busy)
        best = stock_pool.best(requirements(), Distance.remote, NOW)
        assert best is not None
        return best.view.record.target

    def _pool(
        self,
        edge: str,
        domain: str,
        busy: int,
        age: float = 0,
    ) -> Pool:
        far_views = [
            target_view(str(number), domain, busy=busy, age=age)
            for number in range(FAR_TARGETS)
        ]
        for view in far_views:
            view.spread_rank = affinity(view.record.target, edge)
        return pool(*far_views)


class RequestRateTest(unittest.TestCase):
    """Background probes run only where they cost fewer probes."""

    @parameterized.expand(
        [
            ('no_requests', 0, 1, 0, False),
            ('rare_downloads', 2, 3, 0, False),
            ('frequent_look_ups', 8, 3, 0, True),
            ('one_busy_instance', 30, 1, 0, True),
            ('idle_after_a_burst', 30, 1, 4, False),
        ],
    )
    def test_background_probes(
        self,
        _name: str,
        rate: int,
        instances: int,
        idle: float,
        needs_probes: bool,
    ) -> None:
        stock_pool = pool(
            target_view('1'), target_view('2'), target_view('3', 'tirol-b')
        )
        stock_pool.near_instances = instances
        for step in range(rate * 5):
            stock_pool.request_rate.record(NOW + step / max(rate, 1))
        now = NOW + 5 + idle
        self.assertIs(stock_pool.needs_background_probes(now), needs_probes)


class TargetViewTest(unittest.TestCase):
    """Outcomes of requests and reports of peers change what may be sent."""

    @parameterized.expand(OUTCOMES)
    def test_eligibility_after_outcome(
        self,
        _name: str,
        loss: Loss | None,
        later: float,
        eligibility: Eligibility,
    ) -> None:
        view = target_view('1')
        view.begin_request()
        view.end_request(loss, NOW)
        self.assertIs(view.eligibility(NOW + later), eligibility)

    def test_failed_answers_count_against_a_target(self) -> None:
        failing, healthy = target_view('1'), target_view('2')
        for _ in range(4):
            failing.begin_request()
            failing.end_request(Loss.failed, NOW)
        best = pool(failing, healthy).best(requirements(), Distance.remote, NOW)
        self.assertEqual(best and best.view.record.target, '2')

    @parameterized.expand(
        [('older', -0.1, False), ('newer', 0.1, True)],
    )
    def test_merge_load(self, _name: str, shift: float, is_newer: bool) -> None:
        peer_view, own_view = target_view('1', slowness=5), target_view('1')
        peer_view.update_load(LoadReport(3, 0, 4, 5), NOW + shift)
        peer_view.verify(0, NOW + shift)
        is_merged = merge_load(
            own_view, describe_load(peer_view, NOW + 0.2), NOW + 0.2
        )
        self.assertIs(is_merged, is_newer)
        self.assertEqual(own_view.report.slowness, 5 if is_newer else 1)


class SlowStartTest(unittest.TestCase):
    """A cold target never gets more than it accepts from all instances."""

    @parameterized.expand(
        [
            ('one_domain', 3, 0),
            ('single_instance', 1, 0),
            ('many_instances', 20, 0),
            ('two_views_of_the_membership', 20, 3),
        ],
    )
    def test_rate_from_all_instances(
        self, _name: str, count: int, lost: int
    ) -> None:
        rate, slack, factor = 13, 5, 1.5
        edges = [instance(f'e{number}') for number in range(count)]
        table = AssignmentTable('e0')
        for edge in edges:
            table.set_edge(edge)
        table.add_target(target('1'), 'tirol')
        allowed = set(table.senders('1'))
        for edge in edges[:lost]:
            table.remove_edge(edge)
        allowed.update(table.senders('1'))
        limiters = [ColdRateLimiter() for _ in allowed]
        sent = 0
        for step, limiter in itertools.product(range(1000), limiters):
            now = NOW + step / 1000
            if limiter.allows(now):
                limiter.record_send(rate, now)
                sent += 1
        self.assertLessEqual(sent, rate * factor + slack)
        self.assertGreater(sent, 0)

    def test_only_cold_senders_send_to_a_cold_target(self) -> None:
        cold = target_view('1')
        cold.verify(3, NOW)
        stock_pool = pool(cold)
        self.assertIsNone(stock_pool.best(requirements(), Distance.remote, NOW))
        stock_pool.cold_targets = frozenset(('1',))
        self.assertIsNotNone(
            stock_pool.best(requirements(), Distance.remote, NOW)
        )

    def test_unverified_target_is_probed_first(self) -> None:
        stock_pool = pool(target_view('1', verified_at=NOW - 2))
        self.assertIsNone(stock_pool.best(requirements(), Distance.remote, NOW))
        self.assertEqual(
            len(
                stock_pool.targets_to_probe(
                    requirements(), Distance.domain, NOW
                )
            ),
            1,
        )


class RouteProfileTest(unittest.TestCase):
    """Outliers do not distort the estimated service time."""

    @parameterized.expand(SERVICE_TIMES)
    def test_service_time_converges(
        self,
        _name: str,
        latencies: list[float],
        expected: float,
    ) -> None:
        profile = RouteProfile(0.25)
        for latency in itertools.islice(itertools.cycle(latencies), 400):
            profile.learn(latency, 1, 1000)
        self.assertLess(abs(profile.service_time / expected - 1), 0.1)

    @parameterized.expand(
        [
            ('look_up', 0.25, 0.09),
            ('booking', 0.5, 0.21),
            ('look_up_on_slow_hosts', 1.5, 0.59),
            ('order_on_slow_hosts', 2.012, 0.764),
        ]
    )
    def test_latency_goal_tells_the_first_estimate(
        self, _name: str, latency_goal: float, expected: float
    ) -> None:
        profile = RouteProfile(latency_goal)
        self.assertLess(abs(profile.service_time / expected - 1), 0.35)

    @parameterized.expand(FEW_ANSWERS)
    def test_few_answers_suffice(
        self,
        _name: str,
        latencies: list[float],
        expected: float,
    ) -> None:
        profile = RouteProfile(0.25)
        for latency in latencies:
            profile.learn(latency, 1, 90_000)
        self.assertLess(abs(profile.service_time / expected - 1), 0.35)
        self.assertAlmostEqual(profile.octets, 90_000)


class HedgeTest(unittest.TestCase):
    """A hedge is sent only if the report of the first target justifies it."""

    @parameterized.expand(
        [
            ('look_up_to_the_domain', 800, Distance.domain, True),
            ('look_up_to_the_region', 800, Distance.region, True),
            ('download_to_the_domain', 90_000, Distance.domain, True),
            ('download_to_the_region', 90_000, Distance.region, False),
        ],
    )
    def test_transfer_cost_limits_hedges(
        self,
        _name: str,
        octets: int,
        distance: Distance,
        should_hedge: bool,
    ) -> None:
        first = target_view('1')
        hedge = Hedge(Candidate(first, Distance.domain, 1), NOW)
        now = NOW + 0.1
        first.update_load(LoadReport(1, 0, 4, 7), now)
        second = Candidate(target_view('2'), distance, 1)
        estimate = RequestEstimate(0.15, 1.1, 0.07, octets)
        self.assertIs(hedge.should_hedge(second, estimate, now), should_hedge)

    @parameterized.expand(ON_SCHEDULE)
    def test_on_schedule(
        self,
        _name: str,
        slowness_now: float,
        waited: float,
        is_on_schedule: bool,
    ) -> None:
        first = target_view('1')
        hedge = Hedge(Candidate(first, Distance.domain, 1), NOW)
        now = NOW + waited
        first.update_load(LoadReport(1, 0, 4, slowness_now), now)
        estimate = RequestEstimate(0.25 - waited, 0.8 - waited, 0.09, 800)
        self.assertIs(hedge.is_on_schedule(estimate, now), is_on_schedule)

    @parameterized.expand(
        [
            ('just_reported', 0.02, -9, False),
            ('no_report_since_sending', 0.07, -9, True),
            ('probed_a_moment_ago', 0.07, 0.01, False),
        ],
    )
    def test_needs_report(
        self,
        _name: str,
        report_age: float,
        probe_age: float,
        needs_report: bool,
    ) -> None:
        first = target_view('1')
        now = NOW + report_age
        if probe_age >= 0:
            first.probed_at = now - probe_age
        hedge = Hedge(Candidate(first, Distance.domain, 1), NOW)
        self.assertIs(hedge.needs_report(0.09, now), needs_report)

    @parameterized.expand(HEDGES)
    def test_should_hedge(
        self,
        _name: str,
        slowness: float,
        slowness_now: float,
        waited: float,
        slowness_of_second: float,
        should_hedge: bool,
    ) -> None:
        first = target_view('1', slowness=slowness)
        hedge = Hedge(Candidate(first, Distance.domain, 1), NOW)
        now = NOW + waited
        first.update_load(LoadReport(1, 0, 4, slowness_now), now)
        second = target_view('2', slowness=slowness_of_second)
        estimate = RequestEstimate(0.25 - waited, 1.2 - waited, 0.09, 800)
        decision = hedge.should_hedge(
            Candidate(second, Distance.domain, 1),
            estimate,
            now,
        )
        self.assertIs(decision, should_hedge)
